import { Hop, ResultCode, RunState, SardinegradeError, WasteCause } from '@sardinegrade/common';
import { PreemptionMode, ReleaseReason } from '@sardinegrade/dispatch';
import { AttemptCommand, AttemptEnd } from '@sardinegrade/upstream';

import {
  FIRST_SILENCE_TARGETS,
  MAX_FIRST_SILENCE_MS,
  MAX_SILENCE_MS,
  MIN_FIRST_SILENCE_MS,
  MIN_SILENCE_MS,
  PROGRESS_INTERVAL_TOKENS,
  SILENCE_INTERVALS,
} from './constants.js';

import type {
  AttemptId,
  Clock,
  Fingerprint,
  HopSpan,
  Metrics,
  UpstreamConfiguration,
  UpstreamId,
} from '@sardinegrade/common';
import type {
  AttemptHandle,
  AttemptOutcome,
  EngineClient,
  TokenEvent,
} from '@sardinegrade/upstream';
import type { Tracing } from '@sardinegrade/common';
import type { CallerRequest } from '../callers/index.js';
import type { GrantBroker, GrantTicket } from '../grants/index.js';
import type { AnswerSink } from './AnswerSink.js';
import type { RetryAllowance } from './RetryAllowance.js';
import type { ChatRequest, ChatTarget } from './types.js';

/** What all calls of a daemon share. */
export interface ChatCallServices {
  readonly clock: Clock;
  readonly broker: GrantBroker;
  readonly engines: EngineClient;
  readonly tracing: Tracing;
  readonly metrics: Metrics;
  readonly retries: RetryAllowance;
  /** Whether the request was running on an engine when it died, here or on another daemon. */
  readonly isSuspect: (fingerprint: Fingerprint) => boolean;
  /** An upstream died under a request. */
  readonly onUpstreamDied: (upstream: UpstreamId, fingerprint: Fingerprint) => void;
  readonly createAttemptId: () => AttemptId;
}

/** One completion request. */
export interface ChatCallInput {
  readonly caller: CallerRequest;
  readonly chat: ChatRequest;
  readonly target: ChatTarget;
  readonly fingerprint: Fingerprint;
  readonly promptTokens: number;
  readonly prefixBlocks: readonly number[];
  readonly deadlineAtMs: number;
}

const RELEASE_REASONS: Readonly<Record<AttemptEnd, ReleaseReason>> = {
  [AttemptEnd.Finished]: ReleaseReason.Finished,
  [AttemptEnd.Refused]: ReleaseReason.UpstreamRefused,
  [AttemptEnd.Rejected]: ReleaseReason.Finished,
  [AttemptEnd.NotSent]: ReleaseReason.UpstreamDied,
  [AttemptEnd.Died]: ReleaseReason.UpstreamDied,
  [AttemptEnd.Silent]: ReleaseReason.UpstreamSilent,
  [AttemptEnd.Crossed]: ReleaseReason.UpstreamDied,
  [AttemptEnd.Aborted]: ReleaseReason.CallerGone,
};

const clampMs = (valueMs: number, minimumMs: number, maximumMs: number): number =>
  Math.min(maximumMs, Math.max(minimumMs, valueMs));

interface RunningAttempt {
  readonly id: AttemptId;
  readonly upstream: UpstreamConfiguration;
  readonly handle: AttemptHandle;
  readonly span: HopSpan;
  readonly startedAtMs: number;
  tokens: number;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number;
}

/** Carries one completion request from its first ask to its last byte. */
export class ChatCall {
  readonly #services: ChatCallServices;
  readonly #input: ChatCallInput;
  readonly #sink: AnswerSink;
  readonly #excluded = new Set<UpstreamId>();
  readonly #deadlineTimer: NodeJS.Timeout;
  #ticket: GrantTicket | undefined;
  #askSpan: HopSpan | undefined;
  #askedAtMs = 0;
  #running: RunningAttempt | undefined;
  #attempts = 0;
  #failures = 0;
  #tokens = 0;
  #wasSuspect = false;
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;
  #isEnded = false;
  #resolve: (() => void) | undefined;

  constructor(services: ChatCallServices, input: ChatCallInput, sink: AnswerSink) {
    this.#services = services;
    this.#input = input;
    this.#sink = sink;
    const remainingMs = Math.max(0, input.deadlineAtMs - services.clock.getNowMs());
    this.#deadlineTimer = setTimeout(this.#handleDeadline, remainingMs);
    const { response } = input.caller;
    response.on('close', this.#handleCallerGone);
    response.on('drain', () => this.#running?.handle.resumeReading());
  }

  /**
   * Runs the request.
   *
   * @returns when the answer or an error has been given to the caller, or the caller has gone
   */
  readonly run = async (): Promise<void> => {
    this.#services.retries.addFirstAttempt(this.#input.target.service);
    const ended = new Promise<void>((resolve) => {
      this.#resolve = resolve;
    });
    this.#ask();
    await ended;
  };

  readonly #ask = (): void => {
    const { caller, target, fingerprint, promptTokens, chat, prefixBlocks } = this.#input;
    const { broker, tracing, clock } = this.#services;
    this.#attempts += 1;
    this.#askedAtMs = clock.getNowMs();
    this.#askSpan = tracing.startSpan(Hop.GrantWait, {
      parent: caller.span.context,
      requestId: caller.requestId,
      attributes: { attempt: this.#attempts },
    });
    const attemptId = this.#services.createAttemptId();
    const details = {
      askId: attemptId,
      requestId: caller.requestId,
      service: target.service.name,
      className: target.serviceClass.name,
      workspace: caller.workspace.name,
      arrivedAtMs: caller.arrivedAtMs,
      deadlineAtMs: this.#input.deadlineAtMs,
      promptTokens,
      maxTokens: Math.max(1, chat.maxTokens - this.#tokens),
      prefixBlocks,
      fingerprint,
      resumeAt: this.#tokens,
      excludedUpstreams: [...this.#excluded],
      attempt: this.#attempts,
      isSuspect: this.#wasSuspect || this.#services.isSuspect(fingerprint),
    };
    this.#ticket = broker.ask(target.service.pool, details, {
      onGrant: (upstream, priority) => this.#handleGrant(attemptId, upstream, priority),
      onRefuse: this.#handleRefusal,
      onPreempt: this.#handlePreemption,
    });
    if (this.#ticket === undefined) this.#handleRefusal(ResultCode.NoUpstream, undefined);
  };

  readonly #handleGrant = (id: AttemptId, upstreamId: UpstreamId, priority: number): void => {
    const { caller, target, chat } = this.#input;
    const { clock, metrics } = this.#services;
    this.#askSpan?.finish({ attributes: { upstream: upstreamId } });
    const startedAtMs = clock.getNowMs();
    const { service, serviceClass } = target;
    metrics.recordQueueWait(service.name, serviceClass.name, startedAtMs - this.#askedAtMs);
    const upstream = caller.configuration.upstreams.get(upstreamId);
    if (upstream === undefined) {
      this.#release(ReleaseReason.UpstreamRefused, undefined);
      this.#retry(ResultCode.NoUpstream, 'The upstream granted is not configured here.');
      return;
    }
    const span = this.#services.tracing.startSpan(Hop.UpstreamAttempt, {
      parent: caller.span.context,
      requestId: caller.requestId,
      attributes: { upstream: upstreamId, resume_at: this.#tokens, priority },
    });
    const handle = this.#services.engines.startAttempt(
      {
        attemptId: id,
        upstream,
        body: chat.engineBody,
        priority,
        resumeAt: this.#tokens,
        traceparent: span.traceparent,
        firstTokenTimeoutMs: clampMs(
          serviceClass.firstTokenTargetMs * FIRST_SILENCE_TARGETS,
          MIN_FIRST_SILENCE_MS,
          MAX_FIRST_SILENCE_MS,
        ),
        tokenTimeoutMs: clampMs(
          serviceClass.tokenIntervalTargetMs * SILENCE_INTERVALS,
          MIN_SILENCE_MS,
          MAX_SILENCE_MS,
        ),
      },
      { onToken: this.#handleToken, onEnd: this.#handleEnd },
    );
    this.#running = {
      id,
      upstream,
      handle,
      span,
      startedAtMs,
      tokens: 0,
      firstTokenAtMs: undefined,
      lastTokenAtMs: 0,
    };
  };

  readonly #handleToken = ({ text }: TokenEvent): void => {
    const running = this.#running;
    if (running === undefined) return;
    const nowMs = this.#services.clock.getNowMs();
    if (running.firstTokenAtMs === undefined) {
      running.firstTokenAtMs = nowMs;
      running.span.addEvent('first_token');
    }
    this.#firstTokenAtMs ??= nowMs;
    running.lastTokenAtMs = nowMs;
    this.#lastTokenAtMs = nowMs;
    running.tokens += 1;
    this.#tokens += 1;
    if (running.tokens % PROGRESS_INTERVAL_TOKENS === 0) {
      this.#ticket?.reportProgress(running.tokens);
    }
    if (!this.#sink.push(text)) running.handle.pauseReading();
  };

  readonly #handleEnd = (outcome: AttemptOutcome): void => {
    const running = this.#running;
    this.#running = undefined;
    if (running === undefined || this.#isEnded) return;
    running.span.finish({ attributes: { end: outcome.end, tokens: running.tokens } });
    this.#release(RELEASE_REASONS[outcome.end], running);
    END_HANDLERS[outcome.end](this, outcome, running);
  };

  /** The whole answer has come. */
  readonly complete = (finishReason: string): void => {
    const { promptTokens } = this.#input;
    this.#sink.finish(finishReason, { promptTokens, completionTokens: this.#tokens });
    this.#recordAnswer();
    this.#end();
  };

  /** The engine did not run the attempt. */
  readonly handleUpstreamRefusal = (running: RunningAttempt): void => {
    this.#excluded.add(running.upstream.id);
    this.#retry(ResultCode.NoUpstream, 'The engine refused the request.');
  };

  /** The engine finds the request itself at fault. */
  readonly reject = (message: string): void =>
    this.#fail(ResultCode.InvalidField, `The engine rejected the request: ${message}`);

  /** The attempt broke off. */
  readonly handleBreak = (outcome: AttemptOutcome, running: RunningAttempt): void => {
    const { fingerprint } = this.#input;
    this.#excluded.add(running.upstream.id);
    if (outcome.end === AttemptEnd.Died) {
      this.#wasSuspect = true;
      this.#services.onUpstreamDied(running.upstream.id, fingerprint);
    }
    const code =
      outcome.end === AttemptEnd.Silent ? ResultCode.UpstreamTimeout : ResultCode.UpstreamFailed;
    this.#retry(code, outcome.message);
  };

  /** Asks again where attempts, deadline and budget allow, at the next token that the caller lacks. */
  readonly #retry = (code: ResultCode, message: string): void => {
    if (this.#isEnded) return;
    const { service } = this.#input.target;
    this.#failures += 1;
    const canRetry =
      this.#failures < service.retry.attemptLimit &&
      this.#services.clock.getNowMs() < this.#input.deadlineAtMs &&
      this.#services.retries.take(service);
    if (!canRetry) {
      this.#fail(code, message);
      return;
    }
    this.#ask();
  };

  readonly #handleRefusal = (code: ResultCode, retryAfterMs: number | undefined): void => {
    this.#askSpan?.finish({ code });
    this.#ticket = undefined;
    this.#fail(code, REFUSAL_MESSAGES[code] ?? 'The request cannot be served now.', retryAfterMs);
  };

  readonly #handlePreemption = (mode: PreemptionMode): void => {
    const running = this.#running;
    if (running === undefined) return;
    if (mode === PreemptionMode.Cancel) {
      this.#yield(running);
      return;
    }
    const command = mode === PreemptionMode.Pause ? AttemptCommand.Pause : AttemptCommand.Resume;
    running.handle.setHeld(mode === PreemptionMode.Pause);
    void this.#commandEngine(running, command);
  };

  readonly #commandEngine = async (
    running: RunningAttempt,
    command: AttemptCommand,
  ): Promise<void> => {
    const { engines } = this.#services;
    const isDone = await engines.sendCommand(running.upstream, running.id, command);
    if (!isDone && this.#running === running) this.#yield(running);
  };

  /** Gives up the running attempt for a higher tier and queues again, to resume where it stopped. */
  readonly #yield = (running: RunningAttempt): void => {
    this.#running = undefined;
    running.handle.abort();
    running.span.finish({ code: ResultCode.Preempted, attributes: { tokens: running.tokens } });
    this.#release(ReleaseReason.Preempted, running);
    if (!this.#isEnded) this.#ask();
  };

  readonly #handleDeadline = (): void => {
    const hasStarted = this.#running !== undefined || this.#tokens > 0;
    this.#stopRunning(WasteCause.Deadline);
    if (hasStarted) this.#fail(ResultCode.UpstreamTimeout, 'The deadline passed.');
    else this.#fail(ResultCode.DeadlineBeforeStart, 'The deadline passed before a start.');
  };

  readonly #handleCallerGone = (): void => {
    if (this.#isEnded) return;
    this.#stopRunning(WasteCause.CallerGone);
    this.#recordFailure(ResultCode.CallerGone);
    this.#end();
  };

  readonly #stopRunning = (cause: WasteCause): void => {
    const running = this.#running;
    this.#running = undefined;
    running?.handle.abort();
    running?.span.finish({ code: ResultCode.CallerGone, attributes: { tokens: running.tokens } });
    this.#release(ReleaseReason.CallerGone, running);
    this.#services.metrics.recordWaste(this.#input.target.service.name, cause, this.#tokens);
  };

  readonly #release = (reason: ReleaseReason, running: RunningAttempt | undefined): void => {
    const ticket = this.#ticket;
    this.#ticket = undefined;
    ticket?.release({
      reason,
      tokens: running?.tokens ?? 0,
      firstTokenMs:
        running?.firstTokenAtMs === undefined
          ? undefined
          : running.firstTokenAtMs - running.startedAtMs,
      tokenIntervalMs: running === undefined ? undefined : getIntervalMs(running),
    });
  };

  readonly #fail = (code: ResultCode, message: string, retryAfterMs?: number): void => {
    if (this.#isEnded) return;
    const hasText = this.#tokens > 0;
    const failure = hasText ? ResultCode.AnswerCut : code;
    const run = hasText ? RunState.Run : getRunState(code);
    const options = retryAfterMs === undefined ? { run } : { run, retryAfterMs };
    this.#sink.fail(new SardinegradeError(failure, message, options));
    if (hasText) {
      const { name } = this.#input.target.service;
      this.#services.metrics.recordWaste(name, WasteCause.UpstreamLost, this.#tokens);
    }
    this.#recordFailure(failure);
    this.#end();
  };

  readonly #recordFailure = (code: ResultCode): void =>
    this.#services.metrics.recordFailure({ ...this.#getLabels(), code });

  readonly #recordAnswer = (): void => {
    const { caller, target } = this.#input;
    const { firstTokenTargetMs, tokenIntervalTargetMs } = target.serviceClass;
    const firstTokenMs =
      this.#firstTokenAtMs === undefined ? undefined : this.#firstTokenAtMs - caller.arrivedAtMs;
    const tokenIntervalMs =
      this.#firstTokenAtMs === undefined || this.#tokens < 2
        ? undefined
        : (this.#lastTokenAtMs - this.#firstTokenAtMs) / (this.#tokens - 1);
    this.#services.metrics.recordAnswer({
      ...this.#getLabels(),
      firstTokenMs,
      tokenIntervalMs,
      durationMs: this.#services.clock.getNowMs() - caller.arrivedAtMs,
      tokens: this.#tokens,
      isAttained:
        (firstTokenMs ?? 0) <= firstTokenTargetMs &&
        (tokenIntervalMs ?? 0) <= tokenIntervalTargetMs,
    });
  };

  readonly #getLabels = () => ({
    service: this.#input.target.service.name,
    className: this.#input.target.serviceClass.name,
    workspace: this.#input.caller.workspace.name,
  });

  readonly #end = (): void => {
    this.#isEnded = true;
    clearTimeout(this.#deadlineTimer);
    this.#resolve?.();
  };
}

const getIntervalMs = (running: RunningAttempt): number | undefined =>
  running.firstTokenAtMs === undefined || running.tokens < 2
    ? undefined
    : (running.lastTokenAtMs - running.firstTokenAtMs) / (running.tokens - 1);

const RUN_STATES: ReadonlyMap<ResultCode, RunState> = new Map([
  [ResultCode.UpstreamFailed, RunState.Unknown],
  [ResultCode.UpstreamTimeout, RunState.Unknown],
  [ResultCode.SuspectFailed, RunState.Unknown],
]);

const getRunState = (code: ResultCode): RunState => RUN_STATES.get(code) ?? RunState.NotRun;

const REFUSAL_MESSAGES: Partial<Readonly<Record<ResultCode, string>>> = {
  [ResultCode.Overloaded]: 'The service is overloaded; higher tiers are served first.',
  [ResultCode.QueueFull]: 'The queue of this class is full.',
  [ResultCode.NoUpstream]: 'No engine of this service can be reached.',
  [ResultCode.Quarantined]: 'This request has crashed engines and is quarantined.',
  [ResultCode.DeadlineBeforeStart]: 'The request cannot start before its deadline.',
};

type EndHandler = (call: ChatCall, outcome: AttemptOutcome, running: RunningAttempt) => void;

const handleBreak: EndHandler = (call, outcome, running) => call.handleBreak(outcome, running);

const END_HANDLERS: Readonly<Record<AttemptEnd, EndHandler>> = {
  [AttemptEnd.Finished]: (call, outcome) => call.complete(outcome.finishReason ?? 'stop'),
  [AttemptEnd.Refused]: (call, _outcome, running) => call.handleUpstreamRefusal(running),
  [AttemptEnd.Rejected]: (call, outcome) => call.reject(outcome.message),
  [AttemptEnd.NotSent]: handleBreak,
  [AttemptEnd.Died]: handleBreak,
  [AttemptEnd.Silent]: handleBreak,
  [AttemptEnd.Crossed]: handleBreak,
  [AttemptEnd.Aborted]: () => undefined,
};
