import { HTTP_STATUS, ResultCode } from '@sardinegrade/common';
import {
  canHaveRun,
  chooseService,
  computeRetryAfterMs,
  computeUrgency,
  decideNextStep,
  NextStep,
  READING_TOKENS_PER_MS,
  RouteKind,
  SendFailure,
  shouldGiveUp,
} from '@sardinegrade/routing';

import { ANSWER_GRACE_MS, DEFAULT_TIMEOUT_MS } from '../constants.js';
import { toLifeId } from '../ForwarderState.js';
import { sendOwnReply } from '../front/replies.js';
import { EventFramer } from '../relay/index.js';
import { chooseRecord } from './chooseRecord.js';
import { ExchangeReport } from './ExchangeReport.js';
import { isSuccess, sendToWorker } from './sendToWorker.js';
import { computeSilenceMs } from './silence.js';

import type { Fingerprint, RequestId, ServiceName, UpstreamId } from '@sardinegrade/common';
import type { EngineRun, KeyHolder, Route, RoutedService } from '@sardinegrade/routing';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ClaimedChannel } from '../channels/index.js';
import type { ForwarderState } from '../ForwarderState.js';
import type { CallerRequest } from '../types.js';
import type { Ticket } from '../waiting/index.js';
import type { WorkerRecord } from '../workers/index.js';
import type { AnswerHead, Send, SendEnd } from './sendToWorker.js';

/** A caller's request that has been read and may be served. */
export interface AdmittedRequest {
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly holder: KeyHolder | undefined;
  readonly body: Buffer | undefined;
  /** By which it is recognised when it is sent again. */
  readonly fingerprint: Fingerprint;
  readonly arrivedAtMs: number;
}

/** One send and what it holds at its worker. */
interface OpenSend {
  readonly record: WorkerRecord;
  readonly claimed: ClaimedChannel;
  readonly run: EngineRun | undefined;
  readonly startedAtMs: number;
  send?: Send;
  silenceTimer?: NodeJS.Timeout;
  silenceMs?: number;
  hasBegun: boolean;
}

const MS_PER_TICK = 1;

/** Serves one request of a caller: sends it to workers until one answers or nothing more can be done. */
export class Exchange {
  readonly #framer = new EventFramer();
  readonly #report: ExchangeReport;
  readonly #tried = new Set<UpstreamId>();
  readonly #service: ServiceName | undefined;
  readonly #limitMs: number;
  readonly #isRepeatable: boolean;
  #limitTimer: NodeJS.Timeout | undefined;
  #open: OpenSend | undefined;
  #ticket: Ticket | undefined;
  #headToRelay: AnswerHead | undefined;
  #runs = 0;
  #sends = 0;
  #isFinished = false;
  #lastErrorAnswer: Extract<SendEnd, { isWhole: true }> | undefined;

  constructor(
    private readonly state: ForwarderState,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly admitted: AdmittedRequest,
  ) {
    const { route, caller } = admitted;
    this.#service = chooseService(route.shares, state.options.random);
    this.#report = new ExchangeReport(state, admitted, this.#service);
    this.#limitMs = Math.min(caller.deadlineMs ?? DEFAULT_TIMEOUT_MS, route.timeoutMs);
    this.#isRepeatable = route.kind === RouteKind.Safe || route.isResumable;
  }

  /** Begins to serve the request. */
  start(): void {
    const untilLimitMs = Math.max(MS_PER_TICK, this.#getRemainingMs() + ANSWER_GRACE_MS);
    this.#limitTimer = setTimeout(() => this.#onLimit(), untilLimitMs);
    this.response.on('close', () => this.#onCallerClose());
    if (this.#service !== undefined) this.state.getBudget(this.#service).recordFirstAttempt();
    this.#sendNext();
  }

  get #requestId(): RequestId | undefined {
    return this.admitted.caller.requestId;
  }

  get #urgency(): number {
    const { holder, route } = this.admitted;
    return computeUrgency(holder?.priority, route.priority);
  }

  /** Time that an idle engine takes to read the whole prompt, in milliseconds. */
  get #readingMs(): number {
    return (this.admitted.caller.prompt?.promptTokens ?? 0) / READING_TOKENS_PER_MS;
  }

  #now(): number {
    return this.state.options.getNowMs();
  }

  #measureAgeMs(): number {
    return this.#now() - this.admitted.arrivedAtMs;
  }

  #getRemainingMs(): number {
    return this.#limitMs - this.#measureAgeMs();
  }

  /** Sends the request to the next worker, or lets it wait until an engine is free. */
  #sendNext(): void {
    if (this.#tryStart()) return;
    const { route, arrivedAtMs } = this.admitted;
    this.#ticket = {
      priority: this.#urgency,
      arrivedAtMs,
      dueAtMs: arrivedAtMs + route.targetMs,
      readingMs: this.#readingMs,
      tryStart: () => this.#isFinished || this.#tryStart(),
      giveUpIfLate: () => this.#isFinished || this.#giveUpIfLate(),
    };
    this.state.waiting.add(this.#ticket);
  }

  /** Sends the request unless it has to wait; answers whether it waits no longer. */
  #tryStart(): boolean {
    const service = this.#findService();
    const { prompt } = this.admitted.caller;
    const choice =
      service &&
      chooseRecord({
        state: this.state,
        service,
        prompt,
        targetMs: this.admitted.route.targetMs,
        tried: this.#tried,
        isRepeatable: this.#isRepeatable,
        nowMs: this.#now(),
      });
    if (service === undefined || choice?.record === undefined) {
      this.#giveUp(this.#runs > 0, ResultCode.NoUpstream, 'no worker of the service is known');
      return true;
    }
    if (choice.isHeld) return false;
    this.#sendTo(choice.record, service, choice.backlogTokens);
    return true;
  }

  /** Refuses a request that has waited for too long; answers whether it did. */
  #giveUpIfLate(): boolean {
    const { route } = this.admitted;
    const times = {
      waitedMs: this.#measureAgeMs(),
      remainingMs: this.#getRemainingMs(),
      readingMs: this.#readingMs,
      streamMs: this.state.pace.estimateMs(route.name),
    };
    if (!shouldGiveUp(route, times)) return false;
    this.#giveUp(this.#runs > 0, ResultCode.Overloaded, 'all engines had too much to read');
    return true;
  }

  #findService(): RoutedService | undefined {
    if (this.#service === undefined) return undefined;
    const { configuration } = this.state;
    const known = configuration?.services.get(this.#service);
    return known ?? { name: this.#service, connectionLimit: 0, engine: undefined };
  }

  #sendTo(record: WorkerRecord, service: RoutedService, backlogTokens: number): void {
    const { holder, caller, body } = this.admitted;
    const nowMs = this.#now();
    const claimed = record.pool.claim(nowMs, this.#isRepeatable);
    const prompt = service.engine === undefined ? undefined : caller.prompt;
    const run = prompt === undefined ? undefined : record.account.start(prompt, nowMs);
    const unreadTokens = run?.unreadTokens ?? 0;
    this.#report.recordSend({ heldMs: this.#measureAgeMs(), backlogTokens, unreadTokens });
    if (prompt !== undefined && run?.hasNewShared === true) {
      this.state.onPlacement(record.worker.id, prompt.parts);
    }
    const open: OpenSend = { record, claimed, run, startedAtMs: nowMs, hasBegun: false };
    this.#open = open;
    this.#sends += 1;
    this.#tried.add(record.worker.id);
    const headers = this.state.options.protocol.encodeSend(this.request.rawHeaders, {
      worker: record.worker.id,
      remainingMs: Math.max(MS_PER_TICK, Math.floor(this.#getRemainingMs())),
      workspace: holder?.workspace,
      priority: prompt === undefined ? undefined : this.#urgency,
      lastEventId: this.#framer.lastEventId ?? caller.lastEventId,
    });
    const worker = {
      method: this.request.method ?? 'GET',
      path: this.request.url ?? '/',
      headers,
      body,
      requestId: this.#requestId,
    };
    open.send = sendToWorker(worker, claimed, this.state.options.protocol, {
      isRelayed: (head) => this.#onHead(open, head),
      onPiece: (piece, resume) => this.#onPiece(open, piece, resume),
      onEnd: (end) => this.#onSendEnd(open, end),
    });
    this.#watchSilence(open);
  }

  #watchSilence(open: OpenSend): void {
    if (!this.#isRepeatable || this.#open !== open) return;
    const silenceMs = computeSilenceMs(this.admitted.route, open.hasBegun);
    // Each piece of a stream comes by here, mostly with the same limit.
    if (open.silenceTimer !== undefined && open.silenceMs === silenceMs) {
      open.silenceTimer.refresh();
      return;
    }
    const onSilence = (): void =>
      open.send?.cancel(SendFailure.Silent, `no answer within ${silenceMs} ms`);
    clearTimeout(open.silenceTimer);
    open.silenceMs = silenceMs;
    open.silenceTimer = setTimeout(onSilence, silenceMs);
  }

  #onHead(open: OpenSend, head: AnswerHead): boolean {
    this.state.dataCentres.recordWorker(open.record.worker.dataCentre, this.#now());
    const isRelayed = this.admitted.route.kind === RouteKind.Streaming && isSuccess(head.status);
    if (isRelayed && !this.#headToRelay) this.#headToRelay = head;
    this.#watchSilence(open);
    return isRelayed;
  }

  #onPiece(open: OpenSend, piece: Buffer, resume: () => void): boolean {
    if (this.#isFinished) return true;
    this.state.dataCentres.recordWorker(open.record.worker.dataCentre, this.#now());
    const events = this.#framer.push(piece);
    if (events.length === 0) return true;
    open.hasBegun = true;
    this.#report.recordPiece();
    if (open.run?.hasBegun === false) {
      open.run.hasBegun = true;
      this.state.waiting.retryAll();
    }
    this.#watchSilence(open);
    this.#writeRelayedHead();
    if (this.response.write(events)) return true;
    this.response.once('drain', resume);
    return false;
  }

  #writeRelayedHead(): void {
    const head = this.#headToRelay;
    if (this.response.headersSent || head === undefined) return;
    const headers = this.state.options.protocol.encodeAnswer(head.headers);
    this.#markClose();
    this.response.writeHead(head.status, headers);
  }

  #onSendEnd(open: OpenSend, end: SendEnd): void {
    clearTimeout(open.silenceTimer);
    if (open.run !== undefined) open.record.account.finish(open.run);
    const { pool } = open.record;
    if (end.isWhole) pool.release(open.claimed.channel, this.#now());
    else pool.abort(open.claimed.channel);
    if (this.#open === open) this.#open = undefined;
    if (this.#isFinished) return;
    if (end.isWhole) this.#onWhole(open, end);
    else this.#onFailure(open, end.failure, end.reason);
    this.state.waiting.retryAll();
  }

  #onWhole(open: OpenSend, end: Extract<SendEnd, { isWhole: true }>): void {
    const { route } = this.admitted;
    if (isSuccess(end.head.status)) {
      open.record.health.recordSuccess();
      if (route.kind !== RouteKind.Streaming) {
        this.#report.recordPiece();
        this.#report.recordAnswer(open.record.worker.id);
        this.#answerWhole(end);
      } else if (this.#framer.isMidEvent)
        this.#onFailure(open, SendFailure.Broken, 'the stream ended in the middle of an event');
      else this.#finishStream(open);
      return;
    }
    if (end.head.status >= HTTP_STATUS[ResultCode.Internal]) {
      open.record.health.recordErrorAnswer();
      this.#lastErrorAnswer = end;
      this.#onFailure(open, SendFailure.ErrorAnswer, `answered ${end.head.status}`);
      return;
    }
    if (this.response.headersSent) this.#cut('the stream could not go on');
    else this.#answerWhole(end);
  }

  #finishStream(open: OpenSend): void {
    this.#finish();
    this.#report.recordAnswer(open.record.worker.id);
    this.#writeRelayedHead();
    this.response.end();
  }

  #answerWhole(end: Extract<SendEnd, { isWhole: true }>): void {
    this.#finish();
    const headers = this.state.options.protocol.encodeAnswer(end.head.headers);
    this.#markClose();
    this.response.writeHead(end.head.status, [
      ...headers,
      'content-length',
      String(end.body.length),
    ]);
    this.response.end(end.body);
  }

  #onFailure(open: OpenSend, failure: SendFailure, reason: string): void {
    if (canHaveRun(failure)) this.#runs += 1;
    this.#recordHealth(open, failure);
    this.#framer.clearRest();
    const budget = this.#service && this.state.getBudget(this.#service);
    const nowMs = this.#now();
    const step = decideNextStep({
      failure,
      isRepeatable: this.#isRepeatable,
      runs: this.#runs,
      maxRuns: this.admitted.route.maxAttempts,
      sends: this.#sends,
      remainingMs: this.#getRemainingMs(),
      hasBudget: budget?.hasToken(nowMs) ?? false,
    });
    this.#report.recordFailedSend({
      upstream: open.record.worker.id,
      failure,
      reason,
      durationMs: nowMs - open.startedAtMs,
      isReused: open.claimed.isReused,
      runs: this.#runs,
      sends: this.#sends,
      next: step,
    });
    if (step === NextStep.SendAgain) {
      if (failure !== SendFailure.NotSent) budget?.claim(nowMs);
      this.#sendNext();
      return;
    }
    if (step === NextStep.RefuseNotRun) {
      this.#giveUp(false, ResultCode.NoUpstream, 'no worker took the request');
      return;
    }
    if (this.#lastErrorAnswer !== undefined && !this.response.headersSent) {
      this.#answerWhole(this.#lastErrorAnswer);
      return;
    }
    this.#giveUp(true, ResultCode.UpstreamFailed, reason);
  }

  #recordHealth(open: OpenSend, failure: SendFailure): void {
    const { health } = open.record;
    if (failure === SendFailure.Rejected || failure === SendFailure.ErrorAnswer) return;
    if (failure === SendFailure.Broken) {
      const { fingerprint } = this.admitted;
      this.state.crashes.recordBroken(fingerprint, toLifeId(open.record.worker), this.#now());
    }
    // A reused connection may have been closed by a worker that is well.
    if (failure === SendFailure.Broken && open.claimed.isReused && !open.hasBegun) return;
    health.recordFailure(this.#now(), failure === SendFailure.NotSent);
  }

  #giveUp(canHaveBegun: boolean, code: ResultCode, message: string): void {
    if (this.response.headersSent) {
      this.#cut(message);
      return;
    }
    this.#finish();
    const isRefusal = code === ResultCode.NoUpstream || code === ResultCode.Overloaded;
    const final = canHaveBegun && isRefusal ? ResultCode.UpstreamFailed : code;
    const retryAfterMs = canHaveBegun
      ? undefined
      : computeRetryAfterMs(this.#getRemainingMs(), this.state.options.random);
    this.#report.recordFailure(final, message, this.#runs);
    this.#markClose();
    sendOwnReply(this.response, { code: final, message, retryAfterMs });
  }

  #cut(reason: string): void {
    this.#finish();
    this.#report.recordFailure(ResultCode.AnswerCut, reason, this.#runs);
    this.response.destroy();
  }

  #onLimit(): void {
    if (this.#isFinished) return;
    const open = this.#open;
    const canHaveBegun = this.#runs > 0 || open !== undefined;
    const code = canHaveBegun ? ResultCode.UpstreamTimeout : ResultCode.NoUpstream;
    const message = `no whole answer within ${this.#limitMs} ms`;
    this.#giveUp(canHaveBegun, code, message);
    open?.send?.cancel(SendFailure.Silent, message);
  }

  #onCallerClose(): void {
    if (this.#isFinished) return;
    const open = this.#open;
    this.#finish();
    this.#report.recordFailure(
      ResultCode.CallerGone,
      'the caller closed its connection',
      this.#runs,
    );
    open?.send?.cancel(SendFailure.Silent, 'the caller is gone');
  }

  #finish(): void {
    this.#isFinished = true;
    clearTimeout(this.#limitTimer);
    if (this.#ticket !== undefined) this.state.waiting.remove(this.#ticket);
  }

  #markClose(): void {
    if (this.state.isDraining) this.response.shouldKeepAlive = false;
  }
}
