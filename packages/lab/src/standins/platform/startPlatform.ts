import {
  createMemoryPlatform,
  PlatformError,
  PlatformFailure,
  VALUE_LIMIT_BYTES,
  WriteOutcome,
} from '@sardinegrade/platform';

import {
  createRouter,
  getHeader,
  getQueryNumber,
  readBody,
  readJson,
  sendJson,
  startHttpServer,
} from '../http/index.js';
import { CONTROL_SCHEMA, PUT_SCHEMA } from './schemas.js';
import { formatChange, formatObject, formatVm } from './wire.js';

import type { MemoryPlatform, MemoryPlatformOptions, WriteResult } from '@sardinegrade/platform';
import type { ServerResponse } from 'node:http';
import type { Route, RoutedCall, StandIn } from '../http/index.js';

/** Options of a platform stand-in. */
export interface PlatformOptions extends MemoryPlatformOptions {
  readonly listen?: string;
}

/** A platform stand-in. Tests in the same process set its faults through `platform`. */
export interface PlatformStandIn extends StandIn {
  readonly platform: MemoryPlatform;
}

const DEFAULT_WRITES_PER_SECOND = 500;
const DEFAULT_READS_PER_SECOND = 2_000;
const RETRY_AFTER_MS = 100;
const DEFAULT_WATCH_TIMEOUT_MS = 30_000;

type FailureHandler = (response: ServerResponse, error: PlatformError) => void;

const FAILURE_HANDLERS: Readonly<Record<PlatformFailure, FailureHandler>> = {
  [PlatformFailure.Unavailable]: (response, error) =>
    sendJson(response, 503, { error: error.message }),
  [PlatformFailure.Limited]: (response, error) =>
    sendJson(response, 429, { error: error.message }, { 'retry-after-ms': `${RETRY_AFTER_MS}` }),
  [PlatformFailure.Uncertain]: (response) => {
    response.destroy();
  },
  [PlatformFailure.Invalid]: (response, error) => sendJson(response, 400, { error: error.message }),
  [PlatformFailure.Truncated]: (response, error) =>
    sendJson(response, 410, { error: error.message }),
};

const withErrorResponses =
  (handle: (call: RoutedCall) => Promise<void>): Route['handle'] =>
  async (call) => {
    try {
      await handle(call);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      FAILURE_HANDLERS[error.failure](call.response, error);
    }
  };

const sendWriteResult = (response: ServerResponse, result: WriteResult): void => {
  if (result.outcome === WriteOutcome.Written) {
    sendJson(response, 200, { version: result.version });
    return;
  }
  const current = result.current === undefined ? null : formatObject(result.current);
  sendJson(response, 409, { current });
};

const parseIfVersion = (call: RoutedCall): number => {
  const version = Number(getHeader(call.request, 'if-version') ?? Number.NaN);
  if (Number.isInteger(version) && version >= 0) return version;
  throw new PlatformError(PlatformFailure.Invalid, 'The header if-version is missing.');
};

const handlePut = async (platform: MemoryPlatform, call: RoutedCall): Promise<void> => {
  const [kind = '', name = ''] = call.parameters;
  const text = await readBody(call.request);
  if (Buffer.byteLength(text) > VALUE_LIMIT_BYTES) {
    sendJson(call.response, 413, { error: 'The value is larger than a megabyte.' });
    return;
  }
  const body = PUT_SCHEMA.safeParse(parseJson(text));
  if (!body.success) {
    sendJson(call.response, 400, { error: body.error.message });
    return;
  }
  const { change_id: changeId, value } = body.data;
  const ifVersion = parseIfVersion(call);
  sendWriteResult(call.response, await platform.write({ kind, name, ifVersion, changeId, value }));
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

const handleGet = async (platform: MemoryPlatform, call: RoutedCall): Promise<void> => {
  const [kind = '', name = ''] = call.parameters;
  const object = await platform.read(kind, name);
  if (object === undefined) sendJson(call.response, 404, { error: 'No such object.' });
  else sendJson(call.response, 200, formatObject(object));
};

const handleDelete = async (platform: MemoryPlatform, call: RoutedCall): Promise<void> => {
  const [kind = '', name = ''] = call.parameters;
  sendWriteResult(call.response, await platform.remove(kind, name, parseIfVersion(call)));
};

const handleList = async (platform: MemoryPlatform, call: RoutedCall): Promise<void> => {
  const query = call.url.searchParams;
  const after = query.get('after') ?? undefined;
  const page = await platform.list(call.parameters[0] ?? '', query.get('prefix') ?? '', after);
  const objects = page.objects.map(formatObject);
  sendJson(call.response, 200, { objects, next: page.next ?? null });
};

const handleWatch = async (platform: MemoryPlatform, call: RoutedCall): Promise<void> => {
  const disconnected = new AbortController();
  call.response.once('close', () => disconnected.abort());
  const after = getQueryNumber(call.url, 'after', 0);
  const timeoutMs = getQueryNumber(call.url, 'timeout_ms', DEFAULT_WATCH_TIMEOUT_MS);
  const kind = call.parameters[0] ?? '';
  const { version, changes, isTruncated } = await platform.watch(
    kind,
    after,
    timeoutMs,
    disconnected.signal,
  );
  const body = { version, changes: changes.map(formatChange), truncated: isTruncated };
  sendJson(call.response, 200, body);
};

const handleControl = async (platform: MemoryPlatform, call: RoutedCall): Promise<void> => {
  const body = CONTROL_SCHEMA.safeParse(await readJson(call.request));
  if (!body.success) {
    sendJson(call.response, 400, { error: body.error.message });
    return;
  }
  platform.setBehaviour(body.data);
  sendJson(call.response, 200, {});
};

type PlatformHandler = (platform: MemoryPlatform, call: RoutedCall) => Promise<void>;

const API_ROUTES: readonly (readonly [string, RegExp, PlatformHandler])[] = [
  ['GET', /^\/v1\/objects\/([^/]+)\/([^/]+)$/, handleGet],
  ['PUT', /^\/v1\/objects\/([^/]+)\/([^/]+)$/, handlePut],
  ['DELETE', /^\/v1\/objects\/([^/]+)\/([^/]+)$/, handleDelete],
  ['GET', /^\/v1\/objects\/([^/]+)$/, handleList],
  ['GET', /^\/v1\/watch\/([^/]+)$/, handleWatch],
  [
    'GET',
    /^\/v1\/vms$/,
    async (platform, call) => {
      const vms = await platform.listVms();
      sendJson(call.response, 200, { vms: vms.map(formatVm) });
    },
  ],
];

const createRoutes = (platform: MemoryPlatform): readonly Route[] => [
  ...API_ROUTES.map(([method, pattern, handle]) => ({
    method,
    pattern,
    handle: withErrorResponses((call) => handle(platform, call)),
  })),
  {
    method: 'GET',
    pattern: /^\/control$/,
    handle: ({ response }) => sendJson(response, 200, platform.getCounts()),
  },
  { method: 'POST', pattern: /^\/control$/, handle: (call) => handleControl(platform, call) },
];

/**
 * Starts a stand-in for the platform's object API, which is described in docs/PLATFORM.md.
 *
 * @param options - listen address and initial behaviour
 * @returns the stand-in, once it is listening
 */
export const startPlatform = async (options: PlatformOptions = {}): Promise<PlatformStandIn> => {
  const platform = createMemoryPlatform({
    ...options,
    behaviour: {
      writesPerSecond: DEFAULT_WRITES_PER_SECOND,
      readsPerSecond: DEFAULT_READS_PER_SECOND,
      ...options.behaviour,
    },
  });
  const router = createRouter(createRoutes(platform));
  const server = await startHttpServer(options.listen ?? '127.0.0.1:0', router);
  const stop = async (): Promise<void> => {
    // Ends pending watches; their timers would otherwise keep the process running.
    platform.setBehaviour({ outage: true });
    await server.stop();
  };
  return { address: server.address, stop, platform };
};
