import { z } from 'zod';

import { DrainScope } from '../enums.js';

import type { ConfigurationRecord } from '../../types.js';

const RECORD_SCHEMA = z.object({
  generation: z.number().int().positive(),
  text: z.string(),
  text_generation: z.number().int().positive(),
  drains: z.array(
    z.object({
      scope: z.enum(DrainScope),
      name: z.string(),
      author: z.string(),
      since_ms: z.number(),
    }),
  ),
  author: z.string(),
  change_id: z.string(),
  at_ms: z.number(),
});

/**
 * @param record - generation of the configuration
 * @returns the value of its object in the platform
 */
export const encodeRecord = (record: ConfigurationRecord): z.output<typeof RECORD_SCHEMA> => ({
  generation: record.generation,
  text: record.text,
  text_generation: record.textGeneration,
  drains: record.drains.map(({ scope, name, author, sinceMs }) => ({
    scope,
    name,
    author,
    since_ms: sinceMs,
  })),
  author: record.author,
  change_id: record.changeId,
  at_ms: record.atMs,
});

/**
 * @param value - value of an object in the platform
 * @returns the generation that it contains, or undefined if it is missing or malformed
 */
export const decodeRecord = (value: unknown): ConfigurationRecord | undefined => {
  const result = RECORD_SCHEMA.safeParse(value);
  if (!result.success) return undefined;
  const { generation, text, text_generation, drains, author, change_id, at_ms } = result.data;
  return {
    generation,
    text,
    textGeneration: text_generation,
    drains: drains.map(({ since_ms, ...drain }) => ({ ...drain, sinceMs: since_ms })),
    author,
    changeId: change_id,
    atMs: at_ms,
  };
};
