import { ResultCode } from '@sardinegrade/common';

import { DEFAULT_LIST_LIMIT, LIST_LIMIT } from '../constants.js';
import { ApiError } from '../errors.js';
import { parseJson } from './readBody.js';

import type { z } from 'zod';
import type { RouteInput } from './types.js';

const ENTITY_TAG = /^(?:W\/)?"?(\d{1,15})"?$/;
const WHOLE_NUMBER = /^\d{1,15}$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/;

const getHeader = (input: RouteInput, name: string): string | undefined => {
  const value = input.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/**
 * Reads the generation that a change is based on.
 *
 * @param input - the request
 * @returns the generation in the `If-Match` header
 * @throws ApiError if the header is missing or is not a generation
 */
export const readExpectedGeneration = (input: RouteInput): number => {
  const header = getHeader(input, 'if-match');
  const match = ENTITY_TAG.exec(header ?? '');
  if (match !== null) return Number(match[1]);
  const message = 'If-Match must hold the generation that the change starts from, such as "7".';
  throw new ApiError(ResultCode.InvalidHeader, message);
};

/**
 * Checks whether the client already has a generation.
 *
 * @param input - the request
 * @param generation - the active generation
 * @returns true if the `If-None-Match` header contains this generation
 */
export const hasGeneration = (input: RouteInput, generation: number): boolean => {
  const match = ENTITY_TAG.exec(getHeader(input, 'if-none-match') ?? '');
  return match !== null && Number(match[1]) === generation;
};

/**
 * Reads the id of a change, which makes a repeated request idempotent.
 *
 * @param input - the request
 * @param newId - generates an id if the request has none
 * @returns the `Idempotency-Key` header, or a new id
 * @throws ApiError if the header is malformed
 */
export const readChangeId = (input: RouteInput, newId: () => string): string => {
  const header = getHeader(input, 'idempotency-key');
  if (header === undefined) return newId();
  if (IDEMPOTENCY_KEY.test(header)) return header;
  const message = 'Idempotency-Key must hold 1 to 200 visible characters.';
  throw new ApiError(ResultCode.InvalidHeader, message);
};

const parseWholeNumber = (text: string, name: string): number => {
  if (WHOLE_NUMBER.test(text)) return Number(text);
  throw new ApiError(ResultCode.InvalidField, `${name} must be a whole number, not '${text}'.`);
};

/**
 * Reads the `limit` parameter of a list request.
 *
 * @param input - the request
 * @returns the limit, from 1 to LIST_LIMIT; DEFAULT_LIST_LIMIT if the parameter is absent
 * @throws ApiError if the limit is outside this range
 */
export const readLimit = (input: RouteInput): number => {
  const text = input.query.get('limit');
  if (text === null) return DEFAULT_LIST_LIMIT;
  const limit = parseWholeNumber(text, 'limit');
  if (limit >= 1 && limit <= LIST_LIMIT) return limit;
  throw new ApiError(ResultCode.InvalidField, `limit must lie between 1 and ${LIST_LIMIT}.`);
};

/**
 * Reads a whole number from the query.
 *
 * @param input - the request
 * @param name - name of the query parameter
 * @returns the number; undefined if the parameter is absent
 * @throws ApiError if the value is not a whole number
 */
export const readNumber = (input: RouteInput, name: string): number | undefined => {
  const text = input.query.get(name);
  return text === null ? undefined : parseWholeNumber(text, name);
};

/**
 * Reads a path parameter.
 *
 * @param input - the request
 * @param name - name of the placeholder in the path template
 * @returns the decoded value
 */
export const readPathPart = (input: RouteInput, name: string): string => input.path[name] ?? '';

/**
 * Reads a path parameter as a whole number.
 *
 * @param input - the request
 * @param name - name of the placeholder in the path template
 * @returns the number
 * @throws ApiError if the value is not a whole number
 */
export const readPathNumber = (input: RouteInput, name: string): number =>
  parseWholeNumber(readPathPart(input, name), name);

/**
 * Parses and validates a JSON body.
 *
 * @param input - the request
 * @param schema - schema of the body
 * @returns the validated value
 * @throws ApiError with the first invalid field if the body does not match the schema
 */
export const readJson = <Schema extends z.ZodType>(
  input: RouteInput,
  schema: Schema,
): z.output<Schema> => {
  const result = schema.safeParse(parseJson(input.text));
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const field = issue?.path.map(String).join('.') ?? '';
  const name = field === '' ? 'body' : field;
  throw new ApiError(ResultCode.InvalidField, `${name}: ${issue?.message ?? 'is wrong'}.`);
};
