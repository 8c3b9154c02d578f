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
 * Creates the fleet agent of a daemon: membership, configuration store and configuration distribution.
 *
 * @param options - fleet settings and dependencies
 * @returns the agent; it joins the fleet once started
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
        isWatcherSelectionOutdated = true;
        if (change.member.state === MemberState.Dead) generations.delete(change.member.vm);
        changes.push(change);
      },
      onNews: news.push,
      onGeneration: (from, generation) => {
        generations.set(from, generation);
        distribution.addPeerGeneration(from, generation);
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
    getHighestGeneration: () => distribution.getStatus().highestKnownGeneration,
  });

  /**
   * Waits until a generation is stored in the platform, then forwards it to the distribution, so that it becomes
   * active on this daemon without a read of the platform.
   */
  const forwardStoredRecord = async (pendingWrite: Promise<ConfigurationRecord>) => {
    const record = await pendingWrite;
    distribution.addStoredRecord(record);
    return record;
  };
  let isWatcherSelectionOutdated = true;
  let wasJoined = false;
  let selectedSinceMs = Infinity;
  const updateWatcherSelection = (): void => {
    isWatcherSelectionOutdated = false;
    wasJoined = membership.isJoined();
    const watchers = membership.pickForTask(WATCH_TASK, WATCHER_COUNT);
    const isSelected = wasJoined && watchers.includes(settings.vm);
    selectedSinceMs = isSelected ? Math.min(selectedSinceMs, clock.getNowMs()) : Infinity;
  };
  const tick = (): void => {
    membership.tick();
    if (isWatcherSelectionOutdated || wasJoined !== membership.isJoined()) updateWatcherSelection();
    distribution.setWatcher(clock.getNowMs() - selectedSinceMs >= WATCHER_SETTLE_MS);
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
    applyConfiguration: (change) => forwardStoredRecord(store.apply(change)),
    restoreConfiguration: (generation, change) =>
      forwardStoredRecord(store.applyGeneration(generation, change)),
    listHistory: (before, limit) => store.listHistory(before, limit),
    setDrain: (change) => forwardStoredRecord(store.setDrain(change)),
    publishNews: membership.addNews,
    getNews: membership.getNews,
    news: news.stream,
  };
};
