import { setTimeout as sleep } from 'node:timers/promises';

import {
  createFleetConnections,
  createFleetHandlers,
  createPeerCredentials,
} from '@sardinegrade/peer';
import { periodic } from 'most';

import { ConfigurationStore } from './configuration/index.js';
import { createDistributionAgent } from './configuration/distribution/createDistributionAgent.js';
import { WATCHER_COUNT, WATCHER_SETTLE_MS } from './configuration/distribution/constants.js';
import { LEAVE_TIMEOUT_MS, TICK_INTERVAL_MS } from './constants.js';
import { createChannel } from './createChannel.js';
import { createMembershipAgent } from './membership/createMembershipAgent.js';
import { MemberState } from './membership/enums.js';

import type { VmId } from '@sardinegrade/common';
import type { FleetConfiguration } from './configuration/index.js';
import type {
  ConfigurationRecord,
  FleetAgent,
  FleetAgentOptions,
  MembershipChange,
  News,
} from './types.js';

const WATCH_TASK = 'configuration';

/**
 * Makes a daemon's part in the fleet.
 *
 * @param options - settings, platform, and sources of time and chance
 * @returns the agent; it takes part once started
 */
export const createFleetAgent = (options: FleetAgentOptions): FleetAgent => {
  const { settings, platform, clock, random } = options;
  const credentials = options.credentials ?? createPeerCredentials(settings.tls);
  const connections = createFleetConnections(credentials.channel);
  const changes = createChannel<MembershipChange>();
  const news = createChannel<News>();
  const stopped = createChannel<boolean>();
  const configurations = createChannel<FleetConfiguration>(() => distribution.getConfiguration());

  const generations = new Map<VmId, number>();
  const membership = createMembershipAgent({
    settings,
    connections,
    platform,
    clock,
    random,
    observer: {
      onChange: (change) => {
        isWatchOutdated = true;
        if (change.member.state === MemberState.Dead) generations.delete(change.member.vm);
        changes.push(change);
      },
      onNews: news.push,
      onGeneration: (from, generation) => {
        generations.set(from, generation);
        distribution.addHeard(from, generation);
      },
    },
  });
  const distribution = createDistributionAgent({
    connections,
    platform,
    clock,
    random,
    getAddress: (vm) => membership.getMember(vm)?.address,
    onInstall: (configuration) => {
      membership.setGeneration(configuration.generation);
      configurations.push(configuration);
    },
  });
  const store = new ConfigurationStore({
    platform,
    clock,
    getHighest: () => distribution.getStatus().highestHeard,
  });

  const keepStored = async (storing: Promise<ConfigurationRecord>) => {
    const record = await storing;
    distribution.addStored(record);
    return record;
  };
  let isWatchOutdated = true;
  let wasJoined = false;
  let chosenSinceMs = Infinity;
  const updateChosen = (): void => {
    isWatchOutdated = false;
    wasJoined = membership.isJoined();
    const watchers = membership.pickForTask(WATCH_TASK, WATCHER_COUNT);
    const isChosen = wasJoined && watchers.includes(settings.vm);
    chosenSinceMs = isChosen ? Math.min(chosenSinceMs, clock.getNowMs()) : Infinity;
  };
  const tick = (): void => {
    membership.tick();
    if (isWatchOutdated || wasJoined !== membership.isJoined()) updateChosen();
    distribution.setWatcher(clock.getNowMs() - chosenSinceMs >= WATCHER_SETTLE_MS);
    distribution.tick();
  };

  return {
    handlers: createFleetHandlers({
      ...membership.responders,
      fetchConfiguration: distribution.responder,
    }),
    start: (address) => {
      membership.start(address);
      void periodic(TICK_INTERVAL_MS).until(stopped.stream).observe(tick);
    },
    leave: async () => {
      await Promise.race([membership.leave(), sleep(LEAVE_TIMEOUT_MS, undefined, { ref: false })]);
    },
    stop: () => {
      stopped.push(true);
      distribution.stop();
      connections.close();
      for (const channel of [changes, news, configurations, stopped]) channel.end();
    },
    getMembers: membership.getMembers,
    getMemberGeneration: (vm) => generations.get(vm),
    isReachable: membership.isReachable,
    memberChanges: changes.stream,
    getConfiguration: distribution.getConfiguration,
    getConfigurationStatus: distribution.getStatus,
    configurations: configurations.stream,
    applyConfiguration: (change) => keepStored(store.apply(change)),
    restoreConfiguration: (generation, change) =>
      keepStored(store.applyGeneration(generation, change)),
    listHistory: (before, limit) => store.listHistory(before, limit),
    setDrain: (change) => keepStored(store.setDrain(change)),
    spreadNews: membership.addNews,
    getNews: membership.getNews,
    news: news.stream,
  };
};
