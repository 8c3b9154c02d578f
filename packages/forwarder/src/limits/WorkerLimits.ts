import { LimitHeader, WorkerLimitTracker } from '@sardinegrade/routing';

import type { Logger } from '@sardinegrade/common';
import type { LimitChange, NamedLimit } from '@sardinegrade/routing';
import type { WorkerRecord } from '../workers/index.js';

/** Maximum number of workers whose invalid limits are remembered as logged. */
const MAX_LOGGED_INVALID = 1_024;

/** Maximum length of an invalid value in the log, in characters. */
const MAX_LOGGED_TEXT = 80;

/** Dependencies of `WorkerLimits`. */
export interface WorkerLimitsOptions {
  readonly logger: Logger;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/** The limits that workers name in their answers. */
export class WorkerLimits {
  readonly #tracker = new WorkerLimitTracker();
  readonly #loggedInvalid = new Set<number>();

  /** @param options - dependencies */
  constructor(private readonly options: WorkerLimitsOptions) {}

  /** Number of workers with a limit. */
  get limitedCount(): number {
    return this.#tracker.limitedCount;
  }

  /**
   * Records the limit that an answer names.
   *
   * @param record - the worker that answered
   * @param limit - the limit in the answer's headers
   * @param sentAtMs - when the request was sent, in milliseconds
   */
  recordAnswer({ worker, instance }: WorkerRecord, limit: NamedLimit, sentAtMs: number): void {
    if (limit.header === LimitHeader.Invalid) this.#logInvalid(worker.id, instance, limit.text);
    const answer = { instance, limit, sentAtMs };
    const change = this.#tracker.recordAnswer(answer, this.options.getNowMs());
    if (change !== undefined) this.#logChange(change, { upstream: worker.id, source: 'answer' });
  }

  #logInvalid(upstream: string, instance: number, text: string): void {
    if (this.#loggedInvalid.has(instance) || this.#loggedInvalid.size >= MAX_LOGGED_INVALID) return;
    this.#loggedInvalid.add(instance);
    this.options.logger.warn('limit of a worker ignored: it is not one decimal number', {
      upstream,
      inputs: { value: text.slice(0, MAX_LOGGED_TEXT) },
    });
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
