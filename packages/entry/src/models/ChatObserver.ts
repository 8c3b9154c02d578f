import { Hop, MetricName, ResultCode } from '@sardinegrade/common';
import { AttemptEnd } from '@sardinegrade/upstream';

import { DecisionKind } from '../administration/index.js';

import type {
  Clock,
  HopSpan,
  Metrics,
  TraceContext,
  Tracing,
  UpstreamId,
  WasteCause,
} from '@sardinegrade/common';
import type { PreemptionMode } from '@sardinegrade/dispatch';
import type { AttemptOutcome } from '@sardinegrade/upstream';
import type { RequestTrail } from '../administration/index.js';
import type { CallerRequest } from '../callers/index.js';
import type { ChatTarget } from './types.js';

/** Time source and destinations of a call's spans and metrics. */
export interface ChatObserverServices {
  readonly clock: Clock;
  readonly tracing: Tracing;
  readonly metrics: Metrics;
}

/** Records the progress of one completion request in spans, metrics and the request journal. */
export class ChatObserver {
  readonly #services: ChatObserverServices;
  readonly #caller: CallerRequest;
  readonly #target: ChatTarget;
  readonly #trail: RequestTrail;
  #waitSpan: HopSpan | undefined;
  #attemptSpan: HopSpan | undefined;
  #requestedAtMs = 0;
  #upstream: UpstreamId | undefined;
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;

  constructor(services: ChatObserverServices, caller: CallerRequest, target: ChatTarget) {
    this.#services = services;
    this.#caller = caller;
    this.#target = target;
    this.#trail = caller.trail;
  }

  /**
   * Records a grant request.
   *
   * @param attempt - number of the attempt, from 1
   * @returns trace context of the span that waits for the grant
   */
  readonly recordGrantRequest = (attempt: number): TraceContext => {
    this.#requestedAtMs = this.#services.clock.getNowMs();
    this.#waitSpan = this.#startSpan(Hop.GrantWait, { attempt });
    this.#trail.record(DecisionKind.Queued, `Asked for an engine, attempt ${attempt}.`);
    return this.#waitSpan.context;
  };

  readonly recordRefusal = (code: ResultCode): void => {
    this.#waitSpan?.finish({ code });
    this.#countDecision('refused');
    this.#trail.record(DecisionKind.Refused, 'The dispatcher refused the request.', { code });
  };

  /**
   * Records a grant and the start of its attempt.
   *
   * @param upstream - the granted engine
   * @param priority - priority that is passed to the engine; lower values are served first
   * @param resumeAt - index of the first token to generate; greater than 0 if an answer is resumed
   * @returns the `traceparent` header for the engine
   */
  readonly recordGrant = (upstream: UpstreamId, priority: number, resumeAt: number): string => {
    const { service, serviceClass } = this.#target;
    const waitMs = this.#services.clock.getNowMs() - this.#requestedAtMs;
    this.#services.metrics.recordQueueWait(service.name, serviceClass.name, waitMs);
    this.#countDecision('granted');
    this.#upstream = upstream;
    this.#waitSpan?.finish({ attributes: { upstream } });
    const detail = `Granted after ${waitMs} ms, priority ${priority}, from token ${resumeAt}.`;
    this.#trail.record(DecisionKind.Granted, detail, { upstream });
    this.#attemptSpan = this.#startSpan(Hop.UpstreamAttempt, {
      upstream,
      priority,
      resume_at: resumeAt,
    });
    return this.#attemptSpan.traceparent;
  };

  readonly recordToken = (nowMs: number): void => {
    if (this.#firstTokenAtMs === undefined) {
      this.#firstTokenAtMs = nowMs;
      this.#attemptSpan?.addEvent('first_token');
      const sinceArrivalMs = nowMs - this.#caller.arrivedAtMs;
      this.#trail.record(DecisionKind.FirstToken, `First token after ${sinceArrivalMs} ms.`);
    }
    this.#lastTokenAtMs = nowMs;
  };

  /** Records the end of an attempt that failed or was preempted. */
  readonly recordUnfinishedAttempt = (
    upstream: UpstreamId,
    { end, message }: Pick<AttemptOutcome, 'end' | 'message'>,
    tokens: number,
  ): void => {
    this.#attemptSpan?.finish({ attributes: { end, tokens } });
    this.#countAttempt(upstream, end);
    const detail = `The attempt ended as ${end} after ${tokens} tokens. ${message}`.trim();
    this.#trail.record(DecisionKind.AttemptFailed, detail, { upstream });
  };

  readonly recordPreemption = (upstream: UpstreamId, mode: PreemptionMode): void => {
    const { service, className } = this.#getLabels();
    const labels = { service, class: className, mode };
    this.#services.metrics.addCount(MetricName.Preemptions, labels);
    this.#trail.record(DecisionKind.Preempted, `Preempted: ${mode}.`, { upstream });
  };

  readonly recordRetry = (failures: number, resumeAt: number): void => {
    const cause = resumeAt > 0 ? DecisionKind.Resumed : DecisionKind.Retried;
    const { service } = this.#getLabels();
    this.#services.metrics.addCount(MetricName.Retries, { service, cause });
    this.#trail.record(cause, `Asks again after ${failures} failures, from token ${resumeAt}.`);
  };

  readonly recordWaste = (cause: WasteCause, tokens: number): void => {
    if (tokens > 0)
      this.#services.metrics.recordWastedTokens(this.#target.service.name, cause, tokens);
  };

  readonly recordAnswer = (tokens: number): void => {
    const { firstTokenTargetMs, tokenIntervalTargetMs } = this.#target.serviceClass;
    const firstTokenMs =
      this.#firstTokenAtMs === undefined
        ? undefined
        : this.#firstTokenAtMs - this.#caller.arrivedAtMs;
    const tokenIntervalMs = this.#getTokenIntervalMs(tokens);
    this.#attemptSpan?.finish({ attributes: { tokens } });
    if (this.#upstream !== undefined) this.#countAttempt(this.#upstream, AttemptEnd.Finished);
    this.#services.metrics.recordAnswer({
      ...this.#getLabels(),
      firstTokenMs,
      tokenIntervalMs,
      durationMs: this.#services.clock.getNowMs() - this.#caller.arrivedAtMs,
      tokens,
      isAttained:
        (firstTokenMs ?? 0) <= firstTokenTargetMs &&
        (tokenIntervalMs ?? 0) <= tokenIntervalTargetMs,
    });
    this.#trail.record(DecisionKind.Answered, `Answered whole with ${tokens} tokens.`);
    this.#trail.finish();
  };

  readonly recordFailure = (code: ResultCode): void => {
    this.#waitSpan?.finish({ code });
    this.#attemptSpan?.finish({ code });
    this.#services.metrics.recordFailure({ ...this.#getLabels(), code });
    this.#trail.record(DecisionKind.Failed, `Ended with ${ResultCode[code]}.`, { code });
    this.#trail.finish(code);
  };

  readonly #countDecision = (decision: string): void => {
    const { service, className } = this.#getLabels();
    this.#services.metrics.addCount(MetricName.Grants, { service, class: className, decision });
  };

  readonly #countAttempt = (upstream: UpstreamId, outcome: string): void =>
    this.#services.metrics.addCount(MetricName.UpstreamAttempts, { upstream, outcome });

  readonly #startSpan = (hop: Hop, attributes: Record<string, string | number>): HopSpan =>
    this.#services.tracing.startSpan(hop, {
      parent: this.#caller.span.context,
      requestId: this.#caller.requestId,
      attributes,
    });

  readonly #getTokenIntervalMs = (tokens: number): number | undefined =>
    this.#firstTokenAtMs === undefined || tokens < 2
      ? undefined
      : (this.#lastTokenAtMs - this.#firstTokenAtMs) / (tokens - 1);

  readonly #getLabels = () => ({
    service: this.#target.service.name,
    className: this.#target.serviceClass.name,
    workspace: this.#caller.workspace.name,
  });
}
