import {
  MAX_HELD_ANSWER_BYTES,
  MAX_HELD_BODY_BYTES,
  MAX_RELEASED_BYTES,
  MAX_UNREAD_ANSWER_BYTES,
} from './constants.js';

/** Memory and descriptors of this process, as far as the settings name them. */
export interface ProcessLimits {
  /** Memory at which the process is ended, in bytes. */
  readonly memoryBytes?: number | undefined;
  readonly descriptorLimit?: number | undefined;
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
  /** Maximum number of requests whose bodies have not arrived whole. */
  readonly openBodies: number;
}

/** Memory for which the constants of held bytes are meant, and its default, in bytes: that of a small VM. */
const REFERENCE_MEMORY_BYTES = 250_000_000;

/** Smallest and largest part of these constants: one body and one answer of the largest size have to fit. */
const MIN_MEMORY_SHARE = 0.5;
const MAX_MEMORY_SHARE = 4;

/** Memory that the pieces of answers need beside their bytes, as a share of these. */
const PIECE_SHARE = 0.05;

const DEFAULT_DESCRIPTORS = 8_192;

/** Descriptors for files, the store, other VMs and the ports. */
const RESERVED_DESCRIPTORS = 200;

const MIN_CONNECTIONS = 16;

/** Shares of the descriptors; what is left is for idle connections to workers. A running request needs one of its own. */
const CONNECTION_SHARE = 0.5;
const REQUEST_SHARE = 0.4;

/** Share of the requests whose bodies may be incomplete at the same time. */
const OPEN_BODY_SHARE = 0.5;

/**
 * Derives the limits of what clients make this VM hold from what it has.
 *
 * @param limits - memory and descriptors of the process; those of a small VM are assumed where they are not named
 * @returns the limits
 */
export const deriveClientLimits = ({
  memoryBytes = REFERENCE_MEMORY_BYTES,
  descriptorLimit = DEFAULT_DESCRIPTORS,
}: ProcessLimits): ClientLimits => {
  const memoryShare = Math.min(
    MAX_MEMORY_SHARE,
    Math.max(MIN_MEMORY_SHARE, memoryBytes / REFERENCE_MEMORY_BYTES),
  );
  const usable = descriptorLimit - RESERVED_DESCRIPTORS;
  const requests = Math.max(MIN_CONNECTIONS, Math.floor(usable * REQUEST_SHARE));
  return {
    bodyBytes: Math.floor(MAX_HELD_BODY_BYTES * memoryShare),
    answerBytes: Math.floor(MAX_HELD_ANSWER_BYTES * memoryShare * (1 + PIECE_SHARE)),
    unreadBytes: Math.floor(MAX_UNREAD_ANSWER_BYTES * memoryShare),
    releasedBytes: Math.floor(MAX_RELEASED_BYTES * memoryShare),
    connections: Math.max(MIN_CONNECTIONS, Math.floor(usable * CONNECTION_SHARE)),
    requests,
    openBodies: Math.ceil(requests * OPEN_BODY_SHARE),
  };
};
