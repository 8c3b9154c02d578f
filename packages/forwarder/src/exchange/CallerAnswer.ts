import { sendLocalReply } from '../front/sendLocalReply.js';

import type { ServerResponse } from 'node:http';
import type { ForwarderState } from '../ForwarderState.js';
import type { LocalReply } from '../front/sendLocalReply.js';
import type { AnswerHead, SendEnd } from './sendToWorker.js';

/** The answer to one request of a caller. It is final once: whole, a reply of this VM, or cut after its beginning. */
export class CallerAnswer {
  #streamHead: AnswerHead | undefined;

  constructor(
    private readonly state: ForwarderState,
    private readonly response: ServerResponse,
  ) {}

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
    this.response.once('drain', resume);
    return false;
  }

  /** Ends a whole stream. */
  finishStream(): void {
    this.#writeStreamHead();
    this.response.end();
  }

  /** Relays a whole plain answer. */
  relay({ head, body }: Extract<SendEnd, { isComplete: true }>): void {
    const headers = this.state.options.protocol.encodeAnswer(head.headers);
    this.#closeAfterIfDraining();
    this.response.writeHead(head.status, [...headers, 'content-length', String(body.length)]);
    this.response.end(body);
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
    if (this.state.isDraining) this.state.callerConnections.closeAfter(this.response);
  }
}
