import { DecisionKind } from '../administration/index.js';

import type { Clock, Metrics } from '@sardinegrade/common';
import type { CallerRequest } from '../callers/index.js';
import type { ServiceCallContext, ServiceCallEnd } from '../services/index.js';

/** Where observations of calls to plain services go. */
export interface ServiceObserverOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Writes down what becomes of calls to plain services: metrics and the journal. */
export class ServiceObserver {
  readonly #options: ServiceObserverOptions;
  readonly #open = new Map<ServiceCallContext, CallerRequest>();

  constructor(options: ServiceObserverOptions) {
    this.#options = options;
  }

  /**
   * Takes note of a call before it is handled.
   *
   * @param caller - the caller's request
   * @param context - the call
   */
  readonly start = (caller: CallerRequest, context: ServiceCallContext): void => {
    this.#open.set(context, caller);
    const { method = '' } = caller.request;
    caller.trail.record(DecisionKind.Received, `${method} call to a plain service.`);
  };

  /**
   * Records the end of a call.
   *
   * @param context - the call
   * @param end - how it ended
   */
  readonly finish = (context: ServiceCallContext, end: ServiceCallEnd): void => {
    const caller = this.#open.get(context);
    this.#open.delete(context);
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
