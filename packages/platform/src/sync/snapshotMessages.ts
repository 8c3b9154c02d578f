import * as z from 'zod';

import { PlatformError, PlatformFailure } from '../PlatformError.js';
import { buildFeedObject, buildOddFeedObject } from './buildFeedObject.js';

import type { FeedDelta, FeedObject, FeedSnapshot } from './types.js';

const counterSchema = z.number().int().nonnegative();

const deltaSchema = z.object({
  version: counterSchema,
  change_version: counterSchema,
  era: counterSchema,
  changed: z.array(z.unknown()),
  names: z.array(z.string()),
});

const snapshotSchema = z.object({
  version: counterSchema,
  era: counterSchema.default(0),
  objects: z.array(z.unknown()),
});

const objectSchema = z.object({
  name: z.string(),
  value: z.unknown(),
  version: counterSchema,
  is_deleting: z.boolean(),
});

const namedObjectSchema = z.object({ name: z.string() });

/** Reads an object by itself, so that an odd one does not hide the others. */
const toFeedObjects = (item: unknown): readonly FeedObject[] => {
  const object = objectSchema.safeParse(item);
  if (object.success) {
    const { name, value = null, version, is_deleting: isDeleting } = object.data;
    return [buildFeedObject({ name, value, revision: version, isDeleting })];
  }
  const named = namedObjectSchema.safeParse(item);
  return named.success ? [buildOddFeedObject(named.data.name, 'unreadable at another VM')] : [];
};

const toMessage = ({ name, value, revision, isDeleting }: FeedObject): object => ({
  name,
  value,
  version: revision,
  is_deleting: isDeleting,
});

/** @returns the JSON text by which a VM sends a snapshot to another one */
export const encodeSnapshot = ({ version, objects }: FeedSnapshot): string =>
  JSON.stringify({
    version: version.revision,
    era: version.era,
    objects: objects.map(toMessage),
  });

/** @returns the JSON text by which a VM sends changes to another one */
export const encodeDelta = ({ version, changeVersion, changed, names }: FeedDelta): string =>
  JSON.stringify({
    version: version.revision,
    change_version: changeVersion.revision,
    era: version.era,
    changed: changed.map(toMessage),
    names,
  });

/**
 * Decodes changes that another VM has sent.
 *
 * @param text - the received JSON text
 * @returns the changes
 * @throws PlatformError if the text does not match the schema
 */
export const decodeDelta = (text: string): FeedDelta => {
  try {
    const { version, change_version, era, changed, names } = deltaSchema.parse(JSON.parse(text));
    return {
      version: { era, revision: version },
      changeVersion: { era, revision: change_version },
      changed: changed.flatMap(toFeedObjects),
      names,
    };
  } catch (error) {
    throw new PlatformError(
      PlatformFailure.Invalid,
      "The peer's changes do not match the schema.",
      error,
    );
  }
};

/**
 * Decodes a snapshot that another VM has sent.
 *
 * @param text - the received JSON text
 * @returns the snapshot
 * @throws PlatformError if the text does not match the schema
 */
export const decodeSnapshot = (text: string): FeedSnapshot => {
  try {
    const { version, era, objects } = snapshotSchema.parse(JSON.parse(text));
    return {
      version: { era, revision: version },
      objects: objects.flatMap(toFeedObjects),
    };
  } catch (error) {
    const message = "The peer's snapshot does not match the schema.";
    throw new PlatformError(PlatformFailure.Invalid, message, error);
  }
};
