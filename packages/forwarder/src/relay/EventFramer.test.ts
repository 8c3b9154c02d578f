import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { EventFramer } from './EventFramer.js';

const SEED = 20261204;

/** Lists the ids of events, parsed line by line. */
const listIds = (events: string): readonly string[] =>
  events
    .split('\n')
    .filter((line) => line.startsWith('id:'))
    .map((line) => line.slice('id:'.length).replace(/^ /, ''));

test('events and the last id are found, however the stream is split into chunks', () => {
  const line = fc.constantFrom('id: 7', 'id:8', 'id:', 'id:  9', 'data: id: 5', 'data: x', '');
  const cuts = fc.array(fc.nat(40), { maxLength: 8 });
  const property = fc.property(fc.array(line, { maxLength: 14 }), cuts, (lines, sizes) => {
    const text = `${lines.join('\n')}\n\n`;
    const framer = new EventFramer();
    let whole = '';
    let at = 0;
    for (const size of [...sizes, text.length]) {
      whole += framer.push(Buffer.from(text.slice(at, at + size))).toString();
      at += size;
    }
    // An additional blank line at the end may be kept back: it belongs to the next event.
    assert.equal(whole.trimEnd(), text.trimEnd());
    assert.ok(text.startsWith(whole));
    assert.equal(framer.lastEventId, listIds(whole).at(-1));
  });
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});
