import { setTimeout as sleep } from 'node:timers/promises';

import { NodeGroup } from './nodes/index.js';

import type { PartnerChoice } from '@sardinegrade/fleet';
import type { NodeStatus } from './nodes/index.js';

/** The fleet agents of a data centre and how they are divided into processes. */
export interface NodeLayout {
  readonly dataCentre: string;
  /** Number of agents in each process; the first process of a fleet is measured. */
  readonly processes: readonly number[];
}

/** The cost of one agent. */
export interface NodeCost {
  readonly daemons: number;
  /**
   * Time from the start of the first process until every agent listed all members; Infinity after a
   * timeout.
   */
  readonly joinedMs: number;
  /** In bytes. */
  readonly receivedPerSecond: number;
  /** In bytes. */
  readonly sentPerSecond: number;
  /** Share of one core, in percent. */
  readonly cpuPercent: number;
  /** In excess of the heap of a process without an agent. */
  readonly heapBytes: number;
}

/**
 * The wait before the measurement, a base and an addition per daemon: until gossip about the start
 * has been retransmitted its full number of times.
 */
const SETTLE_MS = 15_000;
const SETTLE_PER_DAEMON_MS = 400;
const SETTLE_LIMIT_MS = 90_000;
const MEASURE_DURATION_MS = 20_000;
const JOIN_LIMIT_MS = 180_000;
const POLL_INTERVAL_MS = 250;
const MICROSECONDS_PER_PERCENT_SECOND = 10_000;

/**
 * Waits until every agent lists all members. Resolves to the time taken, or to Infinity after a
 * timeout, which an overloaded machine can cause.
 */
const waitUntilJoined = async (group: NodeGroup, daemons: number): Promise<number> => {
  const startedAtMs = Date.now();
  const deadline = Date.now() + JOIN_LIMIT_MS;
  for (;;) {
    const statuses = await group.readAll();
    if (statuses.every(({ members }) => members.every((count) => count === daemons))) {
      return Date.now() - startedAtMs;
    }
    if (Date.now() > deadline) return Infinity;
    await sleep(POLL_INTERVAL_MS);
  }
};

const computeCost = (before: NodeStatus, after: NodeStatus, elapsedMs: number) => {
  const seconds = elapsedMs / 1_000;
  const cpu = (after.cpuMicroseconds - before.cpuMicroseconds) / seconds;
  return {
    receivedPerSecond: (after.received - before.received) / seconds,
    sentPerSecond: (after.sent - before.sent) / seconds,
    cpuPercent: cpu / MICROSECONDS_PER_PERCENT_SECOND,
  };
};

/**
 * Measures the heap of a process without an agent.
 *
 * @param platform - base address of the platform
 * @param partnerChoice - has no effect without an agent
 * @returns the heap in use, in bytes
 */
export const measureEmptyHeap = async (
  platform: string,
  partnerChoice: PartnerChoice,
): Promise<number> => {
  const group = new NodeGroup({ platform, partnerChoice });
  try {
    return (await group.readStatus(await group.start('empty', 0))).heapBytes;
  } finally {
    await group.stop();
  }
};

/**
 * Runs fleet agents in real processes, and measures the cost of the agent that runs alone in the
 * first process.
 *
 * @param layouts - agents and processes by data centre; the first process of the first data centre
 *   must hold exactly one agent
 * @param platform - base address of the platform
 * @param partnerChoice - how agents choose gossip partners
 * @param emptyHeapBytes - heap of a process without an agent
 * @returns the cost of one agent
 */
export const measureNodes = async (
  layouts: readonly NodeLayout[],
  platform: string,
  partnerChoice: PartnerChoice,
  emptyHeapBytes: number,
): Promise<NodeCost> => {
  const group = new NodeGroup({ platform, partnerChoice });
  const daemons = layouts
    .flatMap(({ processes }) => processes)
    .reduce((sum, agents) => sum + agents, 0);
  const startedAtMs = Date.now();
  try {
    for (const { dataCentre, processes } of layouts) {
      for (const agents of processes) await group.start(dataCentre, agents);
    }
    const startDurationMs = Date.now() - startedAtMs;
    const joinedMs = startDurationMs + (await waitUntilJoined(group, daemons));
    await sleep(Math.min(SETTLE_LIMIT_MS, SETTLE_MS + daemons * SETTLE_PER_DAEMON_MS));
    const before = await group.readStatus(0);
    const measuredAtMs = Date.now();
    await sleep(MEASURE_DURATION_MS);
    const elapsedMs = Date.now() - measuredAtMs;
    const after = await group.readStatus(0);
    const heapBytes = after.heapBytes - emptyHeapBytes;
    return { daemons, joinedMs, heapBytes, ...computeCost(before, after, elapsedMs) };
  } finally {
    await group.stop();
  }
};
