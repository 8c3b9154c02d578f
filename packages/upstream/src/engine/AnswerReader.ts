import { StringDecoder } from 'node:string_decoder';

import { createParser } from 'eventsource-parser';

import { decodeChunk } from './decodeChunk.js';

import type { EventSourceMessage } from 'eventsource-parser';
import type { AttemptId } from '@sardinegrade/common';
import type { TokenEvent } from './types.js';

const CLOSING_MARKER = '[DONE]';

/**
 * Parses an engine's event stream and passes on only the tokens of one attempt, each once, in order and without gaps.
 */
export class AnswerReader {
  /** Error after which the rest of the stream is ignored; undefined if there is none. */
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

  /** Whether the complete answer was read: without a fault, with a finish reason and with its closing marker. */
  get isComplete(): boolean {
    return this.fault === undefined && this.hasClosingMarker && this.finishReason !== undefined;
  }

  /**
   * Reads the next bytes of the stream.
   *
   * @param bytes - chunk of the response body; it may end within an event or a character
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
    // Events of other attempts are dropped. If one replaced an event of this attempt, the token numbers have a gap.
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
