import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  Configuration,
  HopSpan,
  RequestId,
  WorkspaceConfiguration,
} from '@sardinegrade/common';
import type { Ingress } from '@sardinegrade/ingress';
import type { RequestTrail } from '../administration/index.js';

/** An authenticated request of a caller. */
export interface CallerRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceConfiguration;
  /** The configuration that applies to the request until its end, even if a newer one becomes active. */
  readonly configuration: Configuration;
  readonly arrivedAtMs: number;
  readonly span: HopSpan;
  /** Records the decisions on the request. */
  readonly trail: RequestTrail;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Limits of what callers make this daemon hold. */
  readonly ingress: Ingress;
}

/** Format of an error response. */
export enum ErrorFormat {
  OpenAi = 'openai',
  Problem = 'problem',
}

/** A route of the HTTP interface for callers. */
export interface CallerRoute {
  /** Matched against the path of the URL. */
  readonly pattern: RegExp;
  /** Allowed methods; undefined for all. */
  readonly methods: readonly string[] | undefined;
  readonly errorFormat: ErrorFormat;
  /** Serves the request; a thrown error is sent in the route's error format. */
  readonly serve: (request: CallerRequest) => Promise<void>;
}
