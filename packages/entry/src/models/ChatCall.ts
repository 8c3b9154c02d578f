import { ResultCode, RunState, SardinegradeError, WasteCause } from '@sardinegrade/common';
import { decideRetry, PreemptionMode, ReleaseReason, RetryVerdict } from '@sardinegrade/dispatch';
import { AttemptCommand, AttemptEnd } from '@sardinegrade/upstream';

import { ChatObserver } from './ChatObserver.js';
import { PROGRESS_INTERVAL_TOKENS } from './constants.js';
import { computeFirstTokenTimeoutMs, computeTokenTimeoutMs } from './progressTimeouts.js';
import { describeRefusal, getRunState } from './refusals.js';
import { RunningAttempt } from './RunningAttempt.js';

import type {
  AttemptId,
  Fingerprint,
  UpstreamConfiguration,
  UpstreamId,
} from '@sardinegrade/common';
import type { GrantRelease, RandomSource, RetryBudget } from '@sardinegrade/dispatch';
import type {
  AttemptOutcome,
  EngineAttempt,
  EngineClient,
  TokenEvent,
} from '@sardinegrade/upstream';
import type { CallerRequest } from '../callers/index.js';
import type { GrantBroker, GrantTicket } from '../grants/index.js';
import type { RetryBudgets } from '../retries/index.js';
import type { AnswerSink } from './AnswerSink.js';
import type { ChatObserverServices } from './ChatObserver.js';
import type { ChatRequest, ChatTarget } from './types.js';

/** Services that all chat calls of a daemon share. */
export interface ChatCallServices extends ChatObserverServices {
  readonly broker: GrantBroker;
  readonly engines: EngineClient;
  readonly retryBudgets: RetryBudgets;
  readonly random: RandomSource;
  /** Whether a request with this fingerprint was running on an engine when that engine died, on any daemon. */
  readonly isSuspect: (fingerprint: Fingerprint) => boolean;
  /** Called when an upstream died while it was running the request. */
  readonly onUpstreamDied: (upstream: UpstreamId, fingerprint: Fingerprint) => void;
  readonly createAttemptId: () => AttemptId;
}

/** A parsed completion request with its target and deadline. */
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
  [AttemptEnd.NotSent]: ReleaseReason.UpstreamRefused,
  [AttemptEnd.Broken]: ReleaseReason.UpstreamDied,
  [AttemptEnd.TimedOut]: ReleaseReason.UpstreamSilent,
  [AttemptEnd.Mismatched]: ReleaseReason.UpstreamSilent,
  [AttemptEnd.Aborted]: ReleaseReason.CallerGone,
};

/** Ends of attempts that the engine certainly has not run. */
const NOT_RUN_ENDS: ReadonlySet<AttemptEnd> = new Set([AttemptEnd.Refused, AttemptEnd.NotSent]);

/** Runs one completion request: requests grants, runs attempts, retries, and sends the answer to the caller. */
export class ChatCall {
  readonly #services: ChatCallServices;
  readonly #input: ChatCallInput;
  readonly #sink: AnswerSink;
  readonly #observer: ChatObserver;
  readonly #budget: RetryBudget;
  readonly #excludedUpstreams = new Set<UpstreamId>();
  readonly #deadlineTimer: NodeJS.Timeout;
  #ticket: GrantTicket | undefined;
  #running: RunningAttempt | undefined;
  #attempts = 0;
  #failures = 0;
  #retryDelayMs = 0;
  #retryTimer: NodeJS.Timeout | undefined;
  #tokens = 0;
  /** Whether an engine may have begun to run the request. */
  #mayHaveStarted = false;
  /** Whether an engine died while it was running the request. */
  #hasLostEngine = false;
  #isEnded = false;
  #resolve: (() => void) | undefined;

  constructor(services: ChatCallServices, input: ChatCallInput, sink: AnswerSink) {
    this.#services = services;
    this.#input = input;
    this.#sink = sink;
    this.#budget = services.retryBudgets.getBudget(input.target.service);
    this.#observer = new ChatObserver(services, input.caller, input.target);
    const remainingMs = Math.max(0, input.deadlineAtMs - services.clock.getNowMs());
    this.#deadlineTimer = setTimeout(this.#handleDeadline, remainingMs);
    const { response } = input.caller;
    response.on('close', this.#handleCallerGone);
    response.on('drain', () => this.#running?.handle.resumeReading());
  }

  /**
   * Runs the request.
   *
   * @returns a promise that resolves once the answer or an error is sent, or the caller has disconnected
   */
  readonly run = async (): Promise<void> => {
    this.#budget.recordFirstAttempt();
    const ended = new Promise<void>((resolve) => {
      this.#resolve = resolve;
    });
    this.#requestGrant();
    await ended;
  };

  readonly #requestGrant = (): void => {
    const { caller, target, fingerprint, promptTokens, chat, prefixBlocks } = this.#input;
    this.#attempts += 1;
    const trace = this.#observer.recordGrantRequest(this.#attempts);
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
      excludedUpstreams: [...this.#excludedUpstreams],
      attempt: this.#attempts,
      isSuspect: this.#hasLostEngine || this.#services.isSuspect(fingerprint),
      trace,
    };
    const poolAndTier = { pool: target.service.pool, tier: target.serviceClass.tier };
    this.#ticket = this.#services.broker.requestGrant(poolAndTier, details, {
      onGrant: (upstream, priority) => this.#handleGrant(attemptId, upstream, priority),
      onRefuse: this.#handleRefusal,
      onPreempt: this.#handlePreemption,
    });
    if (this.#ticket === undefined) this.#handleRefusal(ResultCode.NoUpstream, undefined);
  };

  readonly #handleGrant = (id: AttemptId, upstreamId: UpstreamId, priority: number): void => {
    const traceparent = this.#observer.recordGrant(upstreamId, priority, this.#tokens);
    const upstream = this.#input.caller.configuration.upstreams.get(upstreamId);
    if (upstream === undefined) {
      this.#release(ReleaseReason.UpstreamRefused, undefined);
      this.#retry(ResultCode.NoUpstream, 'The engine granted is not configured here.');
      return;
    }
    const attempt = this.#buildAttempt(id, upstream, priority, traceparent);
    const handle = this.#services.engines.startAttempt(attempt, {
      onToken: this.#handleToken,
      onEnd: this.#handleEnd,
    });
    const startedAtMs = this.#services.clock.getNowMs();
    this.#running = new RunningAttempt(id, upstream, handle, startedAtMs);
  };

  readonly #buildAttempt = (
    attemptId: AttemptId,
    upstream: UpstreamConfiguration,
    priority: number,
    traceparent: string,
  ): EngineAttempt => {
    const { firstTokenTargetMs, tokenIntervalTargetMs } = this.#input.target.serviceClass;
    const remainingMs = this.#input.deadlineAtMs - this.#services.clock.getNowMs();
    return {
      attemptId,
      upstream,
      body: this.#input.chat.engineBody,
      priority,
      resumeAt: this.#tokens,
      traceparent,
      firstTokenTimeoutMs: computeFirstTokenTimeoutMs(firstTokenTargetMs, remainingMs),
      tokenTimeoutMs: computeTokenTimeoutMs(tokenIntervalTargetMs),
    };
  };

  readonly #handleToken = ({ text }: TokenEvent): void => {
    const running = this.#running;
    if (running === undefined) return;
    const nowMs = this.#services.clock.getNowMs();
    running.addToken(nowMs);
    this.#observer.recordToken(nowMs);
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
    if (!NOT_RUN_ENDS.has(outcome.end)) this.#mayHaveStarted = true;
    this.#release(RELEASE_REASONS[outcome.end], running);
    END_HANDLERS[outcome.end](this, outcome, running);
  };

  /** Handles a complete answer. */
  readonly complete = (finishReason: string): void => {
    const { promptTokens } = this.#input;
    this.#sink.finish(finishReason, { promptTokens, completionTokens: this.#tokens });
    this.#observer.recordAnswer(this.#tokens);
    this.#end();
  };

  /** Handles a request that the engine rejected as invalid; it is not retried. */
  readonly reject = (message: string): void =>
    this.#fail(ResultCode.InvalidField, `The engine rejected the request: ${message}`);

  /** Handles an attempt that failed, or that the engine did not accept. */
  readonly handleAttemptFailure = (outcome: AttemptOutcome, running: RunningAttempt): void => {
    const { fingerprint } = this.#input;
    this.#observer.recordUnfinishedAttempt(running.upstream.id, outcome, running.tokens);
    this.#excludedUpstreams.add(running.upstream.id);
    if (outcome.end === AttemptEnd.Broken) {
      this.#hasLostEngine = true;
      this.#services.onUpstreamDied(running.upstream.id, fingerprint);
    }
    this.#retry(FAILURE_CODES.get(outcome.end) ?? ResultCode.UpstreamFailed, outcome.message);
  };

  /** Retries from the first missing token if attempt limit, deadline and retry budget allow it, else fails. */
  readonly #retry = (code: ResultCode, message: string): void => {
    if (this.#isEnded) return;
    this.#failures += 1;
    const failed = {
      mayHaveStarted: this.#mayHaveStarted,
      // A completion has no side effects.
      isRepeatable: true,
      canResume: this.#tokens > 0,
      attempts: this.#failures,
      attemptLimit: this.#input.target.service.retry.attemptLimit,
      deadlineAtMs: this.#input.deadlineAtMs,
      previousDelayMs: this.#retryDelayMs,
      code,
    };
    const decision = decideRetry(failed, {
      budget: this.#budget,
      nowMs: this.#services.clock.getNowMs(),
      random: this.#services.random,
    });
    if (decision.verdict === RetryVerdict.Stop) {
      this.#fail(decision.code, message);
      return;
    }
    this.#observer.recordRetry(this.#failures, this.#tokens);
    this.#retryDelayMs = decision.delayMs;
    this.#retryTimer = setTimeout(this.#requestGrant, decision.delayMs);
  };

  readonly #handleRefusal = (code: ResultCode, retryAfterMs: number | undefined): void => {
    this.#ticket = undefined;
    this.#observer.recordRefusal(code);
    this.#fail(code, describeRefusal(code), retryAfterMs);
  };

  readonly #handlePreemption = (mode: PreemptionMode): void => {
    const running = this.#running;
    if (running === undefined) return;
    this.#observer.recordPreemption(running.upstream.id, mode);
    if (mode === PreemptionMode.Cancel) {
      this.#abortAndRequeue(running);
      return;
    }
    running.handle.setPausedByEngine(mode === PreemptionMode.Pause);
    void this.#sendEngineCommand(running, ENGINE_COMMANDS[mode]);
  };

  readonly #sendEngineCommand = async (
    running: RunningAttempt,
    command: AttemptCommand,
  ): Promise<void> => {
    const { engines } = this.#services;
    const isDone = await engines.sendCommand(running.upstream, running.id, command);
    if (!isDone && this.#running === running) this.#abortAndRequeue(running);
  };

  /** Aborts the running attempt in favour of a higher tier and requests a grant to resume after its last token. */
  readonly #abortAndRequeue = (running: RunningAttempt): void => {
    this.#running = undefined;
    this.#mayHaveStarted = true;
    running.handle.abort();
    const outcome = { end: AttemptEnd.Aborted, message: 'Preempted.' };
    this.#observer.recordUnfinishedAttempt(running.upstream.id, outcome, running.tokens);
    this.#release(ReleaseReason.Preempted, running);
    if (!this.#isEnded) this.#requestGrant();
  };

  readonly #handleDeadline = (): void => {
    const wasRunning = this.#running !== undefined;
    this.#stopRunning();
    this.#observer.recordWaste(WasteCause.Deadline, this.#tokens);
    if (wasRunning) this.#fail(ResultCode.UpstreamTimeout, 'The deadline passed.');
    else this.#fail(ResultCode.DeadlineBeforeStart, 'The deadline passed before a start.');
  };

  readonly #handleCallerGone = (): void => {
    if (this.#isEnded) return;
    this.#stopRunning();
    this.#observer.recordWaste(WasteCause.CallerGone, this.#tokens);
    this.#observer.recordFailure(ResultCode.CallerGone);
    this.#end();
  };

  readonly #stopRunning = (): void => {
    const running = this.#running;
    this.#running = undefined;
    running?.handle.abort();
    this.#release(ReleaseReason.CallerGone, running);
  };

  readonly #release = (reason: ReleaseReason, running: RunningAttempt | undefined): void => {
    const ticket = this.#ticket;
    this.#ticket = undefined;
    ticket?.release(running?.buildRelease(reason) ?? buildEmptyRelease(reason));
  };

  readonly #fail = (code: ResultCode, message: string, retryAfterMs?: number): void => {
    if (this.#isEnded) return;
    const isPartial = this.#tokens > 0;
    const failure = isPartial ? ResultCode.AnswerCut : code;
    const run = isPartial ? RunState.Run : getRunState(code, this.#mayHaveStarted);
    const options = retryAfterMs === undefined ? { run } : { run, retryAfterMs };
    this.#sink.fail(new SardinegradeError(failure, message, options));
    if (code !== ResultCode.UpstreamTimeout) {
      this.#observer.recordWaste(WasteCause.UpstreamLost, this.#tokens);
    }
    this.#observer.recordFailure(failure);
    this.#end();
  };

  readonly #end = (): void => {
    this.#isEnded = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#retryTimer);
    this.#resolve?.();
  };
}

const buildEmptyRelease = (reason: ReleaseReason): Omit<GrantRelease, 'askId'> => ({
  reason,
  tokens: 0,
  firstTokenMs: undefined,
  tokenIntervalMs: undefined,
});

const ENGINE_COMMANDS = {
  [PreemptionMode.Pause]: AttemptCommand.Pause,
  [PreemptionMode.Resume]: AttemptCommand.Resume,
} as const;

const FAILURE_CODES: ReadonlyMap<AttemptEnd, ResultCode> = new Map([
  [AttemptEnd.Refused, ResultCode.NoUpstream],
  [AttemptEnd.TimedOut, ResultCode.UpstreamTimeout],
]);

type EndHandler = (call: ChatCall, outcome: AttemptOutcome, running: RunningAttempt) => void;

const handleAttemptFailure: EndHandler = (call, outcome, running) =>
  call.handleAttemptFailure(outcome, running);

const END_HANDLERS: Readonly<Record<AttemptEnd, EndHandler>> = {
  [AttemptEnd.Finished]: (call, outcome) => call.complete(outcome.finishReason ?? 'stop'),
  [AttemptEnd.Refused]: handleAttemptFailure,
  [AttemptEnd.Rejected]: (call, outcome) => call.reject(outcome.message),
  [AttemptEnd.NotSent]: handleAttemptFailure,
  [AttemptEnd.Broken]: handleAttemptFailure,
  [AttemptEnd.TimedOut]: handleAttemptFailure,
  [AttemptEnd.Mismatched]: handleAttemptFailure,
  [AttemptEnd.Aborted]: () => undefined,
};
