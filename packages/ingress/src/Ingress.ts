import { CallerConnections } from './CallerConnections.js';
import { MAX_PIPELINED_REQUESTS, SPARED_BODY_BYTES, UNREAD_TIMEOUT_MS } from './constants.js';
import { collectGarbage, GarbageCollector } from './GarbageCollector.js';
import { CancelOrder, HeldBytes, HeldBytesLimit } from './HeldBytes.js';
import { measureHead } from './measureHead.js';
import { MemoryGuard } from './MemoryGuard.js';
import { ClientLimit } from './types.js';
import { RequestSlots } from './RequestSlots.js';
import { TurnQueue } from './TurnQueue.js';

import type { IncomingMessage } from 'node:http';
import type { ClientLimits } from './deriveClientLimits.js';
import type { Owner } from './HeldBytes.js';
import type { LimitListener } from './types.js';

const BODY_LIMITS: Readonly<Record<HeldBytesLimit, ClientLimit>> = {
  [HeldBytesLimit.Bytes]: ClientLimit.BodyBytes,
  [HeldBytesLimit.OpenMessages]: ClientLimit.OpenBodies,
};

/** Interval at which the memory of the process is read, in milliseconds. */
const MEMORY_CHECK_MS = 100;

const startMemoryGuard = (memoryBytes: number): void => {
  const guard = new MemoryGuard({
    memoryBytes,
    getNowMs: () => performance.now(),
    readResidentBytes: () => process.memoryUsage.rss(),
    collect: collectGarbage,
  });
  setInterval(() => guard.check(), MEMORY_CHECK_MS).unref();
};

/** What the clients of a process make it hold, within its limits. */
export class Ingress {
  /** Bodies of requests, until their answers have ended. */
  readonly heldBodies: HeldBytes;
  /** Answers of upstreams that are not whole. */
  readonly heldAnswers: HeldBytes;
  /** Whole answers that callers have not read so far. */
  readonly unreadAnswers: HeldBytes;
  /** Lets bodies of many small chunks take turns. */
  readonly bodyTurns = new TurnQueue();
  readonly connections: CallerConnections;
  /** Records memory that clients made this process hold, and that has become garbage, in bytes. */
  readonly recordReleased: (bytes: number) => void;
  readonly requests: RequestSlots;

  /**
   * @param limits - limits of this process
   * @param onLimit - called each time a client exceeds one of them
   */
  constructor(
    readonly limits: ClientLimits,
    readonly onLimit: LimitListener = () => undefined,
  ) {
    const onRemoved = new GarbageCollector(limits.releasedBytes).recordReleased;
    this.recordReleased = onRemoved;
    this.heldAnswers = new HeldBytes({
      maxBytes: limits.answerBytes,
      sparedBytes: 0,
      cancelOrder: CancelOrder.Largest,
      onRemoved,
      onCancelled: (owner) => onLimit(ClientLimit.AnswerBytes, owner),
    });
    this.unreadAnswers = new HeldBytes({
      maxBytes: limits.unreadBytes,
      sparedBytes: 0,
      cancelOrder: CancelOrder.Oldest,
      onRemoved,
      onCancelled: (owner) => onLimit(ClientLimit.UnreadBytes, owner),
    });
    this.heldBodies = new HeldBytes({
      maxBytes: limits.bodyBytes,
      sparedBytes: SPARED_BODY_BYTES,
      cancelOrder: CancelOrder.Newest,
      maxOpen: limits.openBodies,
      onRemoved,
      onCancelled: (owner, limit) => onLimit(BODY_LIMITS[limit], owner),
    });
    this.connections = new CallerConnections({
      maxConnections: limits.connections,
      partialHeadBytes: limits.headBytes,
      maxPipelined: MAX_PIPELINED_REQUESTS,
      unreadTimeoutMs: UNREAD_TIMEOUT_MS,
      onLimit,
      onReleased: onRemoved,
    });
    this.requests = new RequestSlots(limits);
    if (limits.memoryBytes !== undefined) startMemoryGuard(limits.memoryBytes);
  }

  /**
   * Claims a slot for a request.
   *
   * @param request - the request
   * @param owner - owner of the request
   * @returns releases the slot; undefined if there is none
   */
  claimRequest(request: IncomingMessage, owner: Owner): (() => void) | undefined {
    const release = this.requests.claim(owner, measureHead(request));
    if (release === undefined) this.onLimit(ClientLimit.Requests, owner);
    return release;
  }
}
