import type { PromptShape } from '@sardinegrade/routing';
import type { Branded, RequestId, UpstreamId, WorkspaceName } from '@sardinegrade/common';
import type { IncomingHttpHeaders } from 'node:http';

/** Names and values in turn, in the order and spelling in which they were received. */
export type RawHeaders = readonly string[];

/** The id of an event of a stream. */
export type EventId = Branded<'EventId'>;

/** What a caller's request says about itself in its headers. */
export interface CallerRequest {
  /** Undefined where the caller named none. */
  readonly requestId: RequestId | undefined;
  /** How long the caller waits, in milliseconds; undefined where it did not say. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** The caller's stream goes on after this event. */
  readonly lastEventId: EventId | undefined;
  /** Undefined where the request is not for a model. */
  readonly prompt: PromptShape | undefined;
}

/** What a send tells the worker besides the caller's own headers. */
export interface SendMetadata {
  readonly worker: UpstreamId;
  readonly remainingMs: number;
  readonly workspace: WorkspaceName | undefined;
  /** 0 is the most urgent; undefined for plain services. */
  readonly priority: number | undefined;
  readonly lastEventId: EventId | undefined;
}

/** What a worker's answer says about itself in its headers. */
export interface AnswerFacts {
  readonly requestId: string | undefined;
  /** The worker states that it has not run the request and never will. */
  readonly isNotRun: boolean;
  /** The answer bears the code by which callers recognise a worker's own answer. */
  readonly isSealed: boolean;
  /** The body is encoded, which no worker does. */
  readonly isEncoded: boolean;
}

/** The headers of the platform that the forwarder runs on, decoded and encoded outside this package. */
export interface ForwardProtocol {
  readonly decodeRequest: (headers: IncomingHttpHeaders) => CallerRequest;
  /** Builds the headers of a send: the caller's own without those that concern one connection or the router. */
  readonly encodeSend: (headers: RawHeaders, metadata: SendMetadata) => string[];
  readonly decodeAnswer: (headers: RawHeaders) => AnswerFacts;
  /** Builds the headers of a relayed answer: the worker's own without those that concern one connection. */
  readonly encodeAnswer: (headers: RawHeaders) => string[];
}
