import { toBranded } from '@sardinegrade/common';

import type { EventId } from '../types.js';

const BOUNDARY = Buffer.from('\n\n');
const EMPTY: Buffer = Buffer.alloc(0);
const ID_LINE = /(?:^|\n)id: ?([^\n]*)/g;

/** Cuts a stream of events into whole events, so that a break never leaves half of one with the caller. */
export class EventFramer {
  #rest = EMPTY;
  #lastEventId: EventId | undefined;

  /** The id of the last whole event. */
  get lastEventId(): EventId | undefined {
    return this.#lastEventId;
  }

  /** Whether the stream stands in the middle of an event. */
  get isMidEvent(): boolean {
    return this.#rest.length > 0;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - what was received
   * @returns the whole events that are complete now; empty where there is none
   */
  push(chunk: Buffer): Buffer {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const boundary = bytes.lastIndexOf(BOUNDARY);
    if (boundary < 0) {
      this.#rest = bytes;
      return EMPTY;
    }
    const end = boundary + BOUNDARY.length;
    this.#rest = bytes.subarray(end);
    const events = bytes.subarray(0, end);
    for (const match of events.toString('latin1').matchAll(ID_LINE)) {
      this.#lastEventId = toBranded(match[1] ?? '');
    }
    return events;
  }

  /** Drops half an event, as when the stream goes on at another worker. */
  clearRest(): void {
    this.#rest = EMPTY;
  }
}
