import { DecisionKind } from '../administration/index.js';

import type { Clock, Metrics } from '@sardinegrade/common';
import type { CallerRequest } from '../callers/index.js';
import type { ServiceCallContext, ServiceCallEnd } from '../services/index.js';

/** Dependencies of a {@link ServiceObserver}. */
export interface ServiceObserverOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Records the outcomes of calls to plain services in the metrics and the request journal. */
export class ServiceObserver {
  readonly #options: ServiceObserverOptions;
  readonly #activeCalls = new Map<ServiceCallContext, CallerRequest>();

  constructor(options: ServiceObserverOptions) {
    this.#options = options;
  }

  /**
   * Records the arrival of a call, before it is handled.
   *
   * @param caller - the request with its journal trail
   * @param context - the call; the same object identifies it in `finish`
   */
  readonly start = (caller: CallerRequest, context: ServiceCallContext): void => {
    this.#activeCalls.set(context, caller);
    const { method = '' } = caller.request;
    caller.trail.record(DecisionKind.Received, `${method} call to a plain service.`);
  };

  /**
   * Records the result of a call. Calls whose journal entry is already finished are ignored.
   *
   * @param context - the object that was given to `start`
   * @param end - the error, if any, and whether the answer was replayed from a stored record
   */
  readonly finish = (context: ServiceCallContext, end: ServiceCallEnd): void => {
    const caller = this.#activeCalls.get(context);
    this.#activeCalls.delete(context);
    if (caller === undefined || caller.trail.isFinished()) return;
    if (end.error === undefined) this.#recordAnswer(caller, context, end.isReplay);
    else this.#recordFailure(caller, context, end.error);
  };

  readonly #recordAnswer = (
    caller: CallerRequest,
    context: ServiceCallContext,
    isReplay: boolean,
  ): void => {
    const nowMs = this.#options.clock.getNowMs();
    this.#options.metrics.recordAnswer({
      ...this.#getLabels(context),
      firstTokenMs: undefined,
      tokenIntervalMs: undefined,
      durationMs: nowMs - caller.arrivedAtMs,
      tokens: 0,
      isAttained: nowMs <= context.deadlineAtMs,
    });
    if (isReplay) caller.trail.record(DecisionKind.OrderReplayed, 'Answered from the record.');
    else caller.trail.record(DecisionKind.Answered, 'Answered by the service.');
    caller.trail.finish();
  };

  readonly #recordFailure = (
    { trail }: CallerRequest,
    context: ServiceCallContext,
    { code, run, message }: NonNullable<ServiceCallEnd['error']>,
  ): void => {
    this.#options.metrics.recordFailure({ ...this.#getLabels(context), code });
    trail.record(DecisionKind.Failed, `${message} (${run})`, { code });
    trail.finish(code);
  };

  readonly #getLabels = (context: ServiceCallContext) => ({
    service: context.service.name,
    className: context.class.name,
    workspace: context.workspace,
  });
}
