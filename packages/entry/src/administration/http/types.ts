import type { OutgoingHttpHeaders } from 'node:http';

import type { AdministratorRole, ResultCode } from '@sardinegrade/common';
import type { z } from 'zod';
import type { AdministrationContext, Administrator } from '../types.js';

/** HTTP methods of the API. */
export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

/** A request whose route was found and whose key has the required role. */
export interface RouteInput {
  /** Undefined on routes that do not require a key. */
  readonly administrator: Administrator | undefined;
  /** Decoded path parameters, by the placeholder names in the path template. */
  readonly path: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The body; empty if the method has none. */
  readonly text: string;
}

/** Response of a route. */
export interface RouteReply {
  readonly status?: number;
  readonly headers?: OutgoingHttpHeaders;
  /** A string is sent as plain text, any other value as JSON. */
  readonly body?: unknown;
}

/** A query parameter or header of a route, as described in the OpenAPI document. */
export interface QueryParameter {
  readonly name: string;
  readonly description: string;
  readonly schema: Readonly<Record<string, unknown>>;
}

/** One method of an API path, with its handler and OpenAPI metadata. */
export interface Route {
  readonly method: Method;
  /** Path template with `{name}` placeholders. */
  readonly path: string;
  readonly summary: string;
  /** Role that the key must have; undefined if no key is required. */
  readonly role: AdministratorRole | undefined;
  readonly query?: readonly QueryParameter[];
  /** Headers that the route reads, except `Authorization`. */
  readonly headers?: readonly QueryParameter[];
  /** Media type of the request body; undefined if there is none. */
  readonly bodyType?: 'application/json' | 'text/plain';
  readonly bodySchema?: z.ZodType;
  /** Media type of the response; JSON by default. */
  readonly replyType?: string;
  readonly replySchema?: z.ZodType;
  /** Result codes that the route may return in addition to the common ones. */
  readonly codes?: readonly ResultCode[];
  readonly handle: (
    context: AdministrationContext,
    input: RouteInput,
  ) => RouteReply | Promise<RouteReply>;
}
