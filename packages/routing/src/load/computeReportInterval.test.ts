import assert from 'node:assert/strict';
import { test } from 'node:test';

import { computeReportInterval } from './computeReportInterval.js';

test('in a small fleet, a placement is reported before an engine has prefilled a long prompt', () => {
  assert.ok(computeReportInterval(7) <= 50);
});

test('digests of 63 engines use at most 5 KB per second', () => {
  const digestBytes = 700;
  for (const vms of [76, 300, 420]) {
    assert.ok((1_000 / computeReportInterval(vms)) * digestBytes <= 5_000, `${vms} VMs`);
  }
});
