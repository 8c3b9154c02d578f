import { setTimeout as sleep } from 'node:timers/promises';

import { Agent } from 'undici';

import { sendRequest } from './sendRequest.js';

import type { Dispatcher } from 'undici';
import type { PlannedRequest, RequestResult } from './types.js';

/** Options for sending a planned load. */
export interface RunLoadOptions {
  /** Base addresses of the entry daemons, used round-robin. */
  readonly addresses: readonly string[];
  /** Called with each result when its request ends. */
  readonly onResult?: (result: RequestResult) => void;
  readonly signal?: AbortSignal;
  /** Connections to use, which stay open after the run; by default the run opens its own. */
  readonly dispatcher?: Dispatcher;
}

const CONNECTIONS_PER_ADDRESS = 2_000;
const CONNECT_TIMEOUT_MS = 5_000;

/**
 * Opens a connection pool that callers share.
 *
 * @returns the pool, which the caller has to destroy
 */
export const openCallerConnections = (): Agent =>
  new Agent({
    connections: CONNECTIONS_PER_ADDRESS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

/** Rotates the addresses by the request's number, so that requests start with each address in turn. */
const buildAddressOrder = (addresses: readonly string[], number: number): readonly string[] => {
  const first = number % addresses.length;
  return [...addresses.slice(first), ...addresses.slice(0, first)];
};

/**
 * Sends a planned load. The load is open-loop: requests are sent at their planned times even if earlier ones
 * have not ended, and the delay of a late send is part of the request's latency.
 *
 * @param plan - the requests, sorted by send time
 * @param options - addresses, connections, abort signal and result callback
 * @returns the results, in the order of the plan
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
    const addresses = buildAddressOrder(options.addresses, request.number);
    const result = sendRequest(request, { addresses, dispatcher, getNowMs, signal });
    if (options.onResult !== undefined) void result.then(options.onResult);
    results.push(result);
  }
  const ended = await Promise.all(results);
  await connections.destroy();
  return ended;
};
