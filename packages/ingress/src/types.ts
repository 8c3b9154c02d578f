import type { Owner } from './HeldBytes.js';

/** Limits that clients may exceed, as logs and metrics name them. */
export enum ClientLimit {
  Connections = 'connections',
  PartialHeads = 'partial_heads',
  PipelinedRequests = 'pipelined_requests',
  Requests = 'requests',
  BodyBytes = 'body_bytes',
  OpenBodies = 'open_bodies',
  AnswerBytes = 'answer_bytes',
  UnreadBytes = 'unread_bytes',
}

/** Called when a client exceeds a limit; the owner is undefined where it is not known. */
export type LimitListener = (limit: ClientLimit, owner?: Owner) => void;
