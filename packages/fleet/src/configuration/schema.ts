import { FencingSupport, ServiceKind, Tier, parseDurationMs } from '@sardinegrade/common';
import { z } from 'zod';

import {
  CLASSES_PER_SERVICE_LIMIT,
  DEFAULTS,
  DEPENDENCIES_PER_SERVICE_LIMIT,
  KEYS_PER_WORKSPACE_LIMIT,
  MODELS_PER_POOL_LIMIT,
  NAME_LENGTH_LIMIT,
  NAME_PATTERN,
  POOL_LIMIT,
  SERVICE_LIMIT,
  SLOTS_PER_UPSTREAM_LIMIT,
  UPSTREAM_LIMIT,
  WORKSPACE_LIMIT,
} from './constants.js';
import { EngineRole } from './enums.js';

const MAX_PRIORITY = 1000;
const MAX_QUEUE_LIMIT = 1_000_000;
const MAX_ATTEMPTS = 10;
const MAX_WEIGHT = 1000;

const describeInput = (input: unknown): string =>
  typeof input === 'string' ? `'${input}'` : JSON.stringify(input);

const createText = (accepted: string) =>
  z.string({
    error: (issue) =>
      issue.input === undefined
        ? `is missing; write ${accepted}`
        : `${describeInput(issue.input)} is not accepted; write ${accepted}`,
  });

const createMatch = (pattern: RegExp, accepted: string) =>
  createText(accepted).refine((text) => pattern.test(text), {
    error: (issue) => `${describeInput(issue.input)} is not accepted; write ${accepted}`,
  });

const createEnum = <Values extends Readonly<Record<string, string>>>(values: Values) =>
  z.enum(values, {
    error: (issue) => {
      const accepted = Object.values(values).join(', ');
      if (issue.input === undefined) return `is missing; write one of ${accepted}`;
      return `${describeInput(issue.input)} is not accepted; write one of ${accepted}`;
    },
  });

const createNumber = (low: number, high: number, isInteger: boolean) =>
  createText(`a number from ${low} to ${high}`).transform((text, context) => {
    const value = text.trim() === '' ? Number.NaN : Number(text);
    const isAccepted = value >= low && value <= high && (!isInteger || Number.isInteger(value));
    if (isAccepted) return value;
    const noun = isInteger ? 'a whole number' : 'a number';
    context.addIssue(`'${text}' is not accepted; write ${noun} from ${low} to ${high}`);
    return z.NEVER;
  });

const DURATION = createText('a number with one of ms, s, m, h, d').transform((text, context) => {
  const value = parseDurationMs(text);
  if (value !== undefined && value > 0) return value;
  context.addIssue(
    `'${text}' is not a duration above zero; write a number with one of ms, s, m, h, d`,
  );
  return z.NEVER;
});

const BOOLEAN = z
  .union([z.boolean(), z.enum(['true', 'false'])], { error: 'write true or false' })
  .transform((value) => value === true || value === 'true');

const NAME = createMatch(NAME_PATTERN, 'letters, digits, - and _').refine(
  (text) => text.length <= NAME_LENGTH_LIMIT,
  `is longer than ${NAME_LENGTH_LIMIT} characters`,
);

const METHODS = createText('HTTP methods, separated by commas').transform((text) =>
  text
    .split(',')
    .map((method) => method.trim().toUpperCase())
    .filter((method) => method !== ''),
);

const MODEL = createMatch(/^[^\s@+]{1,128}$/, 'a model name without spaces, @ or +');
const POOL_MODEL = createMatch(
  /^[^\s@+]{1,128}(?:@[^\s@+]{1,64})?(?:\+[^\s@+]{1,64})?$/,
  'MODEL, MODEL@VERSION or MODEL@VERSION+ADAPTER',
);
const KEY_HASH = createMatch(/^[0-9a-f]{64}$/, '64 lower-case hex digits of the key’s SHA-256');
const ADDRESS = createMatch(/^https?:\/\/[^\s/]+$/, 'http://host:port without a path');
const LOOKUP = createMatch(/^\/\S*\{key\}\S*$/, 'a path with {key} in it');

const createList = <Item extends z.ZodType>(item: Item, limit: number) =>
  z
    .array(item, { error: 'is a list; write the key with [] at its end, once for each value' })
    .max(limit, `holds more than ${limit} values`);

const createSections = <Section extends z.ZodType>(section: Section, limit: number) =>
  z
    .record(NAME, section, { error: 'is a section, not a key' })
    .refine((record) => Object.keys(record).length <= limit, `more than ${limit} sections`);

const CLASS = z.strictObject({
  tier: createEnum(Tier),
  priority: createNumber(0, MAX_PRIORITY, true).prefault(DEFAULTS.class.priority),
  first_token_target: DURATION.prefault(DEFAULTS.class.first_token_target),
  token_interval_target: DURATION.prefault(DEFAULTS.class.token_interval_target),
  deadline: DURATION.prefault(DEFAULTS.class.deadline),
  minimum_share: createNumber(0, 1, false).prefault(DEFAULTS.class.minimum_share),
  queue_limit: createNumber(1, MAX_QUEUE_LIMIT, true).prefault(DEFAULTS.class.queue_limit),
  workspaces: createList(NAME, WORKSPACE_LIMIT).prefault([]),
});

const SERVICE = z.strictObject({
  kind: createEnum(ServiceKind),
  model: MODEL.optional(),
  pool: NAME,
  depends: createList(NAME, DEPENDENCIES_PER_SERVICE_LIMIT).prefault([]),
  default_class: NAME.optional(),
  repeatable: METHODS.prefault(DEFAULTS.service.repeatable),
  upstream_deduplicates: BOOLEAN.prefault(DEFAULTS.service.upstream_deduplicates),
  status_lookup: LOOKUP.optional(),
  order_retention: DURATION.prefault(DEFAULTS.service.order_retention),
  retry_share: createNumber(0, 1, false).prefault(DEFAULTS.service.retry_share),
  attempts: createNumber(1, MAX_ATTEMPTS, true).prefault(DEFAULTS.service.attempts),
  class: createSections(CLASS, CLASSES_PER_SERVICE_LIMIT).prefault({}),
});

const WORKSPACE = z.strictObject({
  key_sha256: createList(KEY_HASH, KEYS_PER_WORKSPACE_LIMIT)
    .min(1, 'at least one key is needed')
    .prefault([]),
  weight: createNumber(0.01, MAX_WEIGHT, false).prefault(DEFAULTS.workspace.weight),
});

const UPSTREAM = z.strictObject({
  pool: NAME,
  data_centre: NAME,
  address: ADDRESS,
  slots: createNumber(1, SLOTS_PER_UPSTREAM_LIMIT, true).prefault(DEFAULTS.upstream.slots),
  fencing: createEnum(FencingSupport).prefault(DEFAULTS.upstream.fencing),
  draining: BOOLEAN.prefault(DEFAULTS.upstream.draining),
});

const POOL = z.strictObject({
  models: createList(POOL_MODEL, MODELS_PER_POOL_LIMIT).optional(),
  role: createEnum(EngineRole).optional(),
  copies: createNumber(0, UPSTREAM_LIMIT, true).prefault(DEFAULTS.pool.copies),
});

/** Schemas of the sections of a configuration text. */
export const SECTION_SCHEMAS = {
  service: SERVICE,
  class: CLASS,
  workspace: WORKSPACE,
  upstream: UPSTREAM,
  pool: POOL,
} as const;

/** Schema of a complete configuration text. */
export const CONFIGURATION_SCHEMA = z.strictObject({
  service: createSections(SERVICE, SERVICE_LIMIT).prefault({}),
  workspace: createSections(WORKSPACE, WORKSPACE_LIMIT).prefault({}),
  upstream: createSections(UPSTREAM, UPSTREAM_LIMIT).prefault({}),
  pool: createSections(POOL, POOL_LIMIT).prefault({}),
});

/** Values of a configuration text whose keys have been validated individually. */
export type ConfigurationValues = z.output<typeof CONFIGURATION_SCHEMA>;
export type ServiceValues = z.output<typeof SERVICE>;
export type ClassValues = z.output<typeof CLASS>;
export type UpstreamValues = z.output<typeof UPSTREAM>;
export type PoolValues = z.output<typeof POOL>;
