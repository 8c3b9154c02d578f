import assert from 'node:assert/strict';
import { test } from 'node:test';

import { buildAnswer } from './buildAnswer.js';
import { SoakLedger } from './SoakLedger.js';
import { VmLinkFault } from './VmLinks.js';

import type { AnswerRecord } from './SoakLedger.js';

const FAILED: Partial<AnswerRecord> = { vm: 'vm-0', status: 503, body: '' };

const createLedger = (cutVms: readonly string[]): SoakLedger => {
  const ledger = new SoakLedger();
  const fault = VmLinkFault.Reset;
  const vms = new Set(cutVms);
  ledger.recordCut({ vms, fleetSize: 2, fault, startMs: 0, endMs: 10_000 });
  return ledger;
};

const recordAnswers = (ledger: SoakLedger, count: number, part: Partial<AnswerRecord>): void => {
  for (let index = 0; index < count; index += 1) ledger.recordAnswer(buildAnswer(part));
};

const listRules = (ledger: SoakLedger): readonly string[] =>
  ledger.listViolations().map(({ rule }) => rule);

test('the ledger reports cut-off VMs at which first tries fail', () => {
  const ledger = createLedger(['vm-0']);
  recordAnswers(ledger, 89, {});
  recordAnswers(ledger, 11, FAILED);
  // 100 first tries: 12 may fail.
  assert.deepEqual(listRules(ledger), []);
  recordAnswers(ledger, 2, FAILED);
  assert.deepEqual(listRules(ledger), ['callers of cut-off VMs']);
  assert.deepEqual(ledger.describeCounts(), [
    '1 of 2 VMs cut off from all workers (reset): first tries there served 0 of 13, failed 13; at the others served 89 of 89',
  ]);
  recordAnswers(ledger, 26, { vm: 'vm-0' });
  assert.deepEqual(listRules(ledger), []);
});

test('tries that say nothing about cut-off VMs are not counted', () => {
  const ledger = createLedger(['vm-0']);
  recordAnswers(ledger, 89, {});
  recordAnswers(ledger, 20, { ...FAILED, sentAtMs: 2_900 });
  recordAnswers(ledger, 20, { ...FAILED, sentAtMs: 10_000 });
  recordAnswers(ledger, 20, { ...FAILED, isVmUndisturbed: false });
  recordAnswers(ledger, 20, { ...FAILED, isInTouch: false });
  recordAnswers(ledger, 20, { ...FAILED, hasReferenceVm: false });
  recordAnswers(ledger, 20, { ...FAILED, status: 401 });
  recordAnswers(ledger, 20, { ...FAILED, earlier: { id: 'r0', body: '' } });
  assert.deepEqual(listRules(ledger), []);
});

test('a cut of all VMs is described and not checked', () => {
  const ledger = createLedger(['vm-0', 'vm-1']);
  recordAnswers(ledger, 50, FAILED);
  assert.deepEqual(listRules(ledger), []);
  assert.equal(ledger.describeCounts().length, 1);
});

// Guards against a verdict that depends on when the cut-off VM ended: workers that come later serve the others alone.
test('tries at the other VMs count only while there are tries at those that were cut off', () => {
  const ledger = createLedger(['vm-0']);
  recordAnswers(ledger, 60, { ...FAILED, sentAtMs: 5_000 });
  recordAnswers(ledger, 60, { vm: 'vm-0', sentAtMs: 6_000 });
  recordAnswers(ledger, 60, { ...FAILED, vm: 'vm-1', sentAtMs: 5_500 });
  recordAnswers(ledger, 60, { sentAtMs: 5_500 });
  recordAnswers(ledger, 300, { sentAtMs: 4_500 });
  recordAnswers(ledger, 300, { sentAtMs: 6_500 });
  assert.deepEqual(listRules(ledger), []);
  recordAnswers(ledger, 300, { sentAtMs: 5_500 });
  assert.deepEqual(listRules(ledger), ['callers of cut-off VMs']);
});
