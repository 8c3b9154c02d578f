import { hashText } from '@sardinegrade/common';

import type { WorkspaceName } from '@sardinegrade/common';
import type { WorkLoads } from '../load/index.js';

/** Time constant with which work is forgotten, in milliseconds: bursts of a workspace last for 5 to 9 s. */
const DECAY_MS = 4_000;

/** Tokens below which a workspace counts as one without work: the unit in which load messages tell of it. */
const MIN_TOKENS = 100;

interface DecayingSum {
  readonly tokens: number;
  readonly atMs: number;
}

const computeTokens = ({ tokens, atMs }: DecayingSum, nowMs: number): number =>
  tokens * Math.exp((atMs - nowMs) / DECAY_MS);

/** Counts the tokens that this VM has lately sent to engines for each workspace. */
export class WorkspaceWork {
  readonly #sums = new Map<number, DecayingSum>();

  /** Records prompt and expected output tokens of a request that is sent to an engine. */
  record(workspace: WorkspaceName, tokens: number, nowMs: number): void {
    const hash = hashText(workspace);
    this.#sums.set(hash, { tokens: this.get(hash, nowMs) + tokens, atMs: nowMs });
  }

  /** @returns decayed tokens of a workspace, given by the hash of its name */
  get(workspace: number, nowMs: number): number {
    const sum = this.#sums.get(workspace);
    return sum === undefined ? 0 : computeTokens(sum, nowMs);
  }

  /** @returns decayed tokens of all workspaces; those with too few are forgotten */
  list(nowMs: number): WorkLoads {
    const loads = new Map<number, number>();
    for (const [hash, sum] of this.#sums) {
      const tokens = computeTokens(sum, nowMs);
      if (tokens < MIN_TOKENS) this.#sums.delete(hash);
      else loads.set(hash, tokens);
    }
    return loads;
  }
}
