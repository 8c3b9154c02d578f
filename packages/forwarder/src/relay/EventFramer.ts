import { toBranded } from '@sardinegrade/common';

import type { EventId } from '../types.js';

const BOUNDARY = Buffer.from('\n\n');
const EMPTY: Buffer = Buffer.alloc(0);
const ID_FIELD = Buffer.from('id:');
const ID_LINE = Buffer.from('\nid:');
const LINE_FEED = 0x0a;
const SPACE = 0x20;

/** Finds where the value of the last id field begins; undefined where no event has one. */
const findLastIdStart = (events: Buffer): number | undefined => {
  const line = events.lastIndexOf(ID_LINE);
  if (line >= 0) return line + ID_LINE.length;
  return events.subarray(0, ID_FIELD.length).equals(ID_FIELD) ? ID_FIELD.length : undefined;
};

/** Reads the id of the last event that has one; undefined where none has. */
const readLastId = (events: Buffer): EventId | undefined => {
  const start = findLastIdStart(events);
  if (start === undefined) return undefined;
  const first = events[start] === SPACE ? start + 1 : start;
  return toBranded(events.toString('latin1', first, events.indexOf(LINE_FEED, first)));
};

/** Cuts a stream of events into whole events, so that a break never leaves half of one with the caller. */
export class EventFramer {
  #partialEvent = EMPTY;
  #lastEventId: EventId | undefined;

  /** The id of the last whole event. */
  get lastEventId(): EventId | undefined {
    return this.#lastEventId;
  }

  /** Whether the stream stands in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - what was received
   * @returns the whole events that are complete now; empty where there is none
   */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
    const boundary = bytes.lastIndexOf(BOUNDARY);
    if (boundary < 0) {
      this.#partialEvent = bytes;
      return EMPTY;
    }
    const end = boundary + BOUNDARY.length;
    this.#partialEvent = bytes.subarray(end);
    const events = bytes.subarray(0, end);
    this.#lastEventId = readLastId(events) ?? this.#lastEventId;
    return events;
  }

  /** Drops half an event, as when the stream goes on at another worker. */
  clearPartialEvent(): void {
    this.#partialEvent = EMPTY;
  }
}
