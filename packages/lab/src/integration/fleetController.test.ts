import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FencingSupport, SYSTEM_CLOCK } from '@sardinegrade/common';
import { ConfigurationStore } from '@sardinegrade/fleet';

import { ProcessGroup, waitUntil } from '../harness/index.js';
import { startEngine, startPlatform } from '../standins/index.js';

import type { ManagedProcess } from '../harness/index.js';

const MODEL = 'drill-7b';

interface ControllerStatus {
  readonly phase: string;
  readonly orders: Readonly<Record<string, number>>;
}

const readStatus = async (controller: ManagedProcess): Promise<ControllerStatus> => {
  const response = await fetch(`${controller.getAddress('administration')}/status`);
  return (await response.json()) as ControllerStatus;
};

const startController = (group: ProcessGroup, vm: string, platform: string) =>
  group.startConfigured('controller', vm, {
    vm: { id: vm, data_centre: 'dc-a' },
    platform: { address: platform },
    lease: {
      duration: '1500ms',
      renew_interval: '400ms',
      standby_interval: '700ms',
      margin: '200ms',
    },
    orders: { interval: '300ms', deadline: '300ms', loads_per_minute: '600' },
    log: { level: 'info', format: 'json' },
  });

const buildConfiguration = (engines: readonly string[], version: string): string => {
  const upstreams = engines.map(
    (address, index) =>
      `[upstream.e${index}]\npool = p\ndata_centre = dc-a\naddress = ${address}\nfencing = ${index === 0 ? 'checked' : 'ignored'}\n`,
  );
  const service = `[service.s]\nkind = model\nmodel = ${MODEL}\npool = p\n[service.s.class.c]\ntier = paying\n`;
  return `${service}${upstreams.join('')}[pool.p]\nmodels[] = ${MODEL}@${version}\n`;
};

interface EngineOrders {
  readonly versions: Readonly<Record<string, string>>;
  readonly fencing: number;
}

test('engines receive orders from the lease holder only, also when it is suspended or stops and another one takes over', async (context) => {
  const platform = await startPlatform({});
  const group = new ProcessGroup();
  const engines = await Promise.all(
    [FencingSupport.Checked, FencingSupport.Ignored].map((fencing) =>
      startEngine({ fencing, models: [] }),
    ),
  );
  context.after(async () => {
    await group.stop();
    await Promise.all(engines.map((engine) => engine.stop()));
    await platform.stop();
  });
  const store = new ConfigurationStore({
    platform: platform.platform,
    clock: SYSTEM_CLOCK,
    getHighestGeneration: () => 0,
  });
  const addresses = engines.map((engine) => engine.address);
  const applyVersion = (generation: number) =>
    store.apply({
      baseGeneration: generation - 1,
      author: 'ann',
      changeId: `version-${generation}`,
      text: buildConfiguration(addresses, `v${generation}`),
    });
  const readEngineOrders = async (): Promise<readonly EngineOrders[]> =>
    Promise.all(
      addresses.map(
        async (address) => (await (await fetch(`${address}/v1/orders`)).json()) as EngineOrders,
      ),
    );
  const waitForVersion = (version: string) =>
    waitUntil(
      `all engines have loaded ${version}`,
      async () => (await readEngineOrders()).every(({ versions }) => versions[MODEL] === version),
      120_000,
    );

  await applyVersion(1);
  const first = await startController(group, 'vm-1', platform.address);
  const waitForPhase = (controller: ManagedProcess, phases: readonly string[]) =>
    waitUntil(
      `${controller.name} is ${phases.join(' or ')}`,
      async () => phases.includes((await readStatus(controller)).phase),
      120_000,
    );
  await waitForPhase(first, ['holding']);
  await waitForVersion('v1');
  const [fencingBefore = 0] = (await readEngineOrders()).map(({ fencing }) => fencing);
  const second = await startController(group, 'vm-2', platform.address);

  first.sendSignal('SIGSTOP');
  await applyVersion(2);
  await waitForVersion('v2');
  assert.equal((await readStatus(second)).phase, 'holding');
  const [fencingAfter = 0] = (await readEngineOrders()).map(({ fencing }) => fencing);
  assert.ok(fencingAfter > fencingBefore);
  const completedOrders = (await readStatus(second)).orders.done;

  // The former holder resumes: it sends no order, and the engines reject none as stale.
  first.sendSignal('SIGCONT');
  await waitForPhase(first, ['standby', 'acquiring']);
  assert.deepEqual(
    engines.map((engine) => engine.getCounts().staleOrders),
    [0, 0],
  );
  assert.equal((await readStatus(second)).orders.done, completedOrders);

  // A holder that receives SIGTERM releases the lease, and the other controller acquires it.
  second.sendSignal('SIGTERM');
  assert.equal(await second.exited, 0, second.stderr);
  await applyVersion(3);
  await waitForVersion('v3');
  assert.equal((await readStatus(first)).phase, 'holding');
});
