import { isUtf8 } from 'node:buffer';

import { ANSWER_KEEP_LIMIT_BYTES, REQUEST_KEEP_LIMIT_BYTES } from './constants.js';

import type {
  EncodedBody,
  RecordedAnswer,
  RecordedRequest,
  ServiceAnswer,
  ServiceRequest,
} from './types.js';

/**
 * Characters that JSON escapes. A control character takes six bytes, so a body full of them would exceed
 * the size limit of a stored value; such bodies are stored as base64.
 */
const JSON_ESCAPED_CHARACTERS = /[\u0000-\u001f\u007f"\\]/g;
const MAX_ESCAPE_BYTES = 6;

const encodeBody = (body: Buffer, limitBytes: number): EncodedBody | undefined => {
  if (body.length > limitBytes) return undefined;
  if (!isUtf8(body)) return { encoding: 'base64', data: body.toString('base64') };
  const data = body.toString('utf8');
  const escapes = data.match(JSON_ESCAPED_CHARACTERS)?.length ?? 0;
  if (escapes * MAX_ESCAPE_BYTES > body.length) {
    return { encoding: 'base64', data: body.toString('base64') };
  }
  return { encoding: 'utf8', data };
};

const decodeBody = (body: EncodedBody): Buffer => Buffer.from(body.data, body.encoding);

/**
 * Encodes an answer for storage in an order record.
 *
 * @param answer - the service's answer
 * @returns the encoded answer, without its body if that exceeds ANSWER_KEEP_LIMIT_BYTES
 */
export const encodeAnswer = (answer: ServiceAnswer): RecordedAnswer => ({
  status: answer.status,
  headers: answer.headers,
  bytes: answer.body.length,
  body: encodeBody(answer.body, ANSWER_KEEP_LIMIT_BYTES),
});

/**
 * Decodes the answer of an order record.
 *
 * @param recorded - the answer as stored in the record
 * @returns the complete answer, or undefined if its body was not stored
 */
export const decodeAnswer = (recorded: RecordedAnswer): ServiceAnswer | undefined => {
  if (recorded.body === undefined) return undefined;
  const { status, headers } = recorded;
  return { status, headers, body: decodeBody(recorded.body) };
};

/**
 * Encodes a request for storage in an order record.
 *
 * @param request - the caller's request
 * @returns the encoded request, without its body if that exceeds REQUEST_KEEP_LIMIT_BYTES
 */
export const encodeRequest = (request: ServiceRequest): RecordedRequest => ({
  method: request.method,
  path: request.path,
  headers: request.headers,
  body: encodeBody(request.body, REQUEST_KEEP_LIMIT_BYTES),
});

/**
 * Decodes the request of an order record.
 *
 * @param recorded - the request as stored in the record
 * @returns the complete request, or undefined if its body was not stored
 */
export const decodeRequest = (recorded: RecordedRequest): ServiceRequest | undefined => {
  if (recorded.body === undefined) return undefined;
  const { method, path, headers } = recorded;
  return { method, path, headers, body: decodeBody(recorded.body) };
};
