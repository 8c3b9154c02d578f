import { sendLocalReply } from '../front/sendLocalReply.js';

import type { Owner } from '@sardinegrade/ingress';
import type { ServerResponse } from 'node:http';
import type { ForwarderState } from '../ForwarderState.js';
import type { LocalReply } from '../front/sendLocalReply.js';
import type { AnswerHead, SendEnd } from './sendToWorker.js';

/** Memory that an unread answer needs beside its bytes, in bytes. */
const UNREAD_COST_BYTES = 8 * 1_024;

/** Memory that a stream needs at its worker's connection while its caller does not read, in bytes: two reads and an event. */
const UNREAD_STREAM_COST_BYTES = 192 * 1_024;

/** The answer to one request of a caller. It is final once: whole, a reply of this VM, or cut after its beginning. */
export class CallerAnswer {
  #streamHead: AnswerHead | undefined;

  constructor(
    private readonly state: ForwarderState,
    private readonly response: ServerResponse,
    /** Workspace of the caller, if it is known. */
    private readonly owner?: Owner,
  ) {
    response.once('close', () => state.ingress.unreadAnswers.remove(this.#cutUnread));
  }

  /** Closes the connection of a caller whose unread answer, together with others, needs too much memory. */
  readonly #cutUnread = (): void => {
    this.state.options.logger.warn(
      'answer cut: the answers that callers do not read exceed the memory for them',
      {
        inputs: { unread_bytes: this.state.ingress.unreadAnswers.totalBytes },
      },
    );
    // An answer behind another one has no connection of its own.
    this.response.req.socket.destroy();
  };

  /** Whether the caller has received the beginning of an answer. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Head of the stream that the caller receives; undefined before its first event. */
  get begunStreamHead(): AnswerHead | undefined {
    return this.hasBegun ? this.#streamHead : undefined;
  }

  /** Sets the head of a stream. The caller gets that of the first worker, together with the first events. */
  setStreamHead(head: AnswerHead): void {
    this.#streamHead ??= head;
  }

  /**
   * Writes events of a stream.
   *
   * @param events - complete events
   * @param resume - called when more can be written, if this returns false
   * @returns whether more can be written now
   */
  writeEvents(events: Buffer, resume: () => void): boolean {
    this.#writeStreamHead();
    if (this.response.write(events)) return true;
    const { unreadAnswers } = this.state.ingress;
    const bytes = UNREAD_STREAM_COST_BYTES + this.response.writableLength;
    unreadAnswers.add(this.#cutUnread, bytes, this.owner);
    this.response.once('drain', () => {
      unreadAnswers.remove(this.#cutUnread);
      resume();
    });
    return false;
  }

  /** Ends a whole stream. */
  finishStream(): void {
    this.#writeStreamHead();
    this.response.end();
  }

  /** Relays a whole plain answer. */
  relay({ head, pieces }: Extract<SendEnd, { isComplete: true }>): void {
    const headers = this.state.options.protocol.encodeAnswer(head.headers);
    const length = pieces.reduce((bytes, piece) => bytes + piece.length, 0);
    this.#closeAfterIfDraining();
    this.response.writeHead(head.status, [...headers, 'content-length', String(length)]);
    // Written piece by piece: a copy of large answers would need as much memory again.
    for (const piece of pieces.slice(0, -1)) this.response.write(piece);
    this.response.end(pieces.at(-1));
    // The system has taken most answers at once.
    if (this.response.writableLength > 0)
      this.state.ingress.unreadAnswers.add(this.#cutUnread, UNREAD_COST_BYTES + length, this.owner);
  }

  /** Sends a reply of this VM. */
  reply(reply: LocalReply): void {
    this.#closeAfterIfDraining();
    sendLocalReply(this.response, reply);
  }

  /** Closes the connection to the caller, so that the beginning of an answer does not look whole. */
  abort(): void {
    this.response.destroy();
  }

  /** Ends an answer that is not final yet, whatever has been sent of it. */
  settle(reply: LocalReply): void {
    const { response } = this;
    if (response.writableEnded || response.destroyed) return;
    if (response.headersSent) this.abort();
    else this.reply(reply);
  }

  #writeStreamHead(): void {
    const head = this.#streamHead;
    if (this.response.headersSent || head === undefined) return;
    const headers = this.state.options.protocol.encodeAnswer(head.headers);
    this.#closeAfterIfDraining();
    this.response.writeHead(head.status, headers);
  }

  #closeAfterIfDraining(): void {
    if (this.state.isDraining) this.state.ingress.connections.closeAfter(this.response);
  }
}
