import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { SYSTEM_CLOCK } from '@sardinegrade/common';
import { createMemoryPlatform } from '@sardinegrade/platform';

import { ConfigurationStore } from '../store/index.js';
import { createDistributionAgent } from './createDistributionAgent.js';

import type { PlatformClient } from '@sardinegrade/platform';

/** Time in which a stored configuration has to be active everywhere, in milliseconds (docs/MEASUREMENTS.md). */
const ACTIVE_LIMIT_MS = 5_000;

const TICK_INTERVAL_MS = 100;

const TEXT = `[workspace.desk]\nkey_sha256[] = ${'a'.repeat(64)}\n`;

// All watchers of the fleet may lose their connections to the platform at once, so peers cannot help.
test('a configuration stored while the watch is silent is active within five seconds', async (context) => {
  const memory = createMemoryPlatform();
  const platform: PlatformClient = {
    ...memory,
    watch: async (_kind, version, timeoutMs, signal) => {
      await sleep(timeoutMs, undefined, { signal });
      return { version, changes: [], isTruncated: false };
    },
  };
  const store = new ConfigurationStore({
    platform: memory,
    clock: SYSTEM_CLOCK,
    getHighestGeneration: () => 0,
    confirm: { sleepMs: () => Promise.resolve() },
  });
  const change = { author: 'ann', text: TEXT };
  await store.apply({ ...change, baseGeneration: 0, changeId: 'c1' });
  const agent = createDistributionAgent({
    connections: { fetchConfiguration: () => Promise.reject(new Error('no peer')) } as never,
    platform,
    clock: SYSTEM_CLOCK,
    random: () => 0.5,
    getAddress: () => undefined,
    onInstall: () => undefined,
  });
  const timer = setInterval(agent.tick, TICK_INTERVAL_MS);
  context.after(() => {
    clearInterval(timer);
    agent.stop();
  });
  agent.setWatcher(true);
  const waitForGeneration = async (generation: number): Promise<void> => {
    const startedAtMs = performance.now();
    while (agent.getConfiguration()?.generation !== generation) {
      assert.ok(performance.now() - startedAtMs < ACTIVE_LIMIT_MS, `generation ${generation}`);
      await sleep(TICK_INTERVAL_MS);
    }
  };
  await waitForGeneration(1);
  await store.apply({ ...change, baseGeneration: 1, changeId: 'c2' });
  await waitForGeneration(2);
});
