import { AnswerReader } from './AnswerReader.js';
import { AttemptEnd } from './enums.js';

import type { Dispatcher } from 'undici';
import type { ProgressMonitor, MonitoredStream } from './ProgressMonitor.js';
import type { AttemptListener, AttemptOutcome, EngineAttempt } from './types.js';

const STATUS_OK = 200;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;
const ERROR_BODY_LIMIT_BYTES = 4_096;

const getHeader = (headers: Record<string, unknown>, name: string): string | undefined => {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
};

const getRetryAfterMs = (headers: Record<string, unknown>): number | undefined => {
  const seconds = Number(getHeader(headers, 'retry-after'));
  return Number.isFinite(seconds) ? seconds * 1_000 : undefined;
};

const classifyStatus = (status: number): AttemptEnd => {
  if (status === STATUS_TOO_MANY_REQUESTS || status === STATUS_UNAVAILABLE)
    return AttemptEnd.Refused;
  if (status >= STATUS_SERVER_ERROR) return AttemptEnd.Broken;
  return AttemptEnd.Rejected;
};

/** Dispatch handler (undici) of one attempt, from sending the request to the attempt's end. */
export class AttemptRun implements Dispatcher.DispatchHandler {
  readonly monitored: MonitoredStream;

  readonly #attempt: EngineAttempt;
  readonly #listener: AttemptListener;
  readonly #monitor: ProgressMonitor;
  readonly #getNowMs: () => number;
  readonly #reader: AnswerReader;
  #controller: Dispatcher.DispatchController | undefined;
  #errorOutcome: AttemptOutcome | undefined;
  #errorBody = '';
  #isSent = false;
  #isEnded = false;
  #isPausedByEngine = false;
  #isReadingPaused = false;
  #hasToken = false;

  constructor(
    attempt: EngineAttempt,
    listener: AttemptListener,
    monitor: ProgressMonitor,
    getNowMs: () => number,
  ) {
    this.#attempt = attempt;
    this.#listener = listener;
    this.#monitor = monitor;
    this.#getNowMs = getNowMs;
    this.#reader = new AnswerReader(attempt.attemptId, attempt.resumeAt, (event) => {
      if (this.#isEnded) return;
      this.#hasToken = true;
      this.#listener.onToken(event);
    });
    this.monitored = {
      deadlineAtMs: getNowMs() + attempt.firstTokenTimeoutMs,
      onOverdue: () => this.finish(AttemptEnd.TimedOut, 'The engine made no progress in time.'),
    };
    monitor.add(this.monitored);
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Whether the request may have reached the engine. */
  get isSent(): boolean {
    return this.#isSent;
  }

  readonly onRequestStart = (controller: Dispatcher.DispatchController): void => {
    this.#controller = controller;
    if (this.#isEnded) {
      controller.abort(new Error('The attempt has ended.'));
      return;
    }
    this.#isSent = true;
  };

  readonly onResponseStart = (
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, unknown>,
  ): void => {
    if (status !== STATUS_OK) {
      this.#errorOutcome = {
        end: classifyStatus(status),
        message: `The engine answered ${status}.`,
        finishReason: undefined,
        retryAfterMs: getRetryAfterMs(headers),
      };
      return;
    }
    const echoedAttemptId = getHeader(headers, 'x-attempt-id');
    if (echoedAttemptId === undefined || echoedAttemptId === this.#attempt.attemptId) return;
    this.finish(AttemptEnd.Mismatched, 'The engine answered another attempt.');
  };

  readonly onResponseData = (_controller: Dispatcher.DispatchController, chunk: Buffer): void => {
    if (this.#isEnded) return;
    if (this.#errorOutcome !== undefined) {
      this.#appendErrorBody(chunk);
      return;
    }
    this.#reader.push(chunk);
    this.#setDeadline();
    if (this.#reader.fault !== undefined) this.finish(AttemptEnd.Mismatched, this.#reader.fault);
  };

  readonly onResponseEnd = (): void => {
    if (this.#errorOutcome !== undefined) {
      const message = this.#errorBody === '' ? this.#errorOutcome.message : this.#errorBody;
      this.#end({ ...this.#errorOutcome, message });
      return;
    }
    if (this.#reader.isComplete) this.finish(AttemptEnd.Finished, '');
    else this.finish(AttemptEnd.Broken, 'The engine ended its stream before the closing marker.');
  };

  readonly onResponseError = (_controller: Dispatcher.DispatchController, error: Error): void =>
    this.finish(this.#isSent ? AttemptEnd.Broken : AttemptEnd.NotSent, error.message);

  /**
   * Ends the attempt, once; later calls have no effect.
   *
   * @param end - how it ended
   * @param message - text for logs and error responses
   */
  readonly finish = (end: AttemptEnd, message: string): void => {
    const finishReason = end === AttemptEnd.Finished ? this.#reader.finishReason : undefined;
    this.#end({ end, message, finishReason, retryAfterMs: undefined });
  };

  readonly setPausedByEngine = (isPaused: boolean): void => {
    this.#isPausedByEngine = isPaused;
    this.#setDeadline();
  };

  readonly setReadingPaused = (isPaused: boolean): void => {
    this.#isReadingPaused = isPaused;
    if (isPaused) this.#controller?.pause();
    else this.#controller?.resume();
    this.#setDeadline();
  };

  readonly #appendErrorBody = (chunk: Buffer): void => {
    if (this.#errorBody.length < ERROR_BODY_LIMIT_BYTES) this.#errorBody += chunk.toString('utf8');
  };

  readonly #setDeadline = (): void => {
    const hasNoDeadline = this.#isPausedByEngine || this.#isReadingPaused;
    const timeoutMs = this.#hasToken
      ? this.#attempt.tokenTimeoutMs
      : this.#attempt.firstTokenTimeoutMs;
    this.monitored.deadlineAtMs = hasNoDeadline
      ? Number.POSITIVE_INFINITY
      : this.#getNowMs() + timeoutMs;
  };

  readonly #end = (outcome: AttemptOutcome): void => {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#monitor.remove(this.monitored);
    if (outcome.end !== AttemptEnd.Finished) this.#controller?.abort(new Error(outcome.message));
    this.#listener.onEnd(outcome);
  };
}
