import { setTimeout as sleep } from 'node:timers/promises';

import { Agent } from 'undici';

import { sendRequest } from './sendRequest.js';

import type { Dispatcher } from 'undici';
import type { PlannedRequest, RequestResult } from './types.js';

/** How a planned load is sent. */
export interface RunLoadOptions {
  /** Base addresses of the entry daemons, which take the requests in turn. */
  readonly addresses: readonly string[];
  /** Called with each result as it comes. */
  readonly onResult?: (result: RequestResult) => void;
  readonly signal?: AbortSignal;
  /** Connections to use, which stay open; by default the run has its own. */
  readonly dispatcher?: Dispatcher;
}

const CONNECTIONS_PER_ADDRESS = 2_000;
const CONNECT_TIMEOUT_MS = 5_000;

/**
 * Opens connections that callers share.
 *
 * @returns the connections; their owner destroys them
 */
export const openCallerConnections = (): Agent =>
  new Agent({
    connections: CONNECTIONS_PER_ADDRESS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

/** The addresses in turn, beginning with the one that a request is meant for. */
const sortFrom = (addresses: readonly string[], number: number): readonly string[] => {
  const first = number % addresses.length;
  return [...addresses.slice(first), ...addresses.slice(0, first)];
};

/**
 * Sends a planned load. The plan's times hold whatever the answers do: the load is open, and a late
 * send counts into its request's latency.
 *
 * @param plan - the requests in the order of their times
 * @param options - where they are sent
 * @returns what became of each request, in the order of the plan
 */
export const runLoad = async (
  plan: readonly PlannedRequest[],
  options: RunLoadOptions,
): Promise<readonly RequestResult[]> => {
  const connections = openCallerConnections();
  const dispatcher = options.dispatcher ?? connections;
  const signal = options.signal ?? new AbortController().signal;
  const startedAtMs = performance.now();
  const getNowMs = (): number => performance.now() - startedAtMs;
  const results: Promise<RequestResult>[] = [];
  for (const request of plan) {
    const waitMs = request.atMs - getNowMs();
    if (waitMs > 0) await sleep(waitMs);
    if (signal.aborted) break;
    const addresses = sortFrom(options.addresses, request.number);
    const result = sendRequest(request, { addresses, dispatcher, getNowMs, signal });
    if (options.onResult !== undefined) void result.then(options.onResult);
    results.push(result);
  }
  const ended = await Promise.all(results);
  await connections.destroy();
  return ended;
};
