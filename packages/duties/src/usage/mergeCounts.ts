import type { WorkspaceCounts } from './types.js';

const mergeCounts = (
  first: WorkspaceCounts,
  second: WorkspaceCounts,
  merge: (a: number, b: number) => number,
): WorkspaceCounts => {
  const merged = new Map(first);
  for (const [workspace, count] of second)
    merged.set(workspace, merge(merged.get(workspace) ?? 0, count));
  return merged;
};

/** @returns the sum of two counts of each workspace */
export const addCounts = (first: WorkspaceCounts, second: WorkspaceCounts): WorkspaceCounts =>
  mergeCounts(first, second, (a, b) => a + b);

/** @returns the larger of two counts of each workspace */
export const keepLargest = (first: WorkspaceCounts, second: WorkspaceCounts): WorkspaceCounts =>
  mergeCounts(first, second, Math.max);

/** @returns whether two reports have the same counts */
export const isSameCounts = (first: WorkspaceCounts, second: WorkspaceCounts): boolean =>
  first.size === second.size &&
  [...first].every(([workspace, count]) => second.get(workspace) === count);
