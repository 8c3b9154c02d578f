import type { PartId } from '../placement/index.js';
import type { RefusedPart } from './types.js';

/** Number of crashes after which a part is refused. */
export const MIN_CRASHES_TO_REFUSE = 2;

/** The same for a part on which answers had begun shortly before: a popular part is in most prompts. */
const CRASHES_TO_REFUSE_ANSWERED = 4;

/** Crashes within this time, in milliseconds, count as one: workers that fail together are lost to another cause. */
const SAME_CAUSE_MS = 150;

/** Time from the last crash to the first trial, in milliseconds; each further crash doubles it. */
const FIRST_TRIAL_MS = 30_000;
const MAX_TRIAL_MS = 600_000;

/** Ratio of the time until every VM may send a trial to the time until one VM may. */
const OPEN_TRIAL_RATIO = 2;

/** Crashes of one part that no answer has cleared. */
export interface SuspectPart {
  readonly part: PartId;
  readonly depth: number;
  readonly wasAnswered: boolean;
  /** When each worker instance ended, by the hash of its id, in milliseconds. */
  readonly crashedAtMs: ReadonlyMap<number, number>;
}

interface ScoredPart {
  readonly suspect: SuspectPart;
  readonly crashes: number;
}

const countSeparate = (times: readonly number[]): number => {
  let count = 0;
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const atMs of [...times].sort((a, b) => a - b)) {
    if (atMs - lastMs < SAME_CAUSE_MS) continue;
    count += 1;
    lastMs = atMs;
  }
  return count;
};

const scoreSuspect = (suspect: SuspectPart, explained: ReadonlySet<number>): ScoredPart => {
  const unexplained = [...suspect.crashedAtMs].filter(([instance]) => !explained.has(instance));
  return { suspect, crashes: countSeparate(unexplained.map(([, atMs]) => atMs)) };
};

const canRefuse = ({ suspect, crashes }: ScoredPart): boolean =>
  crashes >= (suspect.wasAnswered ? CRASHES_TO_REFUSE_ANSWERED : MIN_CRASHES_TO_REFUSE);

/** Orders by the strength of the evidence; among equals the part that is in the fewest requests comes first. */
const compareScored = (a: ScoredPart, b: ScoredPart): number =>
  Number(a.suspect.wasAnswered) - Number(b.suspect.wasAnswered) ||
  b.crashes - a.crashes ||
  b.suspect.depth - a.suspect.depth ||
  a.suspect.part.localeCompare(b.suspect.part);

const toRefusedPart = ({ suspect, crashes }: ScoredPart): RefusedPart => {
  const lastMs = Math.max(...suspect.crashedAtMs.values());
  const periodMs = Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * 2 ** (crashes - MIN_CRASHES_TO_REFUSE));
  return {
    part: suspect.part,
    crashes,
    trialAtMs: lastMs + periodMs,
    openTrialAtMs: lastMs + periodMs * OPEN_TRIAL_RATIO,
  };
};

/**
 * Lists the parts to refuse: a small set that explains the crashes. A part whose crashes are all explained by a refused
 * one is not refused, because sound parts come together with the one that crashes workers.
 *
 * Load pattern: requests with one part crash each worker that begins to answer them, among sound requests that share
 * their other parts.
 *
 * @param suspects - parts with crashes that no answer has cleared
 * @returns the parts to refuse; VMs with the same evidence derive the same list
 */
export const listRefusedParts = (suspects: readonly SuspectPart[]): readonly RefusedPart[] => {
  const refused: RefusedPart[] = [];
  const explained = new Set<number>();
  let remaining = suspects;
  for (;;) {
    const [best] = remaining
      .map((suspect) => scoreSuspect(suspect, explained))
      .filter(canRefuse)
      .sort(compareScored);
    if (best === undefined) return refused;
    refused.push(toRefusedPart(best));
    for (const instance of best.suspect.crashedAtMs.keys()) explained.add(instance);
    remaining = remaining.filter((suspect) => suspect !== best.suspect);
  }
};
