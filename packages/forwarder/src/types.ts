import type { NamedLimit, Notice, PromptShape } from '@sardinegrade/routing';
import type { Branded, RequestId, UpstreamId, WorkspaceName } from '@sardinegrade/common';
import type { IncomingHttpHeaders } from 'node:http';

/** Alternating header names and values, in the order and spelling in which they were received. */
export type RawHeaders = readonly string[];

/** Id of a server-sent event. */
export type EventId = Branded<'EventId'>;

/** Metadata that a caller sends in the headers of a request. */
export interface CallerRequest {
  /** Undefined if the caller sent none. */
  readonly requestId: RequestId | undefined;
  /** How long the caller waits, in milliseconds; undefined if it sent no deadline. */
  readonly deadlineMs: number | undefined;
  /** API key; undefined if the caller sent none. */
  readonly key: string | undefined;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: EventId | undefined;
  /** Id of the request that received the stream's first event, if it resumes a stream and names it. */
  readonly resumedRequestId: RequestId | undefined;
  /** Undefined if the request is not for a model. */
  readonly prompt: PromptShape | undefined;
}

/** Metadata for the headers that the forwarder adds to a request for a worker. */
export interface SendMetadata {
  /** Id of the worker for which the request is meant. */
  readonly worker: UpstreamId;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Workspace of the caller's API key; undefined without a key. */
  readonly workspace: WorkspaceName | undefined;
  /** Priority rank, 0 is the most urgent; undefined for plain services. */
  readonly priority: number | undefined;
  /** Id of the event after which the worker continues the stream; undefined for a new stream. */
  readonly lastEventId: EventId | undefined;
}

/** Metadata that a worker sends in the headers of an answer. */
export interface AnswerMetadata {
  /** Id of the request that the worker answers; undefined if it sent none. */
  readonly requestId: string | undefined;
  /** The worker states that it has not run the request and never will. */
  readonly isNotRun: boolean;
  /** The answer has the seal, a header by which callers recognise that a worker produced it. */
  readonly isSealed: boolean;
  /** The answer has a content encoding, which no worker uses. */
  readonly isEncoded: boolean;
  /** How many requests a second the worker accepts from all VMs together. */
  readonly limit: NamedLimit;
  /** Whether the worker states that it leaves. */
  readonly leaving: Notice<true>;
  /** For how long the worker wants no requests, in milliseconds. */
  readonly retryAfter: Notice<number>;
  /** How many rejections a second the worker survives. */
  readonly brittleness: NamedLimit;
}

/** Report by which an engine tells which process it is. An engine answers it at once, also if it is full. */
export interface ProcessReport {
  readonly path: string;
  /** Reads when the process started, in Unix milliseconds; undefined if the report does not tell it. */
  readonly decodeStartedAtMs: (body: string) => number | undefined;
}

/** Decodes and encodes the headers of the platform that the forwarder runs on. Implemented outside this package. */
export interface ForwardProtocol {
  readonly decodeRequest: (headers: IncomingHttpHeaders) => CallerRequest;
  /** Builds the headers of a request for a worker: the caller's without hop-by-hop and router headers, and metadata. */
  readonly encodeSend: (headers: RawHeaders, metadata: SendMetadata) => string[];
  readonly decodeAnswer: (headers: RawHeaders) => AnswerMetadata;
  /** Builds the headers of a relayed answer: the worker's, except hop-by-hop headers. */
  readonly encodeAnswer: (headers: RawHeaders) => string[];
  readonly processReport: ProcessReport;
}
