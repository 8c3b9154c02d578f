import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { PRIOR_PACE } from '../pace/index.js';
import { chooseEngine } from './chooseEngine.js';
import { countSharedTokens } from './countSharedTokens.js';
import { EngineRanking } from './EngineRanking.js';
import { PromptLane } from './shouldWait.js';

import type { EngineChoice, EngineView, PlacementContext } from './chooseEngine.js';
import type { PromptShape } from './types.js';

const SEED = 20261206;

/** The choice as it was before paces were learned. */
const chooseBefore = (
  prompt: PromptShape,
  engines: readonly EngineView[],
  { lane, hasPeerReports, homeCount, ranking }: PlacementContext,
): EngineChoice | undefined => {
  const { reserved } = ranking;
  const part = (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id;
  const ranks = ranking.rank(part, lane);
  let best: EngineChoice | undefined;
  for (const engine of engines) {
    const rank = ranks.get(engine.id) ?? ranks.size;
    const isAssumedHome = !hasPeerReports && rank === 0 && part !== undefined;
    const assumedTokens = isAssumedHome ? countSharedTokens(prompt) : 0;
    const cachedTokens = Math.min(
      prompt.promptTokens,
      Math.max(engine.cachedTokens, assumedTokens),
    );
    const isReserved = reserved.has(engine.id);
    const lanePenaltyMs = lane === PromptLane.Tight ? (isReserved ? 0 : 40) : isReserved ? 200 : 0;
    const expectedMs =
      (engine.backlogTokens + (prompt.promptTokens - cachedTokens) * 8) / 56.6 +
      engine.runs * 2 +
      (rank * 1.5 + (rank >= (cachedTokens > 0 ? Infinity : homeCount) ? 2_000 : 0)) +
      (reserved.size > 0 ? lanePenaltyMs : 0) +
      (engine.isAvoided ? 60_000 : 0);
    if (best === undefined || expectedMs < best.expectedMs) best = { id: engine.id, expectedMs };
  }
  return best;
};

const engineParts = fc.record({
  backlogTokens: fc.integer({ min: 0, max: 100_000 }),
  cachedTokens: fc.constantFrom(0, 0, 6_000, 13_300),
  runs: fc.integer({ min: 0, max: 70 }),
  isAvoided: fc.boolean(),
});

// Guards the earlier deployments: without a learned pace nothing may change, not even the order of equal engines.
test('without a learned pace the choice and its score are exactly those of the previous function', () => {
  const property = fc.property(
    fc.array(engineParts, { maxLength: 20 }),
    fc.constantFrom(...Object.values(PromptLane)),
    fc.boolean(),
    fc.constantFrom(3, Infinity),
    fc.constantFrom(0, 200),
    fc.nat({ max: 50 }),
    (parts, lane, hasPeerReports, homeCount, eventGapMs, key) => {
      const engines = parts.map((part, index) => ({
        ...part,
        id: toBranded<EngineView['id']>(`e${index}`),
      }));
      const prompt: PromptShape = {
        parts: [
          { id: toBranded(`shared-${key}`), tokens: 13_300 },
          { id: toBranded('own'), tokens: 1_000 },
        ],
        promptTokens: 14_300,
        maxOutputTokens: 10,
      };
      const ranking = new EngineRanking(engines.map(({ id }) => id));
      const context = { lane, hasPeerReports, homeCount, ranking, eventGapMs };
      const expected = chooseBefore(prompt, engines, context);
      const withPrior = engines.map((engine) => ({ ...engine, pace: PRIOR_PACE }));
      assert.deepEqual(chooseEngine(prompt, engines, context), expected);
      assert.deepEqual(chooseEngine(prompt, withPrior, context), expected);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});
