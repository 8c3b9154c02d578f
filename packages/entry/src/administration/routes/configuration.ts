import {
  AdministratorRole,
  checkSchema,
  compareIniTexts,
  configurationSchema,
  diffSchema,
  generationSchema,
  historyEntrySchema,
  historySchema,
  ResultCode,
} from '@sardinegrade/common';
import { ConfigurationError, parseConfiguration } from '@sardinegrade/fleet';

import { ApiError } from '../errors.js';
import * as input from '../http/input.js';
import { CHANGE_ID_HEADER, IF_MATCH_HEADER, LIMIT_PARAMETER } from './parameters.js';

import type {
  CheckView,
  ConfigurationView,
  DiffView,
  GenerationView,
  HistoryEntryView,
  HistoryView,
} from '@sardinegrade/common';
import type { ConfigurationRecord, FleetConfiguration } from '@sardinegrade/fleet';
import type { Route, RouteInput, RouteReply } from '../http/types.js';
import type { AdministrationContext } from '../types.js';

const formatTag = (generation: number): string => `"${generation}"`;

const describeGeneration = (record: ConfigurationRecord): GenerationView => ({
  generation: record.generation,
  text_generation: record.textGeneration,
  author: record.author,
  at_ms: record.atMs,
});

/**
 * Gets the active configuration.
 *
 * @param context - state of this daemon
 * @returns the configuration
 * @throws ApiError if the daemon has no configuration yet
 */
export const requireConfiguration = (context: AdministrationContext): FleetConfiguration => {
  const configuration = context.fleet.getConfiguration();
  if (configuration !== undefined) return configuration;
  throw new ApiError(ResultCode.NotReady, 'This VM has no configuration yet.');
};

const handleRead = (context: AdministrationContext, request: RouteInput): RouteReply => {
  const { generation, text } = requireConfiguration(context);
  const headers = { etag: formatTag(generation) };
  if (input.hasGeneration(request, generation)) return { status: 304, headers };
  const body: ConfigurationView = { generation, text };
  return { headers, body };
};

const handleApply = async (
  context: AdministrationContext,
  request: RouteInput,
): Promise<RouteReply> => {
  const record = await context.fleet.applyConfiguration({
    baseGeneration: input.readExpectedGeneration(request),
    author: request.administrator?.name ?? '',
    changeId: input.readChangeId(request, context.newId),
    text: request.text,
  });
  return { headers: { etag: formatTag(record.generation) }, body: describeGeneration(record) };
};

const handleCheck = (_context: AdministrationContext, request: RouteInput): RouteReply => {
  const body: CheckView = { valid: true, faults: [] };
  try {
    parseConfiguration(request.text, 0);
    return { body };
  } catch (error) {
    if (!(error instanceof ConfigurationError)) throw error;
    const failed: CheckView = { valid: false, faults: [...error.faults] };
    return { body: failed };
  }
};

const handleDiff = (context: AdministrationContext, request: RouteInput): RouteReply => {
  const { generation, text } = requireConfiguration(context);
  parseConfiguration(request.text, generation + 1);
  const body: DiffView = { generation, changes: [...compareIniTexts(text, request.text)] };
  return { body };
};

const handleHistory = async (
  context: AdministrationContext,
  request: RouteInput,
): Promise<RouteReply> => {
  const before = input.readNumber(request, 'before') ?? Number.MAX_SAFE_INTEGER;
  const records = await context.fleet.listHistory(before, input.readLimit(request));
  const body: HistoryView = { entries: records.map(describeGeneration) };
  return { body };
};

const handleHistoryEntry = async (
  context: AdministrationContext,
  request: RouteInput,
): Promise<RouteReply> => {
  const generation = input.readPathNumber(request, 'generation');
  const [record] = await context.fleet.listHistory(generation + 1, 1);
  if (record?.generation !== generation) {
    throw new ApiError(ResultCode.UnknownTarget, `Generation ${generation} is not kept.`);
  }
  const body: HistoryEntryView = { ...describeGeneration(record), text: record.text };
  return { body };
};

const handleRestore = async (
  context: AdministrationContext,
  request: RouteInput,
): Promise<RouteReply> => {
  const generation = input.readPathNumber(request, 'generation');
  const record = await context.fleet.restoreConfiguration(generation, {
    baseGeneration: input.readExpectedGeneration(request),
    author: request.administrator?.name ?? '',
    changeId: input.readChangeId(request, context.newId),
  });
  return { headers: { etag: formatTag(record.generation) }, body: describeGeneration(record) };
};

const CHANGE_HEADERS = [IF_MATCH_HEADER, CHANGE_ID_HEADER];

const CHANGE_CODES = [
  ResultCode.GenerationConflict,
  ResultCode.InvalidHeader,
  ResultCode.PlatformUnavailable,
];

/** Routes that read, check, compare, change and restore the configuration. */
export const CONFIGURATION_ROUTES: readonly Route[] = [
  {
    method: 'GET',
    path: '/v1/configuration',
    summary: 'The configuration in force; its generation is the entity tag.',
    role: AdministratorRole.Read,
    replySchema: configurationSchema,
    codes: [ResultCode.NotReady],
    handle: handleRead,
  },
  {
    method: 'PUT',
    path: '/v1/configuration',
    summary: 'Makes a text the next generation if the one expected is still in force.',
    role: AdministratorRole.Change,
    headers: CHANGE_HEADERS,
    bodyType: 'text/plain',
    replySchema: generationSchema,
    codes: [...CHANGE_CODES, ResultCode.ConfigurationInvalid],
    handle: handleApply,
  },
  {
    method: 'POST',
    path: '/v1/configuration/check',
    summary: 'Checks a text and changes nothing.',
    role: AdministratorRole.Read,
    bodyType: 'text/plain',
    replySchema: checkSchema,
    handle: handleCheck,
  },
  {
    method: 'POST',
    path: '/v1/configuration/diff',
    summary: 'Compares a text with the configuration in force.',
    role: AdministratorRole.Read,
    bodyType: 'text/plain',
    replySchema: diffSchema,
    codes: [ResultCode.ConfigurationInvalid, ResultCode.NotReady],
    handle: handleDiff,
  },
  {
    method: 'GET',
    path: '/v1/configuration/history',
    summary: 'The generations that are kept, newest first.',
    role: AdministratorRole.Read,
    query: [
      LIMIT_PARAMETER,
      {
        name: 'before',
        description: 'Only generations below this one.',
        schema: { type: 'integer' },
      },
    ],
    replySchema: historySchema,
    codes: [ResultCode.PlatformUnavailable],
    handle: handleHistory,
  },
  {
    method: 'GET',
    path: '/v1/configuration/history/{generation}',
    summary: 'One generation with its text.',
    role: AdministratorRole.Read,
    replySchema: historyEntrySchema,
    codes: [ResultCode.UnknownTarget, ResultCode.PlatformUnavailable],
    handle: handleHistoryEntry,
  },
  {
    method: 'POST',
    path: '/v1/configuration/history/{generation}/restore',
    summary: 'Makes the text of an old generation the next generation.',
    role: AdministratorRole.Change,
    headers: CHANGE_HEADERS,
    replySchema: generationSchema,
    codes: [...CHANGE_CODES, ResultCode.UnknownTarget],
    handle: handleRestore,
  },
];
