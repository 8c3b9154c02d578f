import { runWithTimeLimit } from '@sardinegrade/common';
import { Pool } from 'undici';

import {
  CALL_CONNECTIONS,
  CALL_TIMEOUT_MS,
  CONNECT_TIMEOUT_MS,
  WATCH_CONNECTIONS,
  WATCH_MARGIN_MS,
} from './constants.js';
import { PlatformError, PlatformFailure } from './PlatformError.js';
import { RESPONSE_SCHEMAS } from './schemas.js';
import { MAX_ANSWER_BYTES } from './answerLimit.js';
import { RenewablePool } from './RenewablePool.js';
import { toTransportError } from './transportError.js';

import type { z } from 'zod';
import type { ObjectWrite, PlatformClient, WriteResult } from './types.js';

/** Address of the platform, timeouts and connection limits of a client. */
export interface PlatformClientOptions {
  /** Base address, `http://host:port`. */
  readonly address: string;
  readonly callTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
  readonly connections?: number;
  readonly watchConnections?: number;
}

/** Client with connections of its own; its owner has to close it. */
export interface HttpPlatformClient extends PlatformClient {
  /** Closes the connections; calls in progress fail. */
  readonly close: () => Promise<void>;
}

interface Call {
  readonly pool: RenewablePool;
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly timeoutMs: number;
  readonly ifVersion?: number;
  readonly body?: string;
  readonly signal?: AbortSignal | undefined;
}

interface PlatformResponse {
  readonly status: number;
  readonly body: unknown;
}

const isWrite = (call: Call): boolean => call.method !== 'GET';

const parseJson = (text: string): unknown => {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const buildHeaders = (call: Call): Record<string, string> => ({
  accept: 'application/json',
  ...(call.ifVersion === undefined ? {} : { 'if-version': String(call.ifVersion) }),
  ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
});

/** Failures that cannot have had an effect, by HTTP status. */
const NO_EFFECT_FAILURES: Readonly<Partial<Record<number, PlatformFailure>>> = {
  400: PlatformFailure.Invalid,
  413: PlatformFailure.Invalid,
  429: PlatformFailure.Limited,
  503: PlatformFailure.Unavailable,
};

const EXPECTED_STATUSES: ReadonlySet<number> = new Set([200, 404, 409]);

const checkStatus = (call: Call, status: number): void => {
  if (EXPECTED_STATUSES.has(status)) return;
  const fallback = isWrite(call) ? PlatformFailure.Uncertain : PlatformFailure.Invalid;
  const failure = NO_EFFECT_FAILURES[status] ?? fallback;
  throw new PlatformError(failure, `The platform answered ${call.method} with ${status}.`);
};

const performCall = async (call: Call): Promise<PlatformResponse> => {
  try {
    const { status, text } = await runWithTimeLimit(call, (signal) =>
      call.pool.request({
        method: call.method,
        path: call.path,
        headers: buildHeaders(call),
        body: call.body ?? null,
        signal,
      }),
    );
    checkStatus(call, status);
    return { status, body: parseJson(text) };
  } catch (error) {
    throw toTransportError(error, isWrite(call));
  }
};

const parseResponse = <Schema extends z.ZodType>(
  schema: Schema,
  response: PlatformResponse,
  failure: PlatformFailure,
): z.output<Schema> => {
  const result = schema.safeParse(response.body);
  if (result.success) return result.data;
  throw new PlatformError(failure, 'The platform answered against its protocol.', result.error);
};

const parseRead = <Schema extends z.ZodType>(
  schema: Schema,
  response: PlatformResponse,
): z.output<Schema> => {
  if (response.status !== 200) {
    throw new PlatformError(
      PlatformFailure.Invalid,
      `The platform answered a read with ${response.status}.`,
    );
  }
  return parseResponse(schema, response, PlatformFailure.Invalid);
};

const parseWrite = (response: PlatformResponse): WriteResult => {
  if (response.status === 200) {
    return parseResponse(RESPONSE_SCHEMAS.written, response, PlatformFailure.Uncertain);
  }
  if (response.status === 409) {
    return parseResponse(RESPONSE_SCHEMAS.conflict, response, PlatformFailure.Invalid);
  }
  throw new PlatformError(PlatformFailure.Invalid, 'The platform does not know this kind.');
};

const buildObjectPath = (kind: string, name: string): string =>
  `/v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;

const buildQuery = (parameters: Readonly<Record<string, string | number | undefined>>): string => {
  const query = new URLSearchParams();
  for (const [key, value] of Object.entries(parameters)) {
    if (value !== undefined) query.set(key, String(value));
  }
  return query.toString();
};

const createPool = (options: PlatformClientOptions, connections: number): RenewablePool =>
  new RenewablePool(
    () =>
      new Pool(options.address, {
        connections,
        pipelining: 1,
        maxResponseSize: MAX_ANSWER_BYTES,
        connect: { timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS },
        // Each call has a timeout of its own, which also covers the wait for a connection.
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
  );

/**
 * Creates an HTTP client of the platform's object API.
 *
 * @param options - the platform's address, and limits that differ from the defaults
 * @returns the client; connections are opened on the first call
 */
export const createPlatformClient = (options: PlatformClientOptions): HttpPlatformClient => {
  const callPool = createPool(options, options.connections ?? CALL_CONNECTIONS);
  const watchPool = createPool(options, options.watchConnections ?? WATCH_CONNECTIONS);
  const timeoutMs = options.callTimeoutMs ?? CALL_TIMEOUT_MS;
  const get = (path: string): Promise<PlatformResponse> =>
    performCall({ pool: callPool, method: 'GET', path, timeoutMs });

  const write = async (change: ObjectWrite): Promise<WriteResult> => {
    const body = JSON.stringify({ change_id: change.changeId, value: change.value });
    const path = buildObjectPath(change.kind, change.name);
    const { ifVersion } = change;
    return parseWrite(
      await performCall({ pool: callPool, method: 'PUT', path, timeoutMs, ifVersion, body }),
    );
  };

  return {
    read: async (kind, name) => {
      const response = await get(buildObjectPath(kind, name));
      return response.status === 404 ? undefined : parseRead(RESPONSE_SCHEMAS.object, response);
    },
    list: async (kind, prefix, after) => {
      const query = buildQuery({ prefix, after });
      const response = await get(`/v1/objects/${encodeURIComponent(kind)}?${query}`);
      return parseRead(RESPONSE_SCHEMAS.page, response);
    },
    write,
    remove: async (kind, name, ifVersion) => {
      const path = buildObjectPath(kind, name);
      return parseWrite(
        await performCall({ pool: callPool, method: 'DELETE', path, timeoutMs, ifVersion }),
      );
    },
    watch: async (kind, afterVersion, waitMs, signal) => {
      const query = buildQuery({ after: afterVersion, timeout_ms: waitMs });
      const response = await performCall({
        pool: watchPool,
        method: 'GET',
        path: `/v1/watch/${encodeURIComponent(kind)}?${query}`,
        timeoutMs: waitMs + WATCH_MARGIN_MS,
        signal,
      });
      return parseRead(RESPONSE_SCHEMAS.watch, response);
    },
    listVms: async () => parseRead(RESPONSE_SCHEMAS.vms, await get('/v1/vms')).vms,
    close: async () => {
      await Promise.all([callPool.close(), watchPool.close()]);
    },
  };
};
