import { Hop } from '@sardinegrade/common';

import type { HopSpan, ResultCode, Tracing } from '@sardinegrade/common';
import type { GrantRequest } from '@sardinegrade/dispatch';
import type { ShardKey } from './types.js';

/** Records the trace spans of dispatch: each lasts from a grant request to its grant, refusal or withdrawal. */
export class DispatchSpans {
  readonly #tracing: Tracing | undefined;
  readonly #openSpans = new Map<string, HopSpan>();

  constructor(tracing: Tracing | undefined) {
    this.#tracing = tracing;
  }

  /**
   * Starts the span of a grant request whose trace is sampled.
   *
   * @param shard - the shard that received the request
   * @param ask - the grant request; one that is registered again after a fail-over gets no span
   */
  readonly start = (shard: ShardKey, ask: GrantRequest): void => {
    if (ask.trace === undefined || ask.heldUpstream !== undefined) return;
    const span = this.#tracing?.startSpan(Hop.Dispatch, {
      parent: ask.trace,
      requestId: ask.requestId,
      attributes: { shard, 'asker.vm': ask.vm, class: ask.className, attempt: ask.attempt },
    });
    if (span !== undefined) this.#openSpans.set(ask.askId, span);
  };

  /**
   * Finishes the span of a grant request; does nothing if it is already finished.
   *
   * @param askId - id of the grant request
   * @param end - the granted upstream, or the result code of a refusal
   */
  readonly finish = (
    askId: string,
    end: { readonly upstream?: string; readonly code?: ResultCode } = {},
  ): void => {
    const span = this.#openSpans.get(askId);
    if (span === undefined) return;
    this.#openSpans.delete(askId);
    span.finish({ code: end.code, attributes: { upstream: end.upstream } });
  };
}
