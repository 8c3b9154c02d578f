import { Hop } from '@sardinegrade/common';

import type { HopSpan, ResultCode, Tracing } from '@sardinegrade/common';
import type { GrantRequest } from '@sardinegrade/dispatch';
import type { ShardKey } from './types.js';

/** The dispatcher's spans: each lasts from an ask to its grant, refusal or withdrawal. */
export class DispatchSpans {
  readonly #tracing: Tracing | undefined;
  readonly #open = new Map<string, HopSpan>();

  constructor(tracing: Tracing | undefined) {
    this.#tracing = tracing;
  }

  /**
   * Begins the span of an ask whose trace is recorded.
   *
   * @param shard - the shard asked
   * @param ask - the ask
   */
  readonly start = (shard: ShardKey, ask: GrantRequest): void => {
    if (ask.trace === undefined || ask.heldUpstream !== undefined) return;
    const span = this.#tracing?.startSpan(Hop.Dispatch, {
      parent: ask.trace,
      requestId: ask.requestId,
      attributes: { shard, 'asker.vm': ask.vm, class: ask.className, attempt: ask.attempt },
    });
    if (span !== undefined) this.#open.set(ask.askId, span);
  };

  /**
   * Ends the span of an ask; one that has ended already stays as it is.
   *
   * @param askId - the ask
   * @param end - what was decided
   */
  readonly finish = (
    askId: string,
    end: { readonly upstream?: string; readonly code?: ResultCode } = {},
  ): void => {
    const span = this.#open.get(askId);
    if (span === undefined) return;
    this.#open.delete(askId);
    span.finish({ code: end.code, attributes: { upstream: end.upstream } });
  };
}
