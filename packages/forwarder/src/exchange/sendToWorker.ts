import { SendFailure } from '@sardinegrade/routing';

import { MAX_ANSWER_BYTES } from '../constants.js';

import type { RequestId } from '@sardinegrade/common';
import type { Dispatcher } from 'undici';
import type { ClaimedConnection } from '../connections/index.js';
import type { AnswerFacts, ForwardProtocol, RawHeaders } from '../types.js';

/** What is sent to a worker. */
export interface WorkerRequest {
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
  readonly metadata: AnswerFacts;
}

/** How a send ended. */
export type SendEnd =
  | { readonly isWhole: true; readonly head: AnswerHead; readonly body: Buffer }
  | {
      readonly isWhole: false;
      readonly failure: SendFailure;
      /** What happened, for the log. */
      readonly reason: string;
      readonly head: AnswerHead | undefined;
    };

/** What the sender wants to hear of an answer while it comes. */
export interface SendObserver {
  /** Decides whether the body is relayed as it comes instead of being held. */
  readonly shouldRelay: (head: AnswerHead) => boolean;
  /** Takes a piece of a relayed body; answers false to pause the worker. */
  readonly onPiece: (piece: Buffer, resume: () => void) => boolean;
  readonly onEnd: (end: SendEnd) => void;
}

/** A send in progress. */
export interface Send {
  /** Ends it: the connection is closed, so that the worker stops. */
  readonly cancel: (failure: SendFailure, reason: string) => void;
}

const SUCCESS_FIRST = 200;
const SUCCESS_LAST = 299;

/** @returns whether a status reports success */
export const isSuccess = (status: number): boolean =>
  status >= SUCCESS_FIRST && status <= SUCCESS_LAST;

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([421]);

const toRawHeaders = (raw: Dispatcher.DispatchController['rawHeaders']): string[] => {
  if (!Array.isArray(raw)) return [];
  return raw.map((item) => (typeof item === 'string' ? item : item.toString('latin1')));
};

/** Explains why an answer cannot be the worker's answer to the request, or gives undefined. */
const findAnswerFault = (request: WorkerRequest, head: AnswerHead): string | undefined => {
  const { metadata } = head;
  if (metadata.requestId !== undefined && metadata.requestId !== request.requestId) {
    return 'the answer names another request';
  }
  if (!isSuccess(head.status)) return undefined;
  if (metadata.requestId === undefined) return 'the answer names no request';
  if (!metadata.isSealed) return 'the answer bears no seal';
  if (metadata.isEncoded) return 'the answer is encoded';
  return undefined;
};

class RunningSend implements Send {
  #controller: Dispatcher.DispatchController | undefined;
  #head: AnswerHead | undefined;
  #isRelayed = false;
  #isEnded = false;
  #pieces: Buffer[] = [];
  #bytes = 0;

  constructor(
    private readonly request: WorkerRequest,
    private readonly claimed: ClaimedConnection,
    private readonly protocol: ForwardProtocol,
    private readonly observer: SendObserver,
  ) {}

  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      this.#controller = controller;
      if (this.#isEnded) controller.abort(new Error('cancelled before it was sent'));
    },
    onResponseStart: (controller, status) => {
      if (this.#isEnded || status < SUCCESS_FIRST) return;
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
    onResponseData: (controller, piece) => {
      if (this.#isEnded) return;
      if (this.#isRelayed) {
        if (!this.observer.onPiece(piece, () => controller.resume())) controller.pause();
        return;
      }
      this.#bytes += piece.length;
      if (this.#bytes > MAX_ANSWER_BYTES) {
        this.cancel(SendFailure.Broken, 'the answer is too large to be held');
        return;
      }
      this.#pieces.push(piece);
    },
    onResponseEnd: () => {
      const head = this.#head;
      if (head === undefined) this.#fail(SendFailure.Broken, 'the answer has no head');
      else if (this.claimed.connection.wasReset) {
        this.#fail(SendFailure.Broken, 'the answer was cut by a reset');
      } else if (head.metadata.isNotRun || NOT_RUN_STATUSES.has(head.status)) {
        this.#fail(SendFailure.Rejected, `rejected with ${head.status}`);
      } else this.#end({ isWhole: true, head, body: Buffer.concat(this.#pieces) });
    },
    onResponseError: (_controller, error) => {
      const wasSent = this.#controller !== undefined;
      this.#fail(wasSent ? SendFailure.Broken : SendFailure.NotSent, error.message);
    },
  };

  start(): void {
    const { method, path, headers, body } = this.request;
    const { connection } = this.claimed;
    connection.send({ method: method, path, headers, body: body ?? null }, this.handler);
  }

  readonly cancel = (failure: SendFailure, reason: string): void => {
    if (this.#isEnded) return;
    const wasSent = this.#controller !== undefined;
    this.#fail(wasSent ? failure : SendFailure.NotSent, reason);
    this.#controller?.abort(new Error(reason));
  };

  #fail(failure: SendFailure, reason: string): void {
    this.#end({ isWhole: false, failure, reason, head: this.#head });
  }

  #end(end: SendEnd): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.observer.onEnd(end);
  }
}

/**
 * Sends a request over a connection and checks that what comes is the worker's whole answer to it.
 *
 * @param request - what is sent
 * @param claimed - the connection
 * @param protocol - decodes the answer's headers
 * @param observer - hears of the answer
 * @returns the send, which can be cancelled
 * @throws the library's error where the request cannot be written as HTTP
 */
export const sendToWorker = (
  request: WorkerRequest,
  claimed: ClaimedConnection,
  protocol: ForwardProtocol,
  observer: SendObserver,
): Send => {
  const send = new RunningSend(request, claimed, protocol, observer);
  send.start();
  return send;
};
