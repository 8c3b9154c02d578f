import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { DataCentreMonitor, UNREACHABLE_AFTER_MS } from './DataCentreMonitor.js';

import type { DataCentreName } from '@sardinegrade/common';

const NEAR = toBranded<DataCentreName>('near');
const FAR = toBranded<DataCentreName>('far');

test('a data centre is unreachable once its VMs and workers send nothing, and reachable at the next report', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordReport(FAR, 0);
  assert.equal(monitor.isUnreachable(FAR, UNREACHABLE_AFTER_MS), false);
  assert.equal(monitor.isUnreachable(FAR, UNREACHABLE_AFTER_MS + 1), true);
  monitor.recordReport(FAR, 1_000);
  assert.equal(monitor.isUnreachable(FAR, 1_001), false);
});

test('a data centre whose only VM is gone stays reachable while its workers answer', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordReport(FAR, 0);
  monitor.recordWorkerActivity(FAR, 400);
  assert.equal(monitor.isUnreachable(FAR, 800), false);
});

test('a data centre that never sent a report does not count as unreachable', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordWorkerActivity(NEAR, 0);
  assert.equal(monitor.isUnreachable(NEAR, 10_000), false);
});

test('an unreachable data centre is probed by one request per interval', () => {
  const monitor = new DataCentreMonitor();
  monitor.recordReport(FAR, 0);
  assert.deepEqual(
    [600, 700, 1_000, 1_100, 1_200].map((nowMs) => monitor.claimProbe(FAR, nowMs)),
    [true, false, false, true, false],
  );
});
