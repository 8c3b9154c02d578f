import { ResultCode } from '@sardinegrade/common';

import { DEFAULT_LIST_LIMIT, LIST_LIMIT } from '../constants.js';
import { ApiError } from '../errors.js';
import { parseJson } from './readBody.js';

import type { z } from 'zod';
import type { RouteInput } from './types.js';

const ENTITY_TAG = /^(?:W\/)?"?(\d{1,15})"?$/;
const WHOLE_NUMBER = /^\d{1,15}$/;
const TOKEN = /^[\x21-\x7e]{1,200}$/;

const getHeader = (input: RouteInput, name: string): string | undefined => {
  const value = input.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/**
 * Reads the generation that a change starts from.
 *
 * @param input - the request
 * @returns the generation of its `If-Match` header
 * @throws ApiError where the header is missing or is no generation
 */
export const readExpectedGeneration = (input: RouteInput): number => {
  const header = getHeader(input, 'if-match');
  const match = ENTITY_TAG.exec(header ?? '');
  if (match !== null) return Number(match[1]);
  const message = 'If-Match must hold the generation that the change starts from, such as "7".';
  throw new ApiError(ResultCode.InvalidHeader, message);
};

/**
 * Tells whether the caller has a generation already.
 *
 * @param input - the request
 * @param generation - the generation in force
 * @returns true where its `If-None-Match` header names it
 */
export const hasGeneration = (input: RouteInput, generation: number): boolean => {
  const match = ENTITY_TAG.exec(getHeader(input, 'if-none-match') ?? '');
  return match !== null && Number(match[1]) === generation;
};

/**
 * Reads the id of a change.
 *
 * @param input - the request
 * @param newId - makes an id where the caller gave none
 * @returns the `Idempotency-Key` header, or a new id
 * @throws ApiError where the header is malformed
 */
export const readChangeId = (input: RouteInput, newId: () => string): string => {
  const header = getHeader(input, 'idempotency-key');
  if (header === undefined) return newId();
  if (TOKEN.test(header)) return header;
  const message = 'Idempotency-Key must hold 1 to 200 visible characters.';
  throw new ApiError(ResultCode.InvalidHeader, message);
};

const parseWholeNumber = (text: string, name: string): number => {
  if (WHOLE_NUMBER.test(text)) return Number(text);
  throw new ApiError(ResultCode.InvalidField, `${name} must be a whole number, not '${text}'.`);
};

/**
 * Reads how many entries of a list are wanted.
 *
 * @param input - the request
 * @returns the limit, between 1 and the most that one answer holds
 */
export const readLimit = (input: RouteInput): number => {
  const text = input.query.get('limit');
  if (text === null) return DEFAULT_LIST_LIMIT;
  const limit = parseWholeNumber(text, 'limit');
  if (limit >= 1 && limit <= LIST_LIMIT) return limit;
  throw new ApiError(ResultCode.InvalidField, `limit must lie between 1 and ${LIST_LIMIT}.`);
};

/**
 * Reads a whole number of the query.
 *
 * @param input - the request
 * @param name - the parameter
 * @returns the number; undefined where the parameter is absent
 */
export const readNumber = (input: RouteInput, name: string): number | undefined => {
  const text = input.query.get(name);
  return text === null ? undefined : parseWholeNumber(text, name);
};

/**
 * Reads a part of the path.
 *
 * @param input - the request
 * @param name - the name in the path's template
 * @returns the decoded part
 */
export const readPathPart = (input: RouteInput, name: string): string => input.path[name] ?? '';

/**
 * Reads a whole number from the path.
 *
 * @param input - the request
 * @param name - the name in the path's template
 * @returns the number
 */
export const readPathNumber = (input: RouteInput, name: string): number =>
  parseWholeNumber(readPathPart(input, name), name);

/**
 * Reads a JSON body.
 *
 * @param input - the request
 * @param schema - what it has to be
 * @returns the validated value
 * @throws ApiError naming the first field that is wrong
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
