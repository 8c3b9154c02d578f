import { ByteCollector, MAX_ANSWER_BYTES } from '@sardinegrade/ingress';
import { SendFailure } from '@sardinegrade/routing';

import type { RequestId } from '@sardinegrade/common';
import type { HeldBytes } from '@sardinegrade/ingress';
import type { Dispatcher } from 'undici';
import type { ClaimedConnection, SendGuard } from '../connections/index.js';
import type { AnswerMetadata, ForwardProtocol, RawHeaders } from '../types.js';

/** What a request asks of a worker. */
export enum SendPurpose {
  Run = 'run',
  /** To go on with a stream that another run has begun. */
  Resume = 'resume',
  /** To report which process it is. The answer names no request and bears no seal. */
  Report = 'report',
}

/** A request for a worker. */
export interface WorkerRequest {
  readonly purpose: SendPurpose;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  readonly requestId: RequestId | undefined;
}

/** The head of a worker's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly metadata: AnswerMetadata;
}

/** How a send ended. */
export type SendEnd =
  | { readonly isComplete: true; readonly head: AnswerHead; readonly pieces: readonly Buffer[] }
  | {
      readonly isComplete: false;
      readonly failure: SendFailure;
      /** Description of the failure, for the log and the reply to the caller. */
      readonly reason: string;
      readonly head: AnswerHead | undefined;
    };

/** Callbacks that receive an answer while it arrives. */
export interface SendObserver {
  /** Called if the head is incomplete for too long. It may still be completed. */
  readonly onSlowHead: () => void;
  /**
   * Called when a new connection has opened, before anything is written: returns why the worker is to get no request any
   * more, or undefined to send it.
   */
  readonly findExclusion: () => string | undefined;
  /** Decides whether the body is relayed while it arrives instead of being buffered. */
  readonly shouldRelay: (head: AnswerHead) => boolean;
  /** Receives a chunk of a relayed body. Returns false to pause reading until `resume` is called. */
  readonly onChunk: (chunk: Buffer, resume: () => void) => boolean;
  /** Called once, when the send has ended. */
  readonly onEnd: (end: SendEnd) => void;
}

/** A send in progress. */
export interface Send {
  /** Cancels the send and closes its connection, so that the worker stops. */
  readonly cancel: (failure: SendFailure, reason: string) => void;
}

const SUCCESS_FIRST = 200;
const SUCCESS_LAST = 299;

/** First and last status of an answer, informational ones included; the parser accepts any three digits. */
const STATUS_FIRST = 100;
const STATUS_LAST = 599;

/** @returns whether a status code reports success */
export const isSuccess = (status: number): boolean =>
  status >= SUCCESS_FIRST && status <= SUCCESS_LAST;

/** Status codes by which a worker rejects a request without running it: 421, it is not the expected worker. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([421]);

const toRawHeaders = (raw: Dispatcher.DispatchController['rawHeaders']): string[] => {
  if (!Array.isArray(raw)) return [];
  return raw.map((item) => (typeof item === 'string' ? item : item.toString('latin1')));
};

const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/** @returns whether an answer tells its own end; others end with their connection */
export const isFramed = ({ headers }: AnswerHead): boolean =>
  headers.some((name, index) => index % 2 === 0 && FRAMING_HEADERS.has(name.toLowerCase()));

/** Returns why an answer cannot be the worker's answer to the request, or undefined if it can. */
const findAnswerFault = (request: WorkerRequest, head: AnswerHead): string | undefined => {
  const { metadata } = head;
  if (request.purpose === SendPurpose.Report) return undefined;
  if (metadata.requestId !== undefined && metadata.requestId !== request.requestId) {
    return 'the answer names another request';
  }
  if (!isSuccess(head.status)) return undefined;
  if (metadata.requestId === undefined) return 'the answer names no request';
  if (!metadata.isSealed) return 'the answer bears no seal';
  if (metadata.isEncoded) return 'the answer is encoded';
  return undefined;
};

/** Codes with which undici refuses a request itself. */
const REFUSED_REQUEST_CODES: ReadonlySet<string | undefined> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

/** Tells a request that is not valid from a connection that was not established. */
const classifyUnsent = ({ code }: NodeJS.ErrnoException): SendFailure =>
  REFUSED_REQUEST_CODES.has(code) ? SendFailure.Unsendable : SendFailure.NotSent;

/** A send and the state of its answer. */
class RunningSend implements Send {
  #controller: Dispatcher.DispatchController | undefined;
  #head: AnswerHead | undefined;
  #isRelayed = false;
  #isEnded = false;
  readonly #body = new ByteCollector();

  constructor(
    private readonly request: WorkerRequest,
    private readonly claimed: ClaimedConnection,
    private readonly protocol: ForwardProtocol,
    private readonly held: HeldBytes,
    private readonly observer: SendObserver,
  ) {}

  readonly #cancelHeld = (): void =>
    this.cancel(SendFailure.Withdrawn, 'unfinished answers exceed the memory of this VM');

  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      this.#controller = controller;
      if (this.#isEnded) controller.abort(new Error('cancelled before it was sent'));
    },
    onResponseStart: (controller, status) => {
      if (this.#isEnded) return;
      if (status < STATUS_FIRST || status > STATUS_LAST) {
        this.cancel(SendFailure.Broken, `the answer's status ${status} is not valid`);
        return;
      }
      if (status < SUCCESS_FIRST) {
        this.claimed.connection.resetHeadTimeout();
        return;
      }
      this.claimed.connection.finishHead();
      const headers = toRawHeaders(controller.rawHeaders);
      const head = { status, headers, metadata: this.protocol.decodeAnswer(headers) };
      const fault = findAnswerFault(this.request, head);
      if (fault !== undefined) {
        this.cancel(SendFailure.Broken, fault);
        return;
      }
      this.#head = head;
      this.#isRelayed = this.observer.shouldRelay(head);
    },
    onResponseData: (controller, chunk) => {
      if (this.#isEnded) return;
      const { connection } = this.claimed;
      connection.recordBody();
      if (this.#isRelayed) {
        const resume = (): void => {
          if (this.#isEnded) return;
          connection.recordBody();
          controller.resume();
        };
        if (this.observer.onChunk(chunk, resume)) return;
        controller.pause();
        connection.pauseBody();
        return;
      }
      if (this.#body.bytes + chunk.length > MAX_ANSWER_BYTES) {
        this.cancel(SendFailure.Broken, 'the answer is too large to be held');
        return;
      }
      this.held.add(this.#cancelHeld, this.#body.add(chunk));
    },
    onResponseEnd: () => {
      const head = this.#head;
      if (head === undefined) this.#fail(SendFailure.Broken, 'the answer has no head');
      else if (this.claimed.connection.wasReset && !isFramed(head)) {
        this.#fail(SendFailure.Broken, 'the answer was cut by a reset');
      } else if (head.metadata.isNotRun || NOT_RUN_STATUSES.has(head.status)) {
        this.#fail(SendFailure.Rejected, `rejected with ${head.status}`);
      } else this.#end({ isComplete: true, head, pieces: this.#body.takePieces() });
    },
    onResponseError: (_controller, error) => {
      const wasSent = this.#controller !== undefined;
      this.#fail(wasSent ? SendFailure.Broken : classifyUnsent(error), error.message);
    },
  };

  start(): void {
    const { method, path, headers, body } = this.request;
    const { connection } = this.claimed;
    const guard: SendGuard = {
      shouldWrite: () => this.#shouldWrite(),
      onTooLong: (reason) => this.cancel(SendFailure.Broken, reason),
      onTooSlow: this.observer.onSlowHead,
    };
    const options = { method, path, headers, body: body ?? null };
    try {
      connection.send(options, this.handler, guard);
    } catch (thrown) {
      this.#fail(SendFailure.NotSent, `no connection can be opened: ${String(thrown)}`);
    }
  }

  #shouldWrite(): boolean {
    if (this.#isEnded) return false;
    const reason = this.observer.findExclusion();
    if (reason !== undefined) this.#fail(SendFailure.Excluded, reason);
    return !this.#isEnded;
  }

  readonly cancel = (failure: SendFailure, reason: string): void => {
    if (this.#isEnded) return;
    const wasSent = this.#controller !== undefined;
    this.#fail(wasSent ? failure : SendFailure.NotSent, reason);
    this.#controller?.abort(new Error(reason));
  };

  #fail(failure: SendFailure, reason: string): void {
    this.#end({ isComplete: false, failure, reason, head: this.#head });
  }

  #end(end: SendEnd): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#body.clear();
    this.held.remove(this.#cancelHeld);
    this.claimed.connection.finishAnswer();
    this.observer.onEnd(end);
  }
}

/**
 * Sends a request over a connection and checks that the received data is the worker's complete answer to it.
 *
 * @param request - the request to send
 * @param claimed - the claimed connection
 * @param protocol - decodes the answer's headers
 * @param held - limits the bytes of unfinished answers
 * @param observer - receives the answer
 * @returns the send in progress
 */
export const sendToWorker = (
  request: WorkerRequest,
  claimed: ClaimedConnection,
  protocol: ForwardProtocol,
  held: HeldBytes,
  observer: SendObserver,
): Send => {
  const send = new RunningSend(request, claimed, protocol, held, observer);
  send.start();
  return send;
};
