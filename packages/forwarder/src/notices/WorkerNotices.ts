import { LeavingTracker, NoticeHeader, PauseTracker } from '@sardinegrade/routing';

import { hashInstance, InvalidHeaderLog, toCandidateSet } from '../workers/index.js';

import type { Logger } from '@sardinegrade/common';
import type { Notice, Worker } from '@sardinegrade/routing';
import type { AnswerMetadata } from '../types.js';
import type { CandidateSet, WorkerFleet, WorkerRecord } from '../workers/index.js';

/** Status of answers by which workers turn requests away; `Retry-After` has other meanings in other answers. */
const UNAVAILABLE_STATUS = 503;

/** Dependencies of `WorkerNotices`. */
export interface WorkerNoticesOptions {
  readonly logger: Logger;
  readonly fleet: WorkerFleet;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/** Workers that do not leave, as of a revision of what is known about leaving. */
interface StayingSet {
  readonly revision: number;
  readonly set: CandidateSet;
}

/** What workers state about themselves in the headers of their answers. */
export class WorkerNotices {
  readonly #leaving = new LeavingTracker();
  readonly #pauses = new PauseTracker();
  /** Results of `listStaying`: rankings of engines are costly to compute. */
  readonly #staying = new WeakMap<CandidateSet, StayingSet>();
  readonly #invalidHeaders: InvalidHeaderLog;

  /** @param options - dependencies */
  constructor(private readonly options: WorkerNoticesOptions) {
    const message = 'notice of a worker ignored: its value is not allowed';
    this.#invalidHeaders = new InvalidHeaderLog(options.logger, message);
  }

  /** Whether changes have to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#leaving.hasUnsent;
  }

  /**
   * Lists the workers that do not leave. If all of them leave, lists those that may still get requests, so that callers are
   * not refused while other workers start.
   *
   * @param all - the workers that may run a request
   * @returns the workers to choose from; the same object as long as nothing changes
   */
  listStaying(all: CandidateSet): CandidateSet {
    const { revision } = this.#leaving;
    if (revision === 0) return all;
    const cached = this.#staying.get(all);
    if (cached?.revision === revision) return cached.set;
    const staying = all.records.filter(({ instance }) => !this.#leaving.isLeaving(instance));
    if (staying.length === 0) return this.#listLeavingLate(all);
    const set = staying.length === all.records.length ? all : toCandidateSet(staying);
    this.#staying.set(all, { revision, set });
    return set;
  }

  /** @returns whether a worker has said in its answers that it leaves */
  isLeaving(worker: Worker): boolean {
    return this.#leaving.isLeaving(hashInstance(worker));
  }

  /** Whether any worker may want no requests of this VM for a time. */
  get hasPaused(): boolean {
    return !this.#pauses.isEmpty;
  }

  /** @returns for how long a worker wants no requests of this VM, in milliseconds; 0 if it accepts them */
  getPauseMs({ instance }: WorkerRecord): number {
    return this.#pauses.getRemainingMs(instance, this.options.getNowMs());
  }

  /** Applies the reports of another VM: hashes of the ids of worker instances that leave. */
  applyLeaving(instances: readonly number[]): void {
    for (const instance of instances) {
      if (!this.#leaving.record(instance, this.options.getNowMs())) continue;
      this.#logLeaving(String(instance), 'peer');
    }
  }

  /** @returns hashes of the ids of leaving worker instances for the next message to other VMs */
  collectLeaving(): readonly number[] {
    const { fleet, getNowMs } = this.options;
    return this.#leaving.collectUnsent(getNowMs(), () => fleet.listInstances());
  }

  /**
   * Records what an answer states about its worker.
   *
   * @param record - the worker that answered
   * @param status - status of the answer
   * @param metadata - metadata of the answer
   */
  recordAnswer(
    record: WorkerRecord,
    status: number,
    { leaving, retryAfter }: AnswerMetadata,
  ): void {
    this.#recordLeaving(record, leaving);
    if (status === UNAVAILABLE_STATUS) this.#recordPause(record, retryAfter);
  }

  #recordLeaving({ worker, instance }: WorkerRecord, leaving: Notice<true>): void {
    if (leaving.header === NoticeHeader.Invalid) {
      const { text } = leaving;
      this.#invalidHeaders.record({ upstream: worker.id, instance, header: 'leaving', text });
    }
    if (leaving.header !== NoticeHeader.Valid) return;
    if (!this.#leaving.record(instance, this.options.getNowMs())) return;
    this.#logLeaving(worker.id, 'answer');
  }

  #recordPause({ worker, instance }: WorkerRecord, retryAfter: Notice<number>): void {
    if (retryAfter.header === NoticeHeader.Invalid) {
      const { text } = retryAfter;
      this.#invalidHeaders.record({ upstream: worker.id, instance, header: 'retry_after', text });
    }
    if (retryAfter.header !== NoticeHeader.Valid) return;
    const { logger, getNowMs } = this.options;
    if (!this.#pauses.record(instance, retryAfter.value, getNowMs())) return;
    logger.info('worker named a time for the retry', {
      upstream: worker.id,
      inputs: { retry_after_ms: retryAfter.value },
    });
  }

  #listLeavingLate({ records }: CandidateSet): CandidateSet {
    const nowMs = this.options.getNowMs();
    return toCandidateSet(
      records.filter(({ instance }) => this.#leaving.canStillSend(instance, nowMs)),
    );
  }

  #logLeaving(upstream: string, source: string): void {
    this.options.logger.info('worker is leaving, according to its answers', {
      upstream,
      inputs: { source },
    });
  }
}
