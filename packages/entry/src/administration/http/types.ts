import type { OutgoingHttpHeaders } from 'node:http';

import type { AdministratorRole, ResultCode } from '@sardinegrade/common';
import type { z } from 'zod';
import type { AdministrationContext, Administrator } from '../types.js';

/** The methods that the API uses. */
export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

/** A request that has passed the checks of its route. */
export interface RouteInput {
  /** Undefined on routes that need no key. */
  readonly administrator: Administrator | undefined;
  /** Decoded parts of the path, by the names in its template. */
  readonly path: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The body; empty where the route takes none. */
  readonly text: string;
}

/** What a route answers. */
export interface RouteReply {
  readonly status?: number;
  readonly headers?: OutgoingHttpHeaders;
  /** A string is sent as it is, anything else as JSON. */
  readonly body?: unknown;
}

/** A parameter of a route's query. */
export interface QueryParameter {
  readonly name: string;
  readonly description: string;
  readonly schema: Readonly<Record<string, unknown>>;
}

/** One path and method of the API, with what its description needs. */
export interface Route {
  readonly method: Method;
  /** Path with `{name}` for its variable parts. */
  readonly path: string;
  readonly summary: string;
  /** Undefined where no key is needed. */
  readonly role: AdministratorRole | undefined;
  readonly query?: readonly QueryParameter[];
  /** Headers that the route reads, besides the key. */
  readonly headers?: readonly QueryParameter[];
  /** Media type of the body that it takes. */
  readonly bodyType?: 'application/json' | 'text/plain';
  readonly bodySchema?: z.ZodType;
  /** Media type of the answer; JSON by default. */
  readonly replyType?: string;
  readonly replySchema?: z.ZodType;
  /** Result codes that it may answer besides those of every route. */
  readonly codes?: readonly ResultCode[];
  readonly handle: (
    context: AdministrationContext,
    input: RouteInput,
  ) => RouteReply | Promise<RouteReply>;
}
