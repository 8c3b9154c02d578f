import { createHash } from 'node:crypto';

import type { BuildName, RequestId, ServiceName } from '@sardinegrade/common';

/** Ratio between wanted and current shares of a build from which a table is replaced. */
const MAX_SHARE_RATIO = 1.5;

/** Number of hash bytes that `readUIntBE` reads at most. */
const HASH_BYTES = 6;
const HASH_RANGE = 2 ** (HASH_BYTES * 8);

/** Share of a build in the new streams of a service. */
export interface BuildShare {
  readonly build: BuildName;
  /** Relative to the weights of the other builds; positive. */
  readonly weight: number;
}

/** Shares of the builds of a service, from which every VM computes at which build a stream begins. */
export interface BuildTable {
  readonly service: ServiceName;
  /** Rises with each table of a service. */
  readonly sequence: number;
  readonly shares: readonly BuildShare[];
}

/** Hashes to a number in (0, 1]. */
const hashToUnit = (request: RequestId, build: BuildName): number => {
  const digest = createHash('sha256').update(`${build} ${request}`).digest();
  return (digest.readUIntBE(0, HASH_BYTES) + 1) / HASH_RANGE;
};

/**
 * Picks the build at which a stream begins by weighted rendezvous hashing: a change of the table moves only as many streams
 * as the shares change.
 *
 * @param table - shares of the builds
 * @param request - id of the request that begins the stream
 * @returns the build; undefined if the table has none
 */
export const pickBuild = ({ shares }: BuildTable, request: RequestId): BuildName | undefined => {
  let picked: BuildName | undefined;
  let lowest = Infinity;
  for (const { build, weight } of shares) {
    const score = -Math.log(hashToUnit(request, build)) / weight;
    if (score >= lowest) continue;
    lowest = score;
    picked = build;
  }
  return picked;
};

/**
 * Picks the build at which a stream has begun that may have been placed by any of several tables.
 *
 * @param tables - the tables
 * @param request - id of the request that began the stream
 * @returns the build; undefined if the tables disagree or there are none
 */
export const pickCommonBuild = (
  tables: readonly BuildTable[],
  request: RequestId,
): BuildName | undefined => {
  const [picked, ...others] = new Set(tables.map((table) => pickBuild(table, request)));
  return others.length === 0 ? picked : undefined;
};

const countWeights = (shares: readonly BuildShare[]): number =>
  shares.reduce((sum, { weight }) => sum + weight, 0);

/**
 * Decides whether a table has to be replaced: a build has come or left, or shares have moved away from those that are wanted.
 *
 * @param table - the table in use
 * @param wanted - shares by the current numbers of workers; empty if there are none
 * @returns whether it has to be replaced
 */
export const shouldReplaceTable = (
  { shares }: BuildTable,
  wanted: readonly BuildShare[],
): boolean => {
  if (wanted.length === 0) return false;
  if (wanted.length !== shares.length) return true;
  const [sum, wantedSum] = [countWeights(shares), countWeights(wanted)];
  return wanted.some(({ build, weight }) => {
    const current = shares.find((share) => share.build === build);
    if (current === undefined) return true;
    const ratio = (weight * sum) / (current.weight * wantedSum);
    return Math.max(ratio, 1 / ratio) > MAX_SHARE_RATIO;
  });
};
