import { HEAD_TIMEOUT_MS } from '../constants.js';

import type { ForwarderState } from '../ForwarderState.js';
import type { ExchangeReport } from './ExchangeReport.js';
import type { ActiveSend } from './types.js';

/**
 * Records that the head of an answer is incomplete for too long: the worker counts as silent, so that others are preferred
 * for new requests. The request goes on; one that may be repeated was given up before if another worker can serve it.
 *
 * @param state - state of the forwarder
 * @param active - the send and its worker
 * @param report - writes the log line
 */
export const recordSlowHead = (
  { options }: ForwarderState,
  { record }: ActiveSend,
  report: ExchangeReport,
): void => {
  record.health.recordSilence(options.getNowMs());
  report.recordSilence(record.worker.id, HEAD_TIMEOUT_MS);
};
