import { StringDecoder } from 'node:string_decoder';

import { createParser } from 'eventsource-parser';

import { decodeChunk } from './chunk.js';

import type { EventSourceMessage } from 'eventsource-parser';
import type { AttemptId } from '@sardinegrade/common';
import type { TokenEvent } from './types.js';

const CLOSING_MARKER = '[DONE]';

/**
 * Reads one engine's event stream and lets through only the numbered events of one attempt, each once
 * and without gaps.
 */
export class AnswerReader {
  /** A fault that makes the rest of the stream useless; undefined while there is none. */
  fault: string | undefined;
  finishReason: string | undefined;
  hasClosingMarker = false;

  readonly #attemptId: AttemptId;
  readonly #onToken: (event: TokenEvent) => void;
  readonly #decoder = new StringDecoder('utf8');
  readonly #parser = createParser({ onEvent: (event) => this.#handleEvent(event) });
  #nextNumber: number;

  constructor(attemptId: AttemptId, resumeAt: number, onToken: (event: TokenEvent) => void) {
    this.#attemptId = attemptId;
    this.#nextNumber = resumeAt;
    this.#onToken = onToken;
  }

  /** Whether the whole answer was read. */
  get isWhole(): boolean {
    return this.fault === undefined && this.hasClosingMarker && this.finishReason !== undefined;
  }

  /**
   * Reads the next bytes of the stream.
   *
   * @param bytes - a chunk of the response's body, cut anywhere
   */
  readonly push = (bytes: Buffer): void => this.#parser.feed(this.#decoder.write(bytes));

  readonly #handleEvent = (event: EventSourceMessage): void => {
    if (this.fault !== undefined || this.hasClosingMarker) return;
    if (event.data === CLOSING_MARKER) {
      this.hasClosingMarker = true;
      return;
    }
    const chunk = decodeChunk(event.data);
    if (chunk === undefined) {
      this.fault = 'The engine sent an event that is not a completion chunk.';
      return;
    }
    // An event of another attempt is dropped; if it took the place of one of ours, the numbers show it.
    if (chunk.attemptId !== undefined && chunk.attemptId !== this.#attemptId) return;
    if (chunk.text !== '') this.#acceptToken(event.id, chunk.text);
    if (chunk.finishReason !== undefined) this.finishReason = chunk.finishReason;
  };

  readonly #acceptToken = (id: string | undefined, text: string): void => {
    const number = id === undefined ? Number.NaN : Number(id);
    if (!Number.isInteger(number)) {
      this.fault = 'The engine sent a token without a number.';
      return;
    }
    if (number < this.#nextNumber) return;
    if (number > this.#nextNumber) {
      this.fault = `The engine skipped from token ${this.#nextNumber} to ${number}.`;
      return;
    }
    this.#nextNumber += 1;
    this.#onToken({ number, text });
  };
}
