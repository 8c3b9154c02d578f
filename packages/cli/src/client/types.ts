import type { z } from 'zod';

/** Where and as whom to call. */
export interface ClientOptions {
  /** Base addresses of administration ports, in the order in which they are tried. */
  readonly addresses: readonly string[];
  readonly key: string;
  readonly timeoutMs: number;
}

/** A request that changes something. */
export interface ChangeRequest {
  readonly method: 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  readonly contentType?: string;
  /** The generation that the change starts from. */
  readonly ifMatch?: number;
}

/** What one of several daemons answered. */
export type DaemonReply<Value> =
  | { readonly address: string; readonly value: Value }
  | { readonly address: string; readonly error: Error };

/** Calls the administration API of one or more daemons. */
export interface FleetClient {
  readonly addresses: readonly string[];
  /** Reads from the first daemon that can be reached. */
  readonly read: <Schema extends z.ZodType>(
    schema: Schema,
    path: string,
  ) => Promise<z.output<Schema>>;
  /** Reads from every daemon; never rejects. */
  readonly readAll: <Schema extends z.ZodType>(
    schema: Schema,
    path: string,
  ) => Promise<readonly DaemonReply<z.output<Schema>>[]>;
  /** Changes something through the first daemon that can be reached; a resend has no second effect. */
  readonly change: <Schema extends z.ZodType>(
    schema: Schema,
    request: ChangeRequest,
  ) => Promise<z.output<Schema>>;
}
