import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { Server, ServerCredentials } from '@grpc/grpc-js';
import { SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { FleetProtocol, openPeerPort } from '@sardinegrade/peer';
import { createMemoryPlatform } from '@sardinegrade/platform';

import { DrainScope } from './configuration/index.js';
import { createFleetAgent } from './createFleetAgent.js';
import { NewsKind } from './enums.js';
import { MemberState } from './membership/enums.js';

import type { MemoryPlatform } from '@sardinegrade/platform';
import type { FleetAgent } from './types.js';

const WAIT_LIMIT_MS = 60_000;
const TEXT = `[workspace.desk]\nkey_sha256[] = ${'a'.repeat(64)}\n`;

interface TestDaemon {
  readonly vm: string;
  readonly address: string;
  readonly agent: FleetAgent;
  readonly close: () => void;
}

const waitFor = async (condition: string, isMet: () => boolean): Promise<void> => {
  const deadline = Date.now() + WAIT_LIMIT_MS;
  while (!isMet()) {
    assert.ok(Date.now() < deadline, `timed out waiting until ${condition}`);
    await sleep(20);
  }
};

const startDaemon = async (
  platform: MemoryPlatform,
  vm: string,
  dataCentre: string,
  seeds: readonly string[],
  listen = '127.0.0.1:0',
): Promise<TestDaemon> => {
  const agent = createFleetAgent({
    settings: { vm: toBranded(vm), dataCentre: toBranded(dataCentre), seeds },
    platform,
    clock: SYSTEM_CLOCK,
    random: Math.random,
  });
  const server = new Server();
  server.addService(FleetProtocol.FleetService, agent.handlers);
  const port = await openPeerPort(server, listen, ServerCredentials.createInsecure());
  const address = `127.0.0.1:${port}`;
  agent.start(address);
  const close = (): void => {
    agent.stop();
    server.forceShutdown();
  };
  return { vm, address, agent, close };
};

const startFleet = async (
  platform: MemoryPlatform,
  dataCentres: readonly string[],
): Promise<TestDaemon[]> => {
  const daemons: TestDaemon[] = [];
  for (const [index, dataCentre] of dataCentres.entries()) {
    const seeds = daemons.slice(0, 1).map((daemon) => daemon.address);
    daemons.push(await startDaemon(platform, `vm-${index}`, dataCentre, seeds));
  }
  return daemons;
};

const getMemberState = (daemon: TestDaemon, vm: string): MemberState | undefined =>
  daemon.agent.getMembers().find((member) => member.vm === vm)?.state;

const isComplete = (daemons: readonly TestDaemon[]): boolean =>
  daemons.every((daemon) => daemon.agent.getMembers().length === daemons.length);

const apply = (daemon: TestDaemon | undefined, baseGeneration: number, changeId: string) => {
  assert.ok(daemon !== undefined);
  return daemon.agent.applyConfiguration({ baseGeneration, author: 'ann', changeId, text: TEXT });
};

const isGenerationActive = (daemons: readonly TestDaemon[], generation: number): boolean =>
  daemons.every((daemon) => daemon.agent.getConfiguration()?.generation === generation);

test('daemons join, share configuration and news, leave, stop and rejoin', async (context) => {
  const platform = createMemoryPlatform();
  const daemons = await startFleet(platform, ['dc-a', 'dc-a', 'dc-b', 'dc-b']);
  const [first, second, , last] = daemons;
  assert.ok(first !== undefined && second !== undefined && last !== undefined);
  context.after(() => {
    for (const daemon of daemons) daemon.close();
  });
  await waitFor('all daemons know each other', () => isComplete(daemons));

  await apply(last, 0, 'change-1');
  await waitFor('generation 1 is active', () => isGenerationActive(daemons, 1));

  platform.setBehaviour({ outage: true });
  const late = await startDaemon(platform, 'vm-late', 'dc-b', [first.address]);
  daemons.push(late);
  await waitFor('a daemon that joins during an outage has generation 1', () =>
    isGenerationActive(daemons, 1),
  );
  platform.setBehaviour({ outage: false });

  const drain = { scope: DrainScope.Vm, name: 'vm-1', author: 'ann', sinceMs: 0 };
  await first.agent.setDrain({ drain, isDraining: true, changeId: 'drain-1' });
  await waitFor('the drain mark is active', () => isGenerationActive(daemons, 2));
  assert.equal(late.agent.getConfiguration()?.drains.length, 1);

  const expiresAtMs = Date.now() + 600_000;
  const news = { kind: NewsKind.Quarantined, subject: 'f', expiresAtMs, count: 1 };
  first.agent.publishNews(news);
  await waitFor('all daemons have the news item', () =>
    daemons.every((daemon) => daemon.agent.getNews().length === 1),
  );

  await second.agent.leave();
  await waitFor('all daemons record vm-1 as leaving', () =>
    daemons.every((daemon) => getMemberState(daemon, 'vm-1') === MemberState.Leaving),
  );
  second.close();
  daemons.splice(1, 1);
  await waitFor('all daemons have removed vm-1', () =>
    daemons.every((daemon) => getMemberState(daemon, 'vm-1') === undefined),
  );

  const restarted = await startDaemon(platform, 'vm-1', 'dc-a', [late.address], second.address);
  daemons.push(restarted);
  await waitFor('all daemons record vm-1 as alive', () =>
    daemons.every((daemon) => getMemberState(daemon, 'vm-1') === MemberState.Alive),
  );
  await waitFor('all daemons have generation 2', () => isGenerationActive(daemons, 2));
});

test('a daemon without peers has no configuration during an outage and reads the platform after it', async (context) => {
  const platform = createMemoryPlatform({ behaviour: { outage: true } });
  const [daemon] = await startFleet(platform, ['dc-a']);
  assert.ok(daemon !== undefined);
  context.after(daemon.close);
  await sleep(50);
  assert.equal(daemon.agent.getConfiguration(), undefined);
  await assert.rejects(apply(daemon, 0, 'change-1'), /platform is down/);
  platform.setBehaviour({ outage: false });
  await apply(daemon, 0, 'change-1');
  const seen: number[] = [];
  void daemon.agent.configurations.observe((configuration) => {
    seen.push(configuration.generation);
  });
  await waitFor('a new observer receives the current configuration first', () => seen.length === 1);
  assert.deepEqual(seen, [1]);
  await waitFor(
    'the only daemon becomes a watcher',
    () => daemon.agent.getConfigurationStatus().isWatcher,
  );
});
