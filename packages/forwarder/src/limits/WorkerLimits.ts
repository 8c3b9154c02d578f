import { LimitHeader, WorkerLimitTracker } from '@sardinegrade/routing';

import { InvalidHeaderLog } from '../workers/index.js';
import { BrittleWorkers } from './BrittleWorkers.js';

import type { Logger } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { LimitChange, LimitFleet, LimitReport, NamedLimit } from '@sardinegrade/routing';
import type { WorkerRecord } from '../workers/index.js';

/** Dependencies of `WorkerLimits`. */
export interface WorkerLimitsOptions {
  readonly logger: Logger;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  readonly random: RandomSource;
  /** Returns the number of other VMs' requests at the worker whose id has this hash. */
  readonly getPeerRuns: (hash: number) => number;
}

/** The limits that workers name in their answers. */
export class WorkerLimits {
  readonly #tracker = new WorkerLimitTracker(() => this.getFleet());
  readonly #invalidHeaders: InvalidHeaderLog;

  /** Workers that fall over if they have to reject many requests. */
  readonly brittle: BrittleWorkers;

  /** Returns the VMs that share the limits; undefined until they are known. */
  getFleet: () => LimitFleet | undefined = () => undefined;

  /** @param options - dependencies */
  constructor(private readonly options: WorkerLimitsOptions) {
    const message = 'limit of a worker ignored: it is not one decimal number';
    this.#invalidHeaders = new InvalidHeaderLog(options.logger, message);
    this.brittle = new BrittleWorkers({ ...options, getFleet: () => this.getFleet() });
  }

  /** Number of workers with a limit. */
  get limitedCount(): number {
    return this.#tracker.limitedCount;
  }

  /** Whether changes have to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#tracker.hasUnsent;
  }

  /** @returns whether this VM may send a request to a worker now */
  canSend({ instance }: WorkerRecord): boolean {
    return this.#tracker.canSend(instance, this.options.getNowMs());
  }

  /** Records that a request is sent to a worker. */
  recordSend({ instance }: WorkerRecord): void {
    this.#tracker.recordSend(instance, this.options.getNowMs());
  }

  /**
   * Claims a request that was placed before and is about to be sent. A limit that has been named since has not counted it.
   *
   * @param record - the worker
   * @param placedAtMs - when the request was placed, in milliseconds
   * @returns whether it may be sent
   */
  claimLate(record: WorkerRecord, placedAtMs: number): boolean {
    if (!this.#tracker.isLimitedSince(record.instance, placedAtMs)) return true;
    if (!this.canSend(record)) return false;
    this.recordSend(record);
    return true;
  }

  /**
   * Estimates when this VM may send a request to one of several workers that limit their requests or are brittle.
   *
   * @param records - the workers
   * @param ahead - number of requests that are sent before
   * @returns the time, in milliseconds; Infinity if all have limits and this VM has no share in any
   */
  estimateWaitMs(records: readonly WorkerRecord[], ahead: number): number {
    const instances = records.map(({ instance }) => instance);
    const waitMs = this.#tracker.estimateWaitMs(instances, ahead, this.options.getNowMs());
    const full = records.filter(({ instance }) => this.#tracker.getLimit(instance) === undefined);
    return full.length === 0 ? waitMs : Math.min(waitMs, this.brittle.estimateWaitMs(full, ahead));
  }

  /** Applies the reports of another VM. */
  applyReports(reports: readonly LimitReport[]): void {
    for (const report of reports) {
      const change = this.#tracker.applyReport(report, this.options.getNowMs());
      if (change === undefined) continue;
      this.#logChange(change, { upstream: String(report.instance), source: 'peer' });
    }
  }

  /** @returns the reports for the next message to other VMs */
  collectUnsent(): readonly LimitReport[] {
    return this.#tracker.collectUnsent(this.options.getNowMs());
  }

  /**
   * Records the limit that an answer names.
   *
   * @param record - the worker that answered
   * @param limit - the limit in the answer's headers
   * @param sentAtMs - when the request was sent, in milliseconds
   */
  recordAnswer({ worker, instance }: WorkerRecord, limit: NamedLimit, sentAtMs: number): void {
    if (limit.header === LimitHeader.Invalid) {
      this.#invalidHeaders.record({ upstream: worker.id, instance, text: limit.text });
    }
    const answer = { instance, limit, sentAtMs };
    const change = this.#tracker.recordAnswer(answer, this.options.getNowMs());
    if (change !== undefined) this.#logChange(change, { upstream: worker.id, source: 'answer' });
  }

  #logChange(
    { before, after }: LimitChange,
    { upstream, source }: { readonly upstream: string; readonly source: string },
  ): void {
    this.options.logger.info(after === undefined ? 'worker limit ended' : 'worker limit named', {
      upstream,
      inputs: { per_second: after, previous_per_second: before, source },
    });
  }
}
