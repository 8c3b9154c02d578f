import { randomUUID } from 'node:crypto';

import { problemSchema, runWithTimeLimit } from '@sardinegrade/common';
import { request } from 'undici';

import { UnreachableError } from '../errors.js';
import { ProblemError } from './ProblemError.js';

import type { z } from 'zod';
import type { NonGetRequest, ClientOptions, DaemonReply, FleetClient } from './types.js';

interface Call {
  readonly method: 'GET' | NonGetRequest['method'];
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | null;
}

interface Answer {
  readonly status: number;
  readonly text: string;
}

const FIRST_ERROR_STATUS = 400;

/** Describes a failed connection; includes the error code unless the message has it. */
const describeCause = (error: unknown): string => {
  if (!(error instanceof Error)) return 'unknown cause';
  const { code } = error as NodeJS.ErrnoException;
  const message = error.message === '' ? error.name : error.message;
  return code === undefined || message.includes(code) ? message : `${code}: ${message}`;
};

const sendCall = async (
  { key, timeoutMs }: ClientOptions,
  address: string,
  call: Call,
): Promise<Answer> => {
  try {
    return await runWithTimeLimit({ timeoutMs }, async (signal) => {
      const answer = await request(new URL(call.path, address), {
        method: call.method,
        body: call.body,
        headers: { ...call.headers, authorization: `Bearer ${key}` },
        signal,
      });
      return { status: answer.statusCode, text: await answer.body.text() };
    });
  } catch (error) {
    throw new UnreachableError(`No answer from ${address}: ${describeCause(error)}.`);
  }
};

const parseBody = (address: string, text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new UnreachableError(`${address} is not an administration port: it answered no JSON.`);
  }
};

const readAnswer = <Schema extends z.ZodType>(
  schema: Schema,
  address: string,
  { status, text }: Answer,
): z.output<Schema> => {
  const body = parseBody(address, text);
  if (status >= FIRST_ERROR_STATUS) {
    const problem = problemSchema.safeParse(body);
    if (problem.success) throw new ProblemError(problem.data);
    throw new UnreachableError(`${address} answered ${status} without an explanation.`);
  }
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  throw new UnreachableError(`${address} answered what this version does not understand.`);
};

const toCall = (change: NonGetRequest): Call => ({
  method: change.method,
  path: change.path,
  body: change.body ?? null,
  headers: {
    // All addresses receive the same id, so that a change already applied through one is not applied again by the next.
    'idempotency-key': randomUUID(),
    ...(change.contentType === undefined ? {} : { 'content-type': change.contentType }),
    ...(change.ifMatch === undefined ? {} : { 'if-match': `"${change.ifMatch}"` }),
  },
});

const toReadCall = (path: string): Call => ({ method: 'GET', path, headers: {}, body: null });

/** Calls the addresses in order until a daemon returns a valid response; a problem document counts as one. */
const callFirstReachable = async <Schema extends z.ZodType>(
  options: ClientOptions,
  schema: Schema,
  call: Call,
): Promise<z.output<Schema>> => {
  const failures: string[] = [];
  for (const address of options.addresses) {
    try {
      return readAnswer(schema, address, await sendCall(options, address, call));
    } catch (error) {
      if (!(error instanceof UnreachableError)) throw error;
      failures.push(error.message);
    }
  }
  throw new UnreachableError(failures.join('\n'));
};

const readFromDaemon = async <Schema extends z.ZodType>(
  options: ClientOptions,
  schema: Schema,
  address: string,
  path: string,
): Promise<DaemonReply<z.output<Schema>>> => {
  try {
    const answer = await sendCall(options, address, toReadCall(path));
    return { address, value: readAnswer(schema, address, answer) };
  } catch (error) {
    return { address, error: error instanceof Error ? error : new Error('unknown failure') };
  }
};

/**
 * Creates a client of the administration API.
 *
 * @param options - addresses, key and timeout of all calls
 * @returns a client; it connects with each call
 */
export const createFleetClient = (options: ClientOptions): FleetClient => ({
  addresses: options.addresses,
  read: (schema, path) => callFirstReachable(options, schema, toReadCall(path)),
  readAll: (schema, path) =>
    Promise.all(options.addresses.map((address) => readFromDaemon(options, schema, address, path))),
  change: (schema, change) => callFirstReachable(options, schema, toCall(change)),
});
