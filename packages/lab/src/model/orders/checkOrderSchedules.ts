import { parseArgs } from 'node:util';

import fc from 'fast-check';

import { orderSchedules } from './orderSchedules.js';
import { hasContradiction, runOrderSchedule } from './runOrderSchedule.js';

const DEFAULT_SCHEDULE_COUNT = '100000';

/** Runs random schedules, with the same property as the test, and prints the counterexample after shrinking. */
const checkSchedules = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      schedules: { type: 'string', default: DEFAULT_SCHEDULE_COUNT },
      seed: { type: 'string', default: '1' },
    },
  });
  const property = fc.asyncProperty(
    orderSchedules,
    async (schedule) => !hasContradiction(await runOrderSchedule(schedule)),
  );
  const options = { numRuns: Number(values.schedules), seed: Number(values.seed) };
  const details = await fc.check(property, options);
  const { failed, numRuns, seed, counterexample } = details;
  console.log(JSON.stringify({ ok: !failed, schedules: numRuns, seed, counterexample }));
  process.exitCode = failed ? 1 : 0;
};

await checkSchedules();
