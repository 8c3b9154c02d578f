import { MetricName, ResultCode, toSardinegradeError, WasteCause } from '@sardinegrade/common';
import { RouteKind } from '@sardinegrade/routing';

import { RunSign } from '../ForwarderState.js';
import { AnswerTimes } from './AnswerTimes.js';

import type { ServiceName, TrafficLabels, UpstreamId } from '@sardinegrade/common';
import type { NextStep, SendFailure, Worker } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { ActiveSend, AdmittedRequest } from './types.js';

/** One in this number of successful, timely requests is logged; failures and late answers always are. */
const SUCCESS_SAMPLE_INTERVAL = 20;

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8;

/** Workspace label of requests without an API key. */
const PUBLIC_WORKSPACE = 'public';

/** State at the time of a placement. */
export interface PlacementDetails {
  /** Time from the request's arrival to the send, in milliseconds. */
  readonly queuedMs: number;
  /** Prompt tokens that the engine had yet to prefill. */
  readonly backlogTokens: number;
  /** Tokens of this prompt that were not in the engine's prefix cache. */
  readonly uncachedTokens: number;
}

/** A failed send and the next step. */
export interface FailedSendDetails {
  readonly failure: SendFailure;
  readonly reason: string;
  readonly runs: number;
  readonly sends: number;
  readonly next: NextStep;
}

const NO_PLACEMENT: PlacementDetails = { queuedMs: 0, backlogTokens: 0, uncachedTokens: 0 };

const WASTE_CAUSES: Readonly<Partial<Record<ResultCode, WasteCause>>> = {
  [ResultCode.CallerGone]: WasteCause.CallerGone,
  [ResultCode.UpstreamTimeout]: WasteCause.Deadline,
  [ResultCode.AnswerCut]: WasteCause.UpstreamLost,
};

/** Writes the log lines and metrics of one request. */
export class ExchangeReport {
  readonly times: AnswerTimes;
  #placement = NO_PLACEMENT;
  #sends = 0;
  /** Number of calls of `recordEvents`: events that arrived in one chunk count as one. */
  #eventCount = 0;

  constructor(
    private readonly state: ForwarderState,
    private readonly admitted: AdmittedRequest,
    private readonly service: ServiceName | undefined,
  ) {
    this.times = new AnswerTimes(admitted.arrivedAtMs);
  }

  /** Records that the request was sent to a worker. */
  recordSend(worker: Worker, placement: PlacementDetails): void {
    this.#sends += 1;
    this.#placement = placement;
    this.#logResumedSend(worker);
    const { metrics } = this.state;
    if (this.#sends === 1) {
      metrics.recordQueueWait(this.service ?? '', this.#labels.className, placement.queuedMs);
    } else {
      const cause = this.#eventCount > 0 ? 'resumed' : 'retried';
      metrics.addCount(MetricName.Retries, { service: this.service ?? '', cause });
    }
  }

  /**
   * Records that one or more complete events of a stream, or a complete plain answer, were received. Events that arrive
   * in one chunk count as one.
   */
  recordEvents(): void {
    if (this.#eventCount === 0) this.#notifyRunBegun();
    this.#eventCount += 1;
    const gapMs = this.times.record(this.state.options.getNowMs());
    if (gapMs !== undefined) this.state.pace.recordGap(this.admitted.route.name, gapMs);
  }

  /** A stream that its caller resumes has begun with the request that received its first event. */
  #notifyRunBegun(): void {
    const { caller, route, holder } = this.admitted;
    const isResumed = route.isResumable && caller.lastEventId !== undefined;
    if (holder === undefined || isResumed) return;
    const isStream = route.kind === RouteKind.Streaming;
    this.state.onRunBegun(holder.workspace, isStream ? RunSign.FirstEvent : RunSign.PlainAnswer);
  }

  /** Records a failed send. */
  recordFailedSend(
    { record, startedAtMs, claimed }: ActiveSend,
    { failure, reason, runs, sends, next }: FailedSendDetails,
  ): void {
    const { id: upstream, build } = record.worker;
    this.state.metrics.addCount(MetricName.UpstreamAttempts, { upstream, outcome: failure });
    this.state.options.logger.warn('send failed', {
      requestId: this.admitted.caller.requestId,
      service: this.service,
      upstream,
      durationMs: Math.round(this.state.options.getNowMs() - startedAtMs),
      inputs: {
        failure,
        reason,
        build,
        reused: claimed.isReused,
        runs,
        sends,
        next,
        events: this.#eventCount,
        ...claimed.connection.describePath(),
        ...this.#describePlacement(),
        ...this.#describeSharedParts(),
      },
    });
  }

  /** Records that a worker is silent and the request waits for it, because no other worker can serve it. */
  recordSilence(upstream: UpstreamId, silentMs: number): void {
    this.state.options.logger.info('worker is silent; waiting, since no other send is possible', {
      requestId: this.admitted.caller.requestId,
      service: this.service,
      upstream,
      durationMs: Math.round(silentMs),
      inputs: { sends: this.#sends, events: this.#eventCount },
    });
  }

  /** Records an error that no step of the request expects. */
  recordUnexpectedError(thrown: unknown): void {
    this.state.options.logger.error('request failed unexpectedly', {
      requestId: this.admitted.caller.requestId,
      service: this.service,
      error: toSardinegradeError(thrown),
    });
  }

  /** Records that a worker has ended a stream that has no length: only the end of its connection tells that it is whole. */
  recordUnframedEnd({ record, claimed }: ActiveSend): void {
    this.state.options.logger.info('stream without a length ended in order', {
      requestId: this.admitted.caller.requestId,
      service: this.service,
      upstream: record.worker.id,
      inputs: { events: this.#eventCount, ...claimed.connection.describePath() },
    });
  }

  /** Records a complete answer. */
  recordAnswer(upstream: UpstreamId): void {
    const { route } = this.admitted;
    const { metrics, options } = this.state;
    const durationMs = this.#getAgeMs();
    const isLate = this.times.isLate(route);
    this.state.pace.recordLength(route.name, this.#eventCount);
    metrics.addCount(MetricName.UpstreamAttempts, { upstream, outcome: 'answered' });
    metrics.recordAnswer({
      ...this.#labels,
      firstTokenMs: this.times.firstMs,
      tokenIntervalMs: undefined,
      durationMs,
      tokens: this.#eventCount,
      isAttained: !isLate,
    });
    if (!isLate && options.random() * SUCCESS_SAMPLE_INTERVAL >= 1) return;
    options.logger.info(isLate ? 'request answered late' : 'request answered', {
      requestId: this.admitted.caller.requestId,
      service: this.service,
      upstream,
      workspace: this.admitted.holder?.workspace,
      generation: this.state.configuration?.version,
      durationMs: Math.round(durationMs),
      inputs: {
        target_ms: route.targetMs,
        first_ms: Math.round(this.times.firstMs ?? 0),
        longest_gap_ms: Math.round(this.times.longestGapMs),
        sends: this.#sends,
        ...this.#describePlacement(),
        ...(isLate ? {} : { sampled_one_in: SUCCESS_SAMPLE_INTERVAL }),
      },
    });
  }

  /** Records that the request ended without a complete answer. */
  recordFailure(code: ResultCode, reason: string, runs: number): void {
    const { metrics, options } = this.state;
    metrics.recordFailure({ ...this.#labels, code });
    const cause = WASTE_CAUSES[code];
    if (cause !== undefined)
      metrics.recordWastedTokens(this.service ?? '', cause, this.#eventCount);
    options.logger.warn('request ended without a whole answer', {
      requestId: this.admitted.caller.requestId,
      service: this.service,
      workspace: this.admitted.holder?.workspace,
      generation: this.state.configuration?.version,
      code,
      durationMs: Math.round(this.#getAgeMs()),
      inputs: {
        reason,
        runs,
        sends: this.#sends,
        events: this.#eventCount,
        draining: this.state.isDraining,
        ...this.#describePlacement(),
      },
    });
  }

  get #labels(): TrafficLabels {
    return {
      service: this.service ?? '',
      className: this.admitted.route.kind,
      workspace: this.admitted.holder?.workspace ?? PUBLIC_WORKSPACE,
    };
  }

  #getAgeMs(): number {
    return this.state.options.getNowMs() - this.admitted.arrivedAtMs;
  }

  /** Logs to which worker a stream that the caller resumes is sent. */
  #logResumedSend({ id: upstream, build }: Worker): void {
    const { requestId, resumedRequestId, lastEventId } = this.admitted.caller;
    if (lastEventId === undefined) return;
    this.state.options.logger.info('resumed stream sent', {
      requestId,
      service: this.service,
      upstream,
      inputs: { build, resumes: resumedRequestId, last_event_id: lastEventId, sends: this.#sends },
    });
  }

  /** The shared parts of the prompt: a worker that ends may have been crashed by any of them. */
  #describeSharedParts(): Readonly<Record<string, string>> {
    const parts = this.admitted.caller.prompt?.parts.slice(0, -1) ?? [];
    if (parts.length === 0) return {};
    const ids = parts.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id);
    return { shared_parts: ids.join(' ') };
  }

  #describePlacement(): Readonly<Record<string, number>> {
    if (this.admitted.caller.prompt === undefined) return {};
    return {
      held_ms: Math.round(this.#placement.queuedMs),
      backlog_tokens: Math.round(this.#placement.backlogTokens),
      unread_tokens: this.#placement.uncachedTokens,
    };
  }
}
