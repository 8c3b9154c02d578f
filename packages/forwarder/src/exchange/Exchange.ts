import { HTTP_STATUS, ResultCode } from '@sardinegrade/common';
import {
  chooseService,
  computeRetryAfterMs,
  computePriorityRank,
  NextStep,
  PREFILL_TOKENS_PER_MS,
  RouteKind,
  SendFailure,
} from '@sardinegrade/routing';

import { ANSWER_GRACE_MS, DRAINING_RETRY_MS } from '../constants.js';
import { LinkSign } from '../links/index.js';
import { Attempts } from './Attempts.js';
import { buildUnexpectedReply } from './buildUnexpectedReply.js';
import { buildWorkerRequest } from './buildWorkerRequest.js';
import { CallerAnswer } from './CallerAnswer.js';
import { claimWorker } from './claimWorker.js';
import { computeSilenceTimeoutMs } from './computeSilenceTimeout.js';
import { ExchangeReport } from './ExchangeReport.js';
import { findExclusion } from './findExclusion.js';
import {
  findLimitRefusal,
  findQuarantineRefusal,
  findSendRefusal,
  findWaitRefusal,
} from './findRefusal.js';
import { recordActivity } from './recordActivity.js';
import { recordNotices } from './recordNotices.js';
import { recordSendFailure } from './recordSendFailure.js';
import { recordSlowHead } from './recordSlowHead.js';
import { recordStreamEvents } from './recordStreamEvents.js';
import { recordStreamOrigin } from './recordStreamOrigin.js';
import { isServedElsewhere, selectForRequest } from './selectForRequest.js';
import { sendToProcess } from './sendToProcess.js';
import { isFramed, isSuccess } from './sendToWorker.js';
import { StreamProgress } from './StreamProgress.js';
import { toFinalCode } from './toFinalCode.js';
import { finishUnansweredSend } from './unansweredSends.js';

import type { BuildName, ServiceName } from '@sardinegrade/common';
import type { EngineLoad, RoutedService } from '@sardinegrade/routing';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ForwarderState } from '../ForwarderState.js';
import type { LocalReply } from '../front/sendLocalReply.js';
import type { QueuedRequest } from '../waiting/index.js';
import type { WorkerRecord } from '../workers/index.js';
import type { PendingRequest } from './findRefusal.js';
import type { RequestProgress, RequestSelection } from './selectForRequest.js';
import type { AnswerHead, SendEnd } from './sendToWorker.js';
import type { ActiveSend, AdmittedRequest } from './types.js';

/** Minimum time limit of timers and sends, in milliseconds. */
const MIN_REMAINING_MS = 1;

/** Serves one request of a caller: sends it to workers until one answers or no further attempt is possible. */
export class Exchange {
  readonly #stream = new StreamProgress();
  readonly #report: ExchangeReport;
  readonly #answer: CallerAnswer;
  readonly #service: ServiceName | undefined;
  readonly #timeoutMs: number;
  /** Priority rank; 0 is the most urgent. */
  readonly #priorityRank: number;
  /** Prefill time of the complete prompt on an idle engine, in milliseconds. */
  readonly #prefillMs: number;
  readonly #attempts: Attempts;
  #timeoutTimer: NodeJS.Timeout | undefined;
  #activeSend: ActiveSend | undefined;
  #queuedRequest: QueuedRequest | undefined;
  /** Build of the worker whose event reached the caller first; the rest of the stream has to come from it. */
  #build: BuildName | undefined;
  #isFinished = false;
  #lastErrorAnswer: Extract<SendEnd, { isComplete: true }> | undefined;

  constructor(
    private readonly state: ForwarderState,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly admitted: AdmittedRequest,
  ) {
    const { route, caller, origin, holder, timeoutMs } = admitted;
    this.#service = origin?.service ?? chooseService(route.shares, state.options.random);
    this.#build = origin?.build;
    this.#report = new ExchangeReport(state, admitted, this.#service);
    this.#answer = new CallerAnswer(state, response, admitted.holder?.workspace);
    this.#priorityRank = computePriorityRank(holder?.priority, route.priority);
    this.#prefillMs = (caller.prompt?.promptTokens ?? 0) / PREFILL_TOKENS_PER_MS;
    this.#timeoutMs = timeoutMs;
    this.#attempts = new Attempts(state, route, this.#service, () => this.#getRemainingMs());
  }

  /** Starts serving the request. */
  start(): void {
    const untilTimeoutMs = Math.max(MIN_REMAINING_MS, this.#getRemainingMs() + ANSWER_GRACE_MS);
    this.#timeoutTimer = setTimeout(() => this.#run(() => this.#onTimeout()), untilTimeoutMs);
    this.response.on('close', () => this.#run(() => this.#onCallerClose()));
    if (this.#service !== undefined)
      this.state.getBudget(this.#service).recordRequest(this.state.options.getNowMs());
    this.#run(() => this.#sendNext());
  }

  /** Runs a step. If it throws, the request gets a final answer: no later step may give it one. */
  #run<Result>(step: () => Result): Result | undefined {
    try {
      return step();
    } catch (thrown) {
      this.#onUnexpectedError(thrown);
      return undefined;
    }
  }

  #onUnexpectedError(thrown: unknown): void {
    const active = this.#activeSend;
    this.#activeSend = undefined;
    this.#finish();
    this.#report.recordUnexpectedError(thrown);
    const times = { remainingMs: this.#getRemainingMs(), random: this.state.options.random };
    this.#answer.settle(buildUnexpectedReply(this.#attempts.canHaveRun, times));
    if (active === undefined) return;
    active.send?.cancel(SendFailure.Silent, 'the request failed unexpectedly');
    active.record.pool.abort(active.claimed.connection);
  }

  #getNowMs(): number {
    return this.state.options.getNowMs();
  }

  #getAgeMs(): number {
    return this.#getNowMs() - this.admitted.arrivedAtMs;
  }

  #getRemainingMs(): number {
    return this.#timeoutMs - this.#getAgeMs();
  }

  /** Sends the request to the next worker, or queues it until an engine accepts it. */
  #sendNext(): void {
    if (this.#tryStart()) return;
    const { route, arrivedAtMs } = this.admitted;
    this.#queuedRequest = {
      priority: this.#priorityRank,
      arrivedAtMs,
      dueAtMs: arrivedAtMs + route.targetMs,
      prefillMs: this.#prefillMs,
      tryStart: () => this.#isFinished || (this.#run(() => this.#tryStart()) ?? true),
      refuseIfExpired: () => this.#isFinished || (this.#run(() => this.#refuseIfExpired()) ?? true),
    };
    this.state.queue.add(this.#queuedRequest);
  }

  /** Sends the request, or fails it if there is no worker. Returns false if it has to wait. */
  #tryStart(): boolean {
    if (this.#refuseIfUnsendable()) return true;
    const selected = this.#select();
    if (selected !== undefined && selected.selection.limited.length > 0) {
      return this.#refuseIfLimited(selected.selection.limited);
    }
    const record = selected?.selection.record;
    if (selected === undefined || record === undefined) {
      const scope = this.#build === undefined ? 'the service' : `build '${this.#build}'`;
      const reason = `no worker of ${scope} is known`;
      this.#replyFailure(this.#attempts.runs > 0, ResultCode.NoUpstream, reason);
      return true;
    }
    const { service, selection } = selected;
    if (selection.shouldWait) return false;
    this.#sendTo(record, service, selection.load);
    return true;
  }

  get #progress(): RequestProgress {
    return { service: this.#service, attempts: this.#attempts, build: this.#build };
  }

  #select(): RequestSelection | undefined {
    return selectForRequest(this.state, this.admitted, this.#progress);
  }

  get #pending(): PendingRequest {
    const { caller, route } = this.admitted;
    return {
      route,
      prompt: caller.prompt,
      prefillMs: this.#prefillMs,
      waitedMs: this.#getAgeMs(),
      remainingMs: this.#getRemainingMs(),
    };
  }

  /** Refuses the request if it is not to wait any longer. Returns whether it was refused. */
  #refuseIfExpired(): boolean {
    // An answer that has begun is not refused for load or the exit: it waits for a worker until its deadline.
    if (this.#answer.hasBegun) return false;
    return this.#refuseFor(findWaitRefusal(this.state, this.#pending));
  }

  /** Refuses the request if there is a reason. Returns whether it was refused. */
  #refuseFor(refusal: LocalReply | undefined): boolean {
    if (refusal === undefined) return false;
    const { code, message, retryAfterMs } = refusal;
    this.#replyFailure(this.#attempts.runs > 0, code, message, retryAfterMs);
    return true;
  }

  #refuseIfUnsendable(): boolean {
    const { caller } = this.admitted;
    const refusal = this.#answer.hasBegun
      ? findQuarantineRefusal(this.state, caller.prompt)
      : findSendRefusal(this.state, this.#pending);
    return this.#refuseFor(refusal);
  }

  /** Refuses a request that arrives while all workers are limited if it would wait too long. */
  #refuseIfLimited(limited: readonly WorkerRecord[]): boolean {
    if (this.#queuedRequest !== undefined) return false;
    const { route } = this.admitted;
    const remainingMs = this.#getRemainingMs();
    const request = { route, priority: this.#priorityRank, remainingMs };
    return this.#refuseFor(findLimitRefusal(this.state, limited, request));
  }

  #sendTo(record: WorkerRecord, service: RoutedService, load: EngineLoad): void {
    const { caller } = this.admitted;
    const { isRepeatable } = this.#attempts;
    const active = claimWorker(this.state, this.admitted, { record, service, isRepeatable, load });
    const uncachedTokens = active.run?.uncachedTokens ?? 0;
    const placement = { ...load, queuedMs: this.#getAgeMs(), uncachedTokens };
    this.#report.recordSend(record.worker, placement);
    this.#activeSend = active;
    this.#attempts.recordSend(record.worker.id);
    const { protocol } = this.state.options;
    const workerRequest = buildWorkerRequest(protocol, this.request, this.admitted, {
      worker: record.worker.id,
      remainingMs: Math.max(MIN_REMAINING_MS, Math.floor(this.#getRemainingMs())),
      priority: active.run === undefined ? undefined : this.#priorityRank,
      lastEventId: this.#stream.lastEventId ?? caller.lastEventId,
    });
    active.send = sendToProcess(this.state, active, workerRequest, {
      onSlowHead: () => recordSlowHead(this.state, active, this.#report),
      findExclusion: () =>
        this.#run(() => findExclusion(this.state, this.admitted, this.#progress, active)),
      shouldRelay: (head) => this.#run(() => this.#onHead(active, head)) ?? false,
      onChunk: (chunk, resume) => this.#run(() => this.#onChunk(active, chunk, resume)) ?? true,
      onEnd: (end) => this.#run(() => this.#onSendEnd(active, end)),
    });
    this.#watchSilence(active);
  }

  #watchSilence(active: ActiveSend): void {
    if (this.#activeSend !== active) return;
    const timeoutMs = computeSilenceTimeoutMs(this.admitted.route, active.hasFirstEvent);
    const onExpired = (): void => this.#run(() => this.#onSilence(active, timeoutMs));
    active.silenceTimer.start(timeoutMs, onExpired);
  }

  /** Gives a silent worker up if another one can serve the request; otherwise waits, since it may go on. */
  #onSilence(active: ActiveSend, timeoutMs: number): void {
    if (this.#activeSend !== active || this.#isFinished) return;
    if (!active.claimed.connection.isTunnel) void this.state.links.check(LinkSign.Silent);
    if (!this.#attempts.isRepeatable) return;
    active.record.health.recordSilence(this.#getNowMs());
    // Less time than this one had is too short for another worker to answer.
    if (this.#getRemainingMs() >= timeoutMs && this.#canSendElsewhere()) {
      active.send?.cancel(SendFailure.Silent, `no answer within ${timeoutMs} ms`);
      return;
    }
    this.#report.recordSilence(active.record.worker.id, timeoutMs);
    this.#watchSilence(active);
  }

  /** Whether another worker can serve the request at once if the current send is given up. */
  #canSendElsewhere(): boolean {
    if (!this.#attempts.canReplaceSilent()) return false;
    if (findQuarantineRefusal(this.state, this.admitted.caller.prompt) !== undefined) return false;
    return isServedElsewhere(this.state, this.#attempts, this.#select()?.selection);
  }

  #onHead(active: ActiveSend, head: AnswerHead): boolean {
    recordNotices(this.state, active, head);
    recordActivity(this.state, active);
    const isRelayed = this.admitted.route.kind === RouteKind.Streaming && isSuccess(head.status);
    const fault = isRelayed
      ? this.#stream.findHeadFault(this.#answer.begunStreamHead, head)
      : undefined;
    if (fault !== undefined) {
      active.send?.cancel(SendFailure.Broken, fault);
      return true;
    }
    if (isRelayed) this.#answer.setStreamHead(head);
    this.#watchSilence(active);
    return isRelayed;
  }

  #onChunk(active: ActiveSend, chunk: Buffer, resume: () => void): boolean {
    if (this.#isFinished) return true;
    recordActivity(this.state, active);
    const { events, fault } = this.#stream.push(active, chunk, this.#answer.hasBegun);
    if (fault !== undefined) {
      active.send?.cancel(SendFailure.Broken, fault);
      return true;
    }
    if (events.length === 0) return true;
    this.#build ??= recordStreamOrigin(this.state, this.admitted, active.record);
    this.#report.recordEvents();
    recordStreamEvents(this.state, active);
    this.#watchSilence(active);
    const canWrite = this.#answer.writeEvents(events, () => {
      this.#watchSilence(active);
      resume();
    });
    // A worker that is not read because its caller reads slowly is not silent.
    if (!canWrite) {
      active.silenceTimer.stop();
      active.pace?.recordHeldUp();
    }
    return canWrite;
  }

  #onSendEnd(active: ActiveSend, end: SendEnd): void {
    active.silenceTimer.stop();
    if (active.run !== undefined) active.record.tracker.finish(active.run);
    finishUnansweredSend(this.state.partQuarantine, active, end);
    const { pool } = active.record;
    if (end.isComplete) pool.release(active.claimed.connection, this.#getNowMs());
    else pool.abort(active.claimed.connection);
    if (this.#activeSend === active) this.#activeSend = undefined;
    if (this.#isFinished) return;
    active.pace?.recordEnd(end);
    if (end.isComplete) this.#onAnswer(active, end);
    else this.#onFailure(active, end.failure, end.reason);
    this.state.queue.retryAll();
  }

  #onAnswer(active: ActiveSend, end: Extract<SendEnd, { isComplete: true }>): void {
    const { route } = this.admitted;
    if (isSuccess(end.head.status)) {
      active.record.health.recordSuccess();
      if (route.kind !== RouteKind.Streaming) {
        this.#report.recordEvents();
        this.#report.recordAnswer(active.record.worker.id);
        this.#relayAnswer(end);
        return;
      }
      const canAskOther = (): boolean => this.#answer.hasBegun && this.#canSendElsewhere();
      const fault = this.#stream.findEndFault(active, end.head, canAskOther);
      if (fault === undefined && !isFramed(end.head)) this.#report.recordUnframedEnd(active);
      if (fault === undefined) this.#finishStream(active);
      else this.#onFailure(active, SendFailure.Broken, fault);
      return;
    }
    const isServerError = end.head.status >= HTTP_STATUS[ResultCode.Internal];
    if (!isServerError && !this.#answer.hasBegun) {
      this.#relayAnswer(end);
      return;
    }
    if (isServerError) {
      active.record.health.recordErrorAnswer();
      this.#lastErrorAnswer = end;
    }
    this.#onFailure(active, SendFailure.ErrorAnswer, `answered ${end.head.status}`);
  }

  #finishStream(active: ActiveSend): void {
    this.#finish();
    this.#report.recordAnswer(active.record.worker.id);
    this.#answer.finishStream();
  }

  #relayAnswer(end: Extract<SendEnd, { isComplete: true }>): void {
    this.#finish();
    this.#answer.relay(end);
  }

  #onFailure(active: ActiveSend, failure: SendFailure, reason: string): void {
    recordSendFailure(this.state, active, { failure, fingerprint: this.admitted.fingerprint });
    this.#stream.clearPartialEvent();
    const step = this.#attempts.recordFailure(failure);
    const { runs, sends } = this.#attempts;
    this.#report.recordFailedSend(active, { failure, reason, runs, sends, next: step });
    if (step === NextStep.SendAgain) {
      this.#sendNext();
      return;
    }
    if (step === NextStep.RefuseNotRun) {
      this.#replyFailure(false, ResultCode.NoUpstream, 'no worker took the request');
      return;
    }
    if (this.#lastErrorAnswer !== undefined && !this.#answer.hasBegun) {
      this.#relayAnswer(this.#lastErrorAnswer);
      return;
    }
    this.#replyFailure(true, ResultCode.UpstreamFailed, reason);
  }

  #replyFailure(
    canHaveStarted: boolean,
    code: ResultCode,
    message: string,
    ownRetryAfterMs?: number,
  ): void {
    if (this.#answer.hasBegun) {
      this.#abortAnswer(message);
      return;
    }
    this.#finish();
    const final = toFinalCode(code, canHaveStarted);
    const retryAfterMs = canHaveStarted
      ? undefined
      : (ownRetryAfterMs ?? computeRetryAfterMs(this.#getRemainingMs(), this.state.options.random));
    this.#report.recordFailure(final, message, this.#attempts.runs);
    this.#answer.reply({ code: final, message, retryAfterMs });
  }

  #abortAnswer(reason: string): void {
    this.#finish();
    this.#report.recordFailure(ResultCode.AnswerCut, reason, this.#attempts.runs);
    this.#answer.abort();
  }

  /** Gives the request its final answer, because the process exits. */
  settleForExit(): void {
    this.#run(() => this.#giveUp(ResultCode.UpstreamFailed, 'this VM exits', DRAINING_RETRY_MS));
  }

  #onTimeout(): void {
    this.#giveUp(ResultCode.UpstreamTimeout, `no whole answer within ${this.#timeoutMs} ms`);
  }

  /** Ends the request with a code if it may have run, and as not run otherwise. */
  #giveUp(code: ResultCode, message: string, retryAfterMs?: number): void {
    if (this.#isFinished) return;
    const active = this.#activeSend;
    const canHaveStarted = this.#attempts.runs > 0 || active !== undefined;
    const final = canHaveStarted ? code : ResultCode.NoUpstream;
    this.#replyFailure(canHaveStarted, final, message, retryAfterMs);
    active?.send?.cancel(SendFailure.Silent, message);
  }

  #onCallerClose(): void {
    if (this.#isFinished) return;
    const active = this.#activeSend;
    this.#finish();
    this.#report.recordFailure(
      ResultCode.CallerGone,
      'the caller closed its connection',
      this.#attempts.runs,
    );
    active?.send?.cancel(SendFailure.Silent, 'the caller is gone');
  }

  #finish(): void {
    this.#isFinished = true;
    clearTimeout(this.#timeoutTimer);
    if (this.#queuedRequest !== undefined) this.state.queue.remove(this.#queuedRequest);
  }
}
