import { runWithTimeLimit } from '@sardinegrade/common';
import { Agent, request } from 'undici';
import { z } from 'zod';

import { OrderOutcome } from './enums.js';

import type { EngineOrder, EngineState } from './types.js';

const STALE_STATUS = 409;

const STATE_SCHEMA = z.object({
  models: z.array(z.string()).default([]),
  adapters: z.array(z.string()).default([]),
  versions: z.record(z.string(), z.string()).default({}),
  role: z.string().optional(),
  fencing: z.number().default(0),
  loading: z.array(z.string()).default([]),
});

/** Options for sending an order. */
export interface SendOptions {
  /** Fencing number of the sender's lease. */
  readonly fencing: number;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Reads the state of engines and sends them orders. */
export interface EngineClient {
  /** @returns the engine's state; undefined if it could not be read within the timeout */
  readonly readState: (address: string, timeoutMs: number) => Promise<EngineState | undefined>;
  readonly send: (order: EngineOrder, options: SendOptions) => Promise<OrderOutcome>;
  /** Closes all connections. */
  readonly close: () => Promise<void>;
}

/**
 * Creates a client for the engines' order interface.
 *
 * @param connectTimeoutMs - timeout for connecting. It must be short even if the order may run for long,
 * because the lease is checked before the connection is made and the order must be sent soon after that.
 * @returns the client
 */
export const createEngineClient = (connectTimeoutMs: number): EngineClient => {
  const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs } });

  const readState: EngineClient['readState'] = async (address, timeoutMs) => {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const response = await request(`${address}/v1/orders`, { dispatcher, signal });
      const body = await response.body.json();
      if (response.statusCode !== 200) return undefined;
      const { role, ...state } = STATE_SCHEMA.parse(body);
      return { ...state, role };
    } catch {
      return undefined;
    }
  };

  const send: EngineClient['send'] = async (order, { fencing, deadlineMs, signal }) => {
    const { kind, model, version, adapter, role, upstream } = order;
    const body = { fencing, order: kind, model, version, adapter, role, deadline_ms: deadlineMs };
    try {
      const status = await runWithTimeLimit({ timeoutMs: deadlineMs, signal }, async (limit) => {
        const response = await request(`${upstream.address}/v1/orders`, {
          dispatcher,
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
          headersTimeout: deadlineMs,
          bodyTimeout: deadlineMs,
          signal: limit,
        });
        await response.body.dump();
        return response.statusCode;
      });
      if (status === STALE_STATUS) return OrderOutcome.Stale;
      return status === 200 ? OrderOutcome.Done : OrderOutcome.Failed;
    } catch {
      return OrderOutcome.Failed;
    }
  };

  return { readState, send, close: () => dispatcher.destroy() };
};
