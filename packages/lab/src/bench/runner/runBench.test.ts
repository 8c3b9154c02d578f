import assert from 'node:assert/strict';
import { test } from 'node:test';

import { runBench } from './runBench.js';
import { requireAtLeast, requireAtMost } from './targets.js';

import type { Bench } from './types.js';

const createBench = (attainment: number): Bench => ({
  name: 'sample',
  description: '',
  run: ({ seed }) =>
    Promise.resolve({
      tables: [{ title: 'Classes', columns: ['class', 'count'], rows: [['query', seed]] }],
      targets: [
        requireAtLeast('attainment', attainment, 0.99),
        requireAtMost('wasted', 0.02, 0.02),
      ],
      figures: { attainment },
    }),
});

test('the last line is a JSON object whose ok is true only if every target was met', async () => {
  for (const [attainment, ok] of [
    [0.99, true],
    [0.9899, false],
  ] as const) {
    const lines: string[] = [];
    const run = await runBench(
      createBench(attainment),
      7,
      (line) => lines.push(line),
      () => 0,
    );
    assert.equal(run.ok, ok);
    const last: unknown = JSON.parse(lines.at(-1) ?? '');
    assert.deepEqual(last, {
      bench: 'sample',
      seed: 7,
      ok,
      targets: [
        { name: 'attainment', bound: '>= 0.99', figure: attainment, met: ok },
        { name: 'wasted', bound: '<= 0.02', figure: 0.02, met: true },
      ],
      figures: { attainment },
    });
    assert.ok(lines.includes('query      7'));
  }
});
