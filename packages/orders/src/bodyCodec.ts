import { isUtf8 } from 'node:buffer';

import { ANSWER_KEEP_LIMIT_BYTES, REQUEST_KEEP_LIMIT_BYTES } from './constants.js';

import type {
  EncodedBody,
  RecordedAnswer,
  RecordedRequest,
  ServiceAnswer,
  ServiceRequest,
} from './types.js';

/** Control characters take six bytes each in JSON, which would burst the value limit. */
const ESCAPED = /[\u0000-\u001f\u007f"\\]/g;
const LONGEST_ESCAPE = 6;

const encodeBody = (body: Buffer, limitBytes: number): EncodedBody | undefined => {
  if (body.length > limitBytes) return undefined;
  if (!isUtf8(body)) return { encoding: 'base64', data: body.toString('base64') };
  const data = body.toString('utf8');
  const escapes = data.match(ESCAPED)?.length ?? 0;
  if (escapes * LONGEST_ESCAPE > body.length) {
    return { encoding: 'base64', data: body.toString('base64') };
  }
  return { encoding: 'utf8', data };
};

const decodeBody = (body: EncodedBody): Buffer => Buffer.from(body.data, body.encoding);

/**
 * Puts an answer into the form that records hold.
 *
 * @param answer - the service's answer
 * @returns the answer, without its body where that is too large to keep
 */
export const encodeAnswer = (answer: ServiceAnswer): RecordedAnswer => ({
  status: answer.status,
  headers: answer.headers,
  bytes: answer.body.length,
  body: encodeBody(answer.body, ANSWER_KEEP_LIMIT_BYTES),
});

/**
 * Takes an answer out of a record.
 *
 * @param recorded - the record's answer
 * @returns the whole answer, or undefined where its body was not kept
 */
export const decodeAnswer = (recorded: RecordedAnswer): ServiceAnswer | undefined => {
  if (recorded.body === undefined) return undefined;
  const { status, headers } = recorded;
  return { status, headers, body: decodeBody(recorded.body) };
};

/**
 * Puts a request into the form that records hold.
 *
 * @param request - the caller's request
 * @returns the request, without its body where that is too large to keep
 */
export const encodeRequest = (request: ServiceRequest): RecordedRequest => ({
  method: request.method,
  path: request.path,
  headers: request.headers,
  body: encodeBody(request.body, REQUEST_KEEP_LIMIT_BYTES),
});

/**
 * Takes a request out of a record.
 *
 * @param recorded - the record's request
 * @returns the whole request, or undefined where its body was not kept
 */
export const decodeRequest = (recorded: RecordedRequest): ServiceRequest | undefined => {
  if (recorded.body === undefined) return undefined;
  const { method, path, headers } = recorded;
  return { method, path, headers, body: decodeBody(recorded.body) };
};
