import assert from 'node:assert/strict';
import { test } from 'node:test';

import { rankByRendezvous, toBranded } from '@sardinegrade/common';
import { parseConfiguration } from '@sardinegrade/fleet';
import { createMemoryPlatform } from '@sardinegrade/platform';

import { LEAVING_NEWS_TTL_MS } from './constants.js';
import { VmListWatcher } from './VmListWatcher.js';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { PlatformClient, PlatformVm } from '@sardinegrade/platform';

const DATA_CENTRE = toBranded<DataCentreName>('dc-a');
const VMS = ['vm-1', 'vm-2'].map((vm) => toBranded<VmId>(vm));
const [ON_DUTY, OFF_DUTY] = rankByRendezvous(`vm-list/${DATA_CENTRE}`, VMS);

const TEXT = ['dc-a', 'dc-b']
  .map(
    (dataCentre, index) => `[upstream.engine-${index}]\npool = p\ndata_centre = ${dataCentre}
address = http://127.0.0.1:1`,
  )
  .join('\n');

const buildVm = (id: string, isLeaving: boolean): PlatformVm => ({
  id,
  dataCentre: DATA_CENTRE,
  role: 'upstream',
  address: '127.0.0.1:1',
  isLeaving,
});

const startWatcher = (vm: VmId | undefined, vms: readonly PlatformVm[]) => {
  assert.ok(vm !== undefined);
  const clock = { nowMs: 0, getNowMs: () => clock.nowMs };
  const leaving: string[] = [];
  const platform: PlatformClient = {
    ...createMemoryPlatform(),
    listVms: () => Promise.resolve(vms),
  };
  const watcher = new VmListWatcher({
    vm,
    dataCentre: DATA_CENTRE,
    clock,
    platform,
    getConfiguration: () => parseConfiguration(TEXT, 1),
    listLocalVms: () => VMS,
    onLeaving: (upstream) => leaving.push(upstream),
  });
  return { watcher, leaving, clock };
};

const LISTED = [
  buildVm('engine-0', true),
  buildVm('engine-1', true),
  buildVm('engine-9', true),
  buildVm('vm-2', false),
];

test('upstreams here that the platform lists as leaving are told, again before the news ends', async () => {
  const { watcher, leaving, clock } = startWatcher(ON_DUTY, LISTED);
  await watcher.readList();
  await watcher.readList();
  assert.deepEqual(leaving, ['engine-0']);
  clock.nowMs += LEAVING_NEWS_TTL_MS - 1;
  await watcher.readList();
  assert.deepEqual(leaving, ['engine-0', 'engine-0']);
});

test('a daemon that is not on duty does not read the list', async () => {
  const { watcher, leaving } = startWatcher(OFF_DUTY, LISTED);
  await watcher.readList();
  assert.deepEqual(leaving, []);
});
