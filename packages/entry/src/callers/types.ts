import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  Configuration,
  HopSpan,
  RequestId,
  WorkspaceConfiguration,
} from '@sardinegrade/common';
import type { RequestTrail } from '../administration/index.js';

/** A caller's request whose key was accepted. */
export interface CallerRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceConfiguration;
  /** The configuration under which the request runs from beginning to end. */
  readonly configuration: Configuration;
  readonly arrivedAtMs: number;
  readonly span: HopSpan;
  /** Takes the decisions on the request. */
  readonly trail: RequestTrail;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
}

/** Which shape an error takes on the wire. */
export enum ErrorFormat {
  OpenAi = 'openai',
  Problem = 'problem',
}

/** What serves a path. */
export interface CallerRoute {
  /** Matches the path of the URL. */
  readonly pattern: RegExp;
  /** Methods served; undefined for all. */
  readonly methods: readonly string[] | undefined;
  readonly errorFormat: ErrorFormat;
  /** Serves the request; what it throws is answered in the route's format. */
  readonly serve: (request: CallerRequest) => Promise<void>;
}
