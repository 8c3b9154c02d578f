import * as z from 'zod';

import { PlatformError, PlatformFailure } from '../PlatformError.js';

import type { FeedSnapshot } from './types.js';

const snapshotSchema = z.object({
  version: z.number(),
  era: z.number().default(0),
  objects: z.array(
    z.object({
      name: z.string(),
      value: z.unknown(),
      version: z.number(),
      is_deleting: z.boolean(),
    }),
  ),
});

/** @returns the JSON text by which a VM sends a snapshot to another one */
export const encodeSnapshot = ({ version, objects }: FeedSnapshot): string =>
  JSON.stringify({
    version: version.revision,
    era: version.era,
    objects: objects.map(({ name, value, revision, isDeleting }) => ({
      name,
      value,
      version: revision,
      is_deleting: isDeleting,
    })),
  });

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
      objects: objects.map((object) => ({
        name: object.name,
        value: object.value,
        revision: object.version,
        isDeleting: object.is_deleting,
      })),
    };
  } catch (error) {
    const message = "The peer's snapshot does not match the schema.";
    throw new PlatformError(PlatformFailure.Invalid, message, error);
  }
};
