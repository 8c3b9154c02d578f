import { MAX_EVENT_BYTES } from '../constants.js';
import { EventFramer, readFirstId } from '../relay/index.js';
import { isFramed } from './sendToWorker.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { EventId, RawHeaders } from '../types.js';
import type { AnswerHead } from './sendToWorker.js';
import type { ActiveSend } from './types.js';

/** What a chunk of a stream adds. */
export type AddedEvents =
  | { readonly events: Buffer; readonly fault: undefined }
  | { readonly events: undefined; readonly fault: string };

/** Returns the media type of an answer, without its parameters; empty if it names none. */
const getMediaType = (headers: RawHeaders): string => {
  const index = headers.findIndex(
    (name, position) => position % 2 === 0 && name.toLowerCase() === 'content-type',
  );
  return (headers[index + 1] ?? '').split(';', 1)[0]?.trim().toLowerCase() ?? '';
};

/** Whether an event may follow another one: ids increase. */
const isLaterId = (id: EventId | undefined, lastId: EventId | undefined): boolean => {
  if (id === undefined || lastId === undefined || id === lastId) return false;
  const [number, lastNumber] = [Number(id), Number(lastId)];
  return Number.isNaN(number) || Number.isNaN(lastNumber) || number > lastNumber;
};

/**
 * The events of one stream, of which several workers may send parts. What a worker sends goes on with the stream only if it
 * is a stream itself: its error text, or a success without events, is not.
 */
export class StreamProgress {
  readonly #framer = new EventFramer();
  /** The worker that has gone on with the stream without an event, as if there were none left. */
  #emptyAt: UpstreamId | undefined;

  /** Id of the last complete event that has one. */
  get lastEventId(): EventId | undefined {
    return this.#framer.lastEventId;
  }

  /**
   * Finds why an answer cannot go on with a stream that has begun.
   *
   * @param first - head of the answer that the caller has received
   * @param head - head of the next one
   * @returns the reason, or undefined if it can
   */
  findHeadFault(first: AnswerHead | undefined, head: AnswerHead): string | undefined {
    if (first === undefined) return undefined;
    if (first.status !== head.status)
      return `a stream with ${first.status} goes on with ${head.status}`;
    const [firstType, type] = [getMediaType(first.headers), getMediaType(head.headers)];
    return firstType === type ? undefined : `a stream of '${firstType}' goes on with '${type}'`;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param active - the send, whose first events have to follow those that the caller has
   * @param chunk - the received bytes
   * @param hasBegun - whether the caller has received events
   * @returns the events that are now complete, empty if there is none, or why the bytes do not belong to the stream
   */
  push(active: ActiveSend, chunk: Buffer, hasBegun: boolean): AddedEvents {
    const { lastEventId } = this.#framer;
    const events = this.#framer.push(chunk);
    if (this.#framer.partialEventBytes > MAX_EVENT_BYTES)
      return { events: undefined, fault: `an event exceeds ${MAX_EVENT_BYTES} bytes` };
    const isContinuation = hasBegun && !active.hasFirstEvent && events.length > 0;
    if (!isContinuation || isLaterId(readFirstId(events), lastEventId))
      return { events, fault: undefined };
    this.#framer.resetLastEventId(lastEventId);
    return { events: undefined, fault: 'the events do not follow those that the caller has' };
  }

  /**
   * Finds why a stream that its worker has ended is not whole. A worker that has nothing to go on with may do so by mistake,
   * so a second one is asked; the stream is whole if that has nothing, either, or if none can be asked.
   *
   * @param active - the send
   * @param head - head of its answer
   * @param canAskOther - tells whether the caller has received events, and another worker may be asked for the rest
   * @returns the reason, or undefined if the stream is whole
   */
  findEndFault(
    active: ActiveSend,
    head: AnswerHead,
    canAskOther: () => boolean,
  ): string | undefined {
    if (this.#framer.hasPartialEvent) return 'the stream ended in the middle of an event';
    if (active.hasFirstEvent) return undefined;
    if (!isFramed(head)) return 'the stream ended before its first event';
    const { id } = active.record.worker;
    const isConfirmed = this.#emptyAt !== undefined && this.#emptyAt !== id;
    if (isConfirmed || !canAskOther()) return undefined;
    this.#emptyAt = id;
    return 'the answer that goes on with the stream holds no event';
  }

  /** Drops a partial event, for example when another worker resumes the stream. */
  clearPartialEvent(): void {
    this.#framer.clearPartialEvent();
  }
}
