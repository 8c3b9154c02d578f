import { RequestKind } from './SoakLedger.js';

import type { AnswerRecord } from './SoakLedger.js';

/**
 * Builds a record for tests of the ledger: a served request at a VM without disturbance.
 *
 * @param part - what differs
 * @returns the record
 */
export const buildAnswer = (part: Partial<AnswerRecord>): AnswerRecord => ({
  id: 'r',
  kind: RequestKind.Safe,
  vm: 'vm-1',
  vmStartCount: 1,
  keyVersion: 0,
  isInTouch: true,
  isVmUndisturbed: true,
  wasStable: false,
  hasReferenceVm: true,
  sentAtMs: 5_000,
  headAtMs: 5_005,
  endedAtMs: 5_010,
  deadlineMs: 1_500,
  status: 200,
  body: 'answer to r',
  seal: 'seal of w1',
  isComplete: true,
  isPlannedShutdown: false,
  ...part,
});
