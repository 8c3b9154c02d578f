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
const [RESPONSIBLE_VM, OTHER_VM] = rankByRendezvous(`vm-list/${DATA_CENTRE}`, VMS);

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

test('leaving upstreams of the own data centre are reported, and again before the news expires', async () => {
  const { watcher, leaving, clock } = startWatcher(RESPONSIBLE_VM, LISTED);
  await watcher.readList();
  await watcher.readList();
  assert.deepEqual(leaving, ['engine-0']);
  clock.nowMs += LEAVING_NEWS_TTL_MS - 1;
  await watcher.readList();
  assert.deepEqual(leaving, ['engine-0', 'engine-0']);
});

test('a daemon that is not responsible for the list does not read it', async () => {
  const { watcher, leaving } = startWatcher(OTHER_VM, LISTED);
  await watcher.readList();
  assert.deepEqual(leaving, []);
});
