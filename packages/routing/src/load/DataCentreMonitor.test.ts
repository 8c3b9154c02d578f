import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { DataCentreMonitor, UNREACHABLE_AFTER_MS } from './DataCentreMonitor.js';

import type { DataCentreName } from '@sardinegrade/common';

const NEAR = toBranded<DataCentreName>('near');
const FAR = toBranded<DataCentreName>('far');

test('a data centre whose VMs and workers fall silent is avoided, and used again at the first sign', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordReport(FAR, 0);
  assert.equal(monitor.isUnreachable(FAR, UNREACHABLE_AFTER_MS), false);
  assert.equal(monitor.isUnreachable(FAR, UNREACHABLE_AFTER_MS + 1), true);
  monitor.recordReport(FAR, 1_000);
  assert.equal(monitor.isUnreachable(FAR, 1_001), false);
});

test('a data centre whose only VM is gone is not avoided while its workers answer', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordReport(FAR, 0);
  monitor.recordWorkerActivity(FAR, 400);
  assert.equal(monitor.isUnreachable(FAR, 800), false);
});

test('a data centre of which nothing was ever heard is not taken for silent', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordWorkerActivity(NEAR, 0);
  assert.equal(monitor.isUnreachable(NEAR, 10_000), false);
});

test('one request at a time tries a silent data centre', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordReport(FAR, 0);
  assert.deepEqual(
    [600, 700, 1_000, 1_100, 1_200].map((nowMs) => monitor.claimProbe(FAR, nowMs)),
    [true, false, false, true, false],
  );
});
