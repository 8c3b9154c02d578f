import { HTTP_STATUS, ResultCode } from '@sardinegrade/common';
import { measureFirstEvent, measureStream, SampleKind, SendFailure } from '@sardinegrade/routing';

import { AnswerTimes } from './AnswerTimes.js';
import { isSuccess } from './sendToWorker.js';

import type { PaceSample, SendState } from '@sardinegrade/routing';
import type { WorkerPaces, WorkerRecord } from '../workers/index.js';
import type { SendEnd } from './sendToWorker.js';

/** Failures that tell something about the pace of a worker; others may be due to links or to this VM. */
const BAD_FAILURES: ReadonlySet<SendFailure> = new Set([
  SendFailure.Rejected,
  SendFailure.Broken,
  SendFailure.Silent,
]);

const isBadEnd = (end: SendEnd): boolean =>
  end.isComplete
    ? end.head.status >= HTTP_STATUS[ResultCode.Internal]
    : BAD_FAILURES.has(end.failure);

/** Measures what the answer to one send tells about the pace of its engine. */
export class SendPace {
  readonly #times: AnswerTimes;
  #gaps = 0;
  /** Whether the caller read slowly, so that the times of the events do not tell those of the engine. */
  #isHeldUp = false;

  /**
   * @param paces - receives the samples
   * @param record - the engine
   * @param send - its state when the prompt was sent
   * @param sentAtMs - when the prompt was sent, in milliseconds
   */
  constructor(
    private readonly paces: WorkerPaces,
    private readonly record: WorkerRecord,
    private readonly send: SendState,
    private readonly sentAtMs: number,
  ) {
    this.#times = new AnswerTimes(sentAtMs);
  }

  /** Records that one or more complete events of the stream were received. */
  recordEvents(nowMs: number): void {
    if (this.#times.record(nowMs) !== undefined) {
      this.#gaps += 1;
      return;
    }
    const { instance } = this.record;
    const firstMs = nowMs - this.sentAtMs;
    this.paces.record(measureFirstEvent(instance, this.send, firstMs, this.paces.get(this.record)));
  }

  /** Records that the stream is not read because its caller reads slowly. */
  recordHeldUp(): void {
    this.#isHeldUp = true;
  }

  /** Records that the send has ended while its request was in progress. */
  recordEnd(end: SendEnd): void {
    const sample = this.#measureEnd(end);
    if (sample !== undefined) this.paces.record(sample);
  }

  #measureEnd(end: SendEnd): PaceSample | undefined {
    const { instance } = this.record;
    const unmeasured = { instance, speed: undefined, gapMs: undefined };
    if (isBadEnd(end)) return { ...unmeasured, kind: SampleKind.Bad };
    if (!end.isComplete || !isSuccess(end.head.status)) return undefined;
    if (this.#times.firstMs === undefined) return { ...unmeasured, kind: SampleKind.OnTime };
    if (this.#isHeldUp) return undefined;
    const { longestGapMs } = this.#times;
    return measureStream(instance, { gaps: this.#gaps, longestGapMs, runs: this.send.runs });
  }
}
