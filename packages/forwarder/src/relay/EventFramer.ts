import { toBranded } from '@sardinegrade/common';

import type { EventId } from '../types.js';

const BOUNDARY = Buffer.from('\n\n');
const EMPTY: Buffer = Buffer.alloc(0);
const ID_FIELD = Buffer.from('id:');
const ID_LINE = Buffer.from('\nid:');
const LINE_FEED = 0x0a;
const SPACE = 0x20;

/** Finds the start of the value of the last `id` field; undefined if no event has one. */
const findLastIdStart = (events: Buffer): number | undefined => {
  const line = events.lastIndexOf(ID_LINE);
  if (line >= 0) return line + ID_LINE.length;
  return events.subarray(0, ID_FIELD.length).equals(ID_FIELD) ? ID_FIELD.length : undefined;
};

/** Reads the id of the last event that has one; undefined if none has. */
const readLastId = (events: Buffer): EventId | undefined => {
  const start = findLastIdStart(events);
  if (start === undefined) return undefined;
  const first = events[start] === SPACE ? start + 1 : start;
  return toBranded(events.toString('latin1', first, events.indexOf(LINE_FEED, first)));
};

/**
 * Reads the id of the first event.
 *
 * @param events - complete events
 * @returns the id; undefined if the first event has none
 */
export const readFirstId = (events: Buffer): EventId | undefined =>
  readLastId(events.subarray(0, events.indexOf(BOUNDARY) + 1));

/** Splits a stream into complete server-sent events, so that an interrupted stream never ends with a partial event. */
export class EventFramer {
  #partialEvent = EMPTY;
  #lastEventId: EventId | undefined;

  /** Id of the last complete event that has one. */
  get lastEventId(): EventId | undefined {
    return this.#lastEventId;
  }

  /** Size of the event that is incomplete so far, in bytes. */
  get partialEventBytes(): number {
    return this.#partialEvent.length;
  }

  /** Whether the data received so far ends in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - the received bytes
   * @returns the events that are now complete; empty if there is none
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

  /** Forgets the ids of events that were pushed but do not belong to the stream, and what follows them. */
  resetLastEventId(lastEventId: EventId | undefined): void {
    this.#lastEventId = lastEventId;
    this.clearPartialEvent();
  }

  /** Drops a partial event, for example when another worker resumes the stream. */
  clearPartialEvent(): void {
    this.#partialEvent = EMPTY;
  }
}
