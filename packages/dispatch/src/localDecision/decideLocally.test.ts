import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, Tier } from '@sardinegrade/common';
import fc from 'fast-check';

import { createRandomSource } from '../random.js';
import { toEngineId } from '../testing/index.js';
import { decideLocally } from './decideLocally.js';
import { SpreadPolicy } from './enums.js';

const SEED = 20261204;

const REQUEST = {
  tier: Tier.Paying,
  excludedUpstreams: [],
  isQuarantined: false,
  spread: SpreadPolicy.TwoChoices,
};

const ENGINE = { slots: 4, reportedLoad: 0, ownSinceReport: 0, isLeaving: false, isLost: false };

test('a local decision never exceeds the slots of an engine nor selects one that is leaving or lost', () => {
  const engines = fc.array(
    fc.record({
      slots: fc.integer({ min: 1, max: 8 }),
      reportedLoad: fc.nat(10),
      ownSinceReport: fc.nat(4),
      isLeaving: fc.boolean(),
      isLost: fc.boolean(),
    }),
    { maxLength: 6 },
  );
  const property = fc.property(
    engines,
    fc.constantFrom(...Object.values(Tier)),
    fc.constantFrom(...Object.values(SpreadPolicy)),
    (shapes, tier, spread) => {
      const known = shapes.map((shape, index) => ({ ...shape, upstream: toEngineId(index) }));
      const decision = decideLocally({ ...REQUEST, tier, spread }, known, createRandomSource(SEED));
      if (!('upstream' in decision)) return;
      const engine = known.find(({ upstream }) => upstream === decision.upstream);
      assert.ok(engine !== undefined && !engine.isLeaving && !engine.isLost);
      assert.ok(engine.reportedLoad + engine.ownSinceReport < engine.slots);
    },
  );
  fc.assert(property, { seed: SEED });
});

test('a free request is refused at a load at which a paying one is still accepted', () => {
  const engines = [{ ...ENGINE, upstream: toEngineId(0), reportedLoad: 2 }];
  const random = createRandomSource(SEED);
  assert.deepEqual(decideLocally(REQUEST, engines, random), { upstream: toEngineId(0) });
  const refused = decideLocally({ ...REQUEST, tier: Tier.Free }, engines, random);
  assert.ok('code' in refused && refused.code === ResultCode.Overloaded);
});
