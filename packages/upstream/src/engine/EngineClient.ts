import { MAX_COUNT, MAX_DURATION_MS } from '@sardinegrade/common';
import { Client, Pool } from 'undici';
import { z } from 'zod';

import {
  CONNECT_TIMEOUT_MS,
  CONNECTIONS_LIMIT,
  CONTROL_TIMEOUT_MS,
  KEEP_ALIVE_MS,
} from './constants.js';
import { AttemptCommand, AttemptEnd } from './enums.js';
import { AttemptRun } from './AttemptRun.js';
import { ProgressMonitor } from './ProgressMonitor.js';

import type { AttemptId, Clock, UpstreamConfiguration } from '@sardinegrade/common';
import type {
  AttemptHandle,
  AttemptListener,
  EngineAttempt,
  EngineCacheEvent,
  EngineLoad,
} from './types.js';

const countSchema = z.number().nonnegative().max(MAX_COUNT);

const LOAD_SCHEMA = z.object({
  at_ms: z.number(),
  running: countSchema,
  queued: countSchema,
  paused: countSchema.default(0),
  slots: countSchema,
  cache_use: z.number(),
  token_interval_ms: z.number().nonnegative().max(MAX_DURATION_MS),
  leaving: z.boolean(),
});

const CACHE_EVENTS_SCHEMA = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      stored: z.array(z.number()),
      evicted: z.array(z.number()),
    }),
  ),
});

const SUCCESS_STATUS_END = 300;

const buildHeaders = (attempt: EngineAttempt): Record<string, string> => ({
  'content-type': 'application/json',
  accept: 'text/event-stream',
  'x-attempt-id': attempt.attemptId,
  'x-priority': String(attempt.priority),
  'x-resume-at': String(attempt.resumeAt),
  traceparent: attempt.traceparent,
});

/** Client of the engines' HTTP API, with one connection pool per address. */
export class EngineClient {
  readonly #pools = new Map<string, Pool>();
  readonly #monitor: ProgressMonitor;
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#monitor = new ProgressMonitor(clock.getNowMs);
  }

  /**
   * Starts an attempt and streams its tokens to the listener.
   *
   * @param attempt - the request and the engine to send it to
   * @param listener - receives the tokens in order and, exactly once, the end
   * @returns a handle for back pressure and for ending the attempt
   */
  readonly startAttempt = (attempt: EngineAttempt, listener: AttemptListener): AttemptHandle => {
    const run = new AttemptRun(attempt, listener, this.#monitor, this.#clock.getNowMs);
    this.#getPool(attempt.upstream.address).dispatch(
      {
        path: '/v1/chat/completions',
        method: 'POST',
        headers: buildHeaders(attempt),
        body: attempt.body,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      run,
    );
    return {
      pauseReading: () => run.setReadingPaused(true),
      resumeReading: () => run.setReadingPaused(false),
      setPausedByEngine: run.setPausedByEngine,
      abort: () => this.#abort(attempt, run),
    };
  };

  /**
   * Sends a command for a running attempt.
   *
   * @param upstream - the engine that runs the attempt
   * @param attemptId - id of the attempt
   * @param command - what the engine has to do with the attempt
   * @returns whether the engine confirmed the command
   */
  readonly sendCommand = async (
    upstream: UpstreamConfiguration,
    attemptId: AttemptId,
    command: AttemptCommand,
  ): Promise<boolean> => {
    try {
      const path = `/v1/attempts/${encodeURIComponent(attemptId)}/${command}`;
      const status = await this.#callControl(upstream.address, 'POST', path);
      return status < SUCCESS_STATUS_END;
    } catch {
      return false;
    }
  };

  /**
   * Reads an engine's load report.
   *
   * @param upstream - the engine
   * @returns the report
   * @throws Error if the engine does not respond in time or its response does not match the schema
   */
  readonly readLoad = async (upstream: UpstreamConfiguration): Promise<EngineLoad> => {
    const value = LOAD_SCHEMA.parse(await this.#readJson(upstream.address, '/v1/load', 0));
    return {
      // The clock of an engine may be ahead; later reports would count as older than such a one.
      atMs: Math.min(value.at_ms, this.#clock.getNowMs()),
      running: value.running,
      queued: value.queued,
      paused: value.paused,
      slots: value.slots,
      cacheUse: value.cache_use,
      tokenIntervalMs: value.token_interval_ms,
      isLeaving: value.leaving,
    };
  };

  /**
   * Waits for an engine's cache events.
   *
   * @param upstream - the engine
   * @param afterSequence - last sequence number that was already received
   * @param waitMs - how long the engine may wait for an event, in milliseconds
   * @returns the events since, in order; empty at the timeout
   */
  readonly readCacheEvents = async (
    upstream: UpstreamConfiguration,
    afterSequence: number,
    waitMs: number,
  ): Promise<readonly EngineCacheEvent[]> => {
    const path = `/v1/cache-events?after=${afterSequence}&timeout_ms=${waitMs}`;
    return CACHE_EVENTS_SCHEMA.parse(await this.#readJson(upstream.address, path, waitMs)).events;
  };

  /**
   * Probes an engine over a new connection. If the engine responds, idle connections opened earlier are
   * replaced, because they may no longer work.
   *
   * @param upstream - the engine
   * @returns whether the engine responded without an error
   */
  readonly probe = async (upstream: UpstreamConfiguration): Promise<boolean> => {
    const client = new Client(upstream.address, { connect: { timeout: CONNECT_TIMEOUT_MS } });
    try {
      const { statusCode, body } = await client.request({
        path: '/healthz',
        method: 'GET',
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      await body.dump();
      if (statusCode >= SUCCESS_STATUS_END) return false;
      this.#replacePool(upstream.address);
      return true;
    } catch {
      return false;
    } finally {
      client.destroy().catch(() => undefined);
    }
  };

  /** Closes all connections; running attempts fail. */
  readonly close = async (): Promise<void> => {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  };

  readonly #abort = (attempt: EngineAttempt, run: AttemptRun): void => {
    if (run.isEnded) return;
    const { isSent } = run;
    run.finish(AttemptEnd.Aborted, 'Ended by the router.');
    if (isSent) void this.sendCommand(attempt.upstream, attempt.attemptId, AttemptCommand.Cancel);
  };

  readonly #getPool = (address: string): Pool => {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(address, {
      connections: CONNECTIONS_LIMIT,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    this.#pools.set(address, pool);
    return pool;
  };

  readonly #replacePool = (address: string): void => {
    const previousPool = this.#pools.get(address);
    this.#pools.delete(address);
    // Closing lets running attempts finish and drops the idle connections.
    previousPool?.close().catch(() => undefined);
  };

  readonly #callControl = async (
    address: string,
    method: 'GET' | 'POST',
    path: string,
  ): Promise<number> => {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS);
    const { statusCode, body } = await this.#getPool(address).request({ path, method, signal });
    await body.dump();
    return statusCode;
  };

  readonly #readJson = async (address: string, path: string, waitMs: number): Promise<unknown> => {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS + waitMs);
    const { statusCode, body } = await this.#getPool(address).request({
      path,
      method: 'GET',
      signal,
    });
    if (statusCode < SUCCESS_STATUS_END) return body.json();
    await body.dump();
    throw new Error(`${address}${path} responded with status ${statusCode}.`);
  };
}
