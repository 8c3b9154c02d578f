import type { z } from 'zod';

/** Addresses, key and timeout for calls to the administration API. */
export interface ClientOptions {
  /** Base addresses of administration ports, in the order in which they are tried. */
  readonly addresses: readonly string[];
  /** Administrator key, sent as bearer token. */
  readonly key: string;
  /** Timeout of one call to one address. */
  readonly timeoutMs: number;
}

/** A request with a method other than GET. */
export interface NonGetRequest {
  readonly method: 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  readonly contentType?: string;
  /** The generation that the change is based on, sent as `If-Match`. */
  readonly ifMatch?: number;
}

/** The result of a read from one daemon: a value or an error. */
export type DaemonReply<Value> =
  | { readonly address: string; readonly value: Value }
  | { readonly address: string; readonly error: Error };

/** Calls the administration API of one or more daemons. */
export interface FleetClient {
  readonly addresses: readonly string[];
  /** Reads from the first reachable daemon. */
  readonly read: <Schema extends z.ZodType>(
    schema: Schema,
    path: string,
  ) => Promise<z.output<Schema>>;
  /** Reads from every daemon; failures are part of the result, so the promise never rejects. */
  readonly readAll: <Schema extends z.ZodType>(
    schema: Schema,
    path: string,
  ) => Promise<readonly DaemonReply<z.output<Schema>>[]>;
  /**
   * Sends a request other than GET to the first reachable daemon; an idempotency key prevents
   * repeated requests from applying a change twice.
   */
  readonly change: <Schema extends z.ZodType>(
    schema: Schema,
    request: NonGetRequest,
  ) => Promise<z.output<Schema>>;
}
