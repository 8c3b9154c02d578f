import { BrittleWorkerTracker, LimitHeader } from '@sardinegrade/routing';

import { InvalidHeaderLog } from '../workers/index.js';

import type { Logger } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type {
  BrittleReport,
  BrittleWorkerLoad,
  LimitChange,
  LimitFleet,
  NamedLimit,
} from '@sardinegrade/routing';
import type { WorkerRecord } from '../workers/index.js';

/** Weight of one answer in the average time that answers take. */
const ANSWER_WEIGHT = 0.1;

/** Dependencies of `BrittleWorkers`. */
export interface BrittleWorkersOptions {
  readonly logger: Logger;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  readonly random: RandomSource;
  /** Returns the VMs that share the workers; undefined until they are known. */
  readonly getFleet: () => LimitFleet | undefined;
  /** Returns the number of other VMs' requests at the worker whose id has this hash. */
  readonly getPeerRuns: (hash: number) => number;
}

/** An answer of a worker, as far as brittleness is concerned. */
export interface BrittleWorkerAnswer {
  readonly brittleness: NamedLimit;
  /** Whether the worker has not run the request. */
  readonly isNotRun: boolean;
  /** When the request was sent, in milliseconds. */
  readonly sentAtMs: number;
}

/** Workers that say in their answers that they fall over if they have to reject many requests. */
export class BrittleWorkers {
  readonly #tracker: BrittleWorkerTracker;
  readonly #invalidHeaders: InvalidHeaderLog;
  #answerMs = 0;

  /** @param options - dependencies */
  constructor(private readonly options: BrittleWorkersOptions) {
    const message = 'brittleness of a worker ignored: it is not one decimal number';
    this.#invalidHeaders = new InvalidHeaderLog(options.logger, message);
    this.#tracker = new BrittleWorkerTracker(options.getFleet, options.random);
  }

  /** Number of brittle workers. */
  get count(): number {
    return this.#tracker.brittleCount;
  }

  /** Whether changes have to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#tracker.hasUnsent;
  }

  /** @returns whether a worker says that it is brittle, or is suspected to be */
  has({ instance }: WorkerRecord): boolean {
    return this.#tracker.getRejections(instance) !== undefined;
  }

  /** Suspects workers of a service to be as brittle as the others until they answer. */
  suspect(records: readonly WorkerRecord[]): void {
    const instances = records.map(({ instance }) => instance);
    this.#tracker.suspect(instances, this.options.getNowMs());
  }

  /** @returns whether a worker is not brittle, or has room for a request of this VM */
  canSend(record: WorkerRecord): boolean {
    return this.#tracker.canSend(this.#buildLoad(record), this.options.getNowMs());
  }

  /**
   * Estimates when one of several brittle workers has room for a request of this VM.
   *
   * @param records - the workers
   * @param ahead - number of requests that are sent before
   * @returns the time, in milliseconds; 0 if this VM has no slot of its own and uses those that others leave free
   */
  estimateWaitMs(records: readonly WorkerRecord[], ahead: number): number {
    const nowMs = this.options.getNowMs();
    let slots = 0;
    for (const record of records) slots += this.#tracker.getShare(this.#buildLoad(record), nowMs);
    return slots === 0 ? 0 : ((ahead + 1) * this.#answerMs) / slots;
  }

  /** Applies the reports of another VM. */
  applyReports(reports: readonly BrittleReport[]): void {
    for (const report of reports) {
      const change = this.#tracker.applyReport(report, this.options.getNowMs());
      if (change === undefined) continue;
      this.#logChange(change, { upstream: String(report.instance), source: 'peer' });
    }
  }

  /** @returns the reports for the next message to other VMs */
  collectUnsent(): readonly BrittleReport[] {
    return this.#tracker.collectUnsent(this.options.getNowMs());
  }

  /**
   * Records what an answer says of its worker.
   *
   * @param record - the worker that answered
   * @param answer - the answer
   */
  recordAnswer({ worker, instance }: WorkerRecord, answer: BrittleWorkerAnswer): void {
    const { brittleness, isNotRun, sentAtMs } = answer;
    const nowMs = this.options.getNowMs();
    if (brittleness.header === LimitHeader.Invalid) {
      this.#invalidHeaders.record({ upstream: worker.id, instance, text: brittleness.text });
    }
    const recorded = { instance, brittleness, isRejected: isNotRun, sentAtMs };
    const change = this.#tracker.recordAnswer(recorded, nowMs);
    if (change !== undefined) this.#logChange(change, { upstream: worker.id, source: 'answer' });
    if (this.#tracker.getRejections(instance) === undefined) return;
    if (isNotRun) {
      this.options.logger.info('brittle worker had no room', { upstream: worker.id });
    } else this.#answerMs += ANSWER_WEIGHT * (nowMs - sentAtMs - this.#answerMs);
  }

  #buildLoad({ worker, instance, hash, pool }: WorkerRecord): BrittleWorkerLoad {
    return {
      instance,
      slots: worker.slots,
      ownRuns: pool.busyCount,
      peerRuns: this.options.getPeerRuns(hash),
    };
  }

  #logChange(
    { before, after }: LimitChange,
    { upstream, source }: { readonly upstream: string; readonly source: string },
  ): void {
    const message = after === undefined ? 'worker is no longer brittle' : 'worker is brittle';
    this.options.logger.info(message, {
      upstream,
      inputs: { rejections_per_second: after, previous_per_second: before, source },
    });
  }
}
