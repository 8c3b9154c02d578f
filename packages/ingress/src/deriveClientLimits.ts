import {
  MAX_ANSWER_BYTES,
  MAX_HELD_ANSWER_BYTES,
  MAX_HELD_BODY_BYTES,
  MAX_HELD_HEAD_BYTES,
  MAX_RELEASED_BYTES,
  MAX_UNREAD_ANSWER_BYTES,
} from './constants.js';

/** Memory and descriptors of this process, as far as the settings name them. */
export interface ProcessLimits {
  /** Memory at which the process is ended, in bytes. */
  readonly memoryBytes?: number | undefined;
  readonly descriptorLimit?: number | undefined;
  /** Memory that the process needs without any client, in bytes; that of a router by default. */
  readonly baseBytes?: number | undefined;
}

/** Limits of what the clients of this VM make it hold. */
export interface ClientLimits {
  /** Memory of requests' bodies, of unfinished answers, and of answers that their callers have not read, in bytes. */
  readonly bodyBytes: number;
  readonly answerBytes: number;
  readonly unreadBytes: number;
  /** Released memory of messages after which garbage is collected, in bytes. */
  readonly releasedBytes: number;
  /** Maximum number of connections of callers. */
  readonly connections: number;
  /** Maximum number of requests without a whole answer. */
  readonly requests: number;
  /** Memory of the large ones among their heads, in bytes. */
  readonly headBytes: number;
  /** Maximum number of requests whose bodies have not arrived whole. */
  readonly openBodies: number;
  /** Memory of the machine for this process, in bytes; undefined if it is not known. */
  readonly memoryBytes: number | undefined;
}

/** Memory for which the constants of held bytes are meant, and its default, in bytes: that of a small VM. */
const REFERENCE_MEMORY_BYTES = 250_000_000;

const DEFAULT_BASE_BYTES = 75_000_000;

/** Smallest and largest part of these constants. */
const MIN_MEMORY_SHARE = 0.3;
const MAX_MEMORY_SHARE = 4;

/** Memory that the pieces of answers need beside their bytes, as a share of these. */
const PIECE_SHARE = 0.05;

const DEFAULT_DESCRIPTORS = 8_192;

/** Memory of the machine for each connection, in bytes: its objects, buffers of the system and a head of the largest size. */
const CONNECTION_MEMORY_BYTES = 400_000;

/** Descriptors for files, the store, other VMs and the ports. */
const RESERVED_DESCRIPTORS = 200;

const MIN_CONNECTIONS = 16;

/** Shares of the descriptors; what is left is for idle connections to workers. A running request needs one of its own. */
const CONNECTION_SHARE = 0.5;
const REQUEST_SHARE = 0.4;

/** Share of the requests whose bodies may be incomplete at the same time. */
const OPEN_BODY_SHARE = 0.5;

const clampShare = (share: number): number =>
  Math.min(MAX_MEMORY_SHARE, Math.max(MIN_MEMORY_SHARE, share));

/**
 * Derives the limits of what clients make this VM hold from what it has.
 *
 * @param limits - memory and descriptors of the process; those of a small VM are assumed where they are not named
 * @returns the limits
 */
export const deriveClientLimits = ({
  memoryBytes: knownBytes,
  descriptorLimit = DEFAULT_DESCRIPTORS,
  baseBytes = DEFAULT_BASE_BYTES,
}: ProcessLimits): ClientLimits => {
  const memoryBytes = knownBytes ?? REFERENCE_MEMORY_BYTES;
  const memoryShare = clampShare(
    Math.min(
      memoryBytes / REFERENCE_MEMORY_BYTES,
      (memoryBytes - baseBytes) / (REFERENCE_MEMORY_BYTES - DEFAULT_BASE_BYTES),
    ),
  );
  const usable = Math.min(
    descriptorLimit - RESERVED_DESCRIPTORS,
    memoryBytes / CONNECTION_MEMORY_BYTES / CONNECTION_SHARE,
  );
  const requests = Math.max(MIN_CONNECTIONS, Math.floor(usable * REQUEST_SHARE));
  return {
    bodyBytes: Math.floor(MAX_HELD_BODY_BYTES * memoryShare),
    answerBytes: Math.floor(
      Math.max(MAX_ANSWER_BYTES, MAX_HELD_ANSWER_BYTES * memoryShare) * (1 + PIECE_SHARE),
    ),
    unreadBytes: Math.floor(MAX_UNREAD_ANSWER_BYTES * memoryShare),
    releasedBytes: Math.floor(MAX_RELEASED_BYTES * memoryShare),
    connections: Math.max(MIN_CONNECTIONS, Math.floor(usable * CONNECTION_SHARE)),
    requests,
    headBytes: Math.floor(MAX_HELD_HEAD_BYTES * memoryShare),
    memoryBytes: knownBytes,
    openBodies: Math.ceil(requests * OPEN_BODY_SHARE),
  };
};
