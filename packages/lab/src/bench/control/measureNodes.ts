import { setTimeout as sleep } from 'node:timers/promises';

import { NodeGroup } from './nodes/index.js';

import type { PartnerChoice } from '@sardinegrade/fleet';
import type { NodeStatus } from './nodes/index.js';

/** How many fleet agents run, and in how many processes. */
export interface NodeLayout {
  readonly dataCentre: string;
  /** Agents in each process; the first one is measured. */
  readonly processes: readonly number[];
}

/** What one agent spends. */
export interface NodeCost {
  readonly daemons: number;
  /** Until all knew each other, from the start of the first process. */
  readonly joinedMs: number;
  readonly receivedPerSecond: number;
  readonly sentPerSecond: number;
  /** Share of one core, in percent. */
  readonly cpuPercent: number;
  /** Above a process with no agent. */
  readonly heapBytes: number;
}

/** Until updates of the start have been told as often as they are to be told. */
const SETTLE_MS = 15_000;
const SETTLE_PER_DAEMON_MS = 400;
const SETTLE_LIMIT_MS = 90_000;
const MEASURE_MS = 20_000;
const JOIN_LIMIT_MS = 180_000;
const POLL_MS = 250;
const MICROSECONDS_PER_PERCENT_SECOND = 10_000;

const waitJoined = async (group: NodeGroup, daemons: number): Promise<void> => {
  const deadline = Date.now() + JOIN_LIMIT_MS;
  for (;;) {
    const statuses = await group.readAll();
    if (statuses.every(({ members }) => members.every((known) => known === daemons))) return;
    if (Date.now() > deadline) throw new Error(`${daemons} daemons did not find each other`);
    await sleep(POLL_MS);
  }
};

const computeCost = (before: NodeStatus, after: NodeStatus, spentMs: number) => {
  const seconds = spentMs / 1_000;
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
 * @param partnerChoice - of no effect here
 * @returns bytes in use
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
 * Runs fleet agents in real processes, and measures what the one that has a process to itself spends.
 *
 * @param layouts - agents and processes by data centre; the first process of the first one holds one agent
 * @param platform - base address of the platform
 * @param partnerChoice - how partners are chosen
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
    await waitJoined(group, daemons);
    const joinedMs = Date.now() - startedAtMs;
    await sleep(Math.min(SETTLE_LIMIT_MS, SETTLE_MS + daemons * SETTLE_PER_DAEMON_MS));
    const before = await group.readStatus(0);
    const measuredAtMs = Date.now();
    await sleep(MEASURE_MS);
    const spentMs = Date.now() - measuredAtMs;
    const after = await group.readStatus(0);
    const heapBytes = after.heapBytes - emptyHeapBytes;
    return { daemons, joinedMs, heapBytes, ...computeCost(before, after, spentMs) };
  } finally {
    await group.stop();
  }
};
