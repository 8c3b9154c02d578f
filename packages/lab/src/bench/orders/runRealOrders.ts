import { setTimeout as sleep } from 'node:timers/promises';

import { RunState } from '@sardinegrade/common';
import { build } from 'hdr-histogram-js';

import { startOrderFleet } from '../../integration/orders/orderFleet.js';
import { readCounts, sendControl } from '../../harness/index.js';

import type { OrderFleet, OrderReply } from '../../integration/orders/orderFleet.js';
import type { LatencyFigures } from './types.js';

/** The results of the run with real daemons. */
export interface RealOrdersFigures {
  readonly orders: number;
  readonly runTwice: number;
  readonly lost: number;
  readonly falseNotRun: number;
  readonly latency: LatencyFigures;
  /** Median latency of the same call sent directly to the service. */
  readonly directP50Ms: number;
  readonly writesPerOrder: number;
  readonly readsPerOrder: number;
  readonly outage: {
    readonly orders: number;
    readonly deduplicating: number;
    readonly recorded: number;
    readonly recordedRefusedAsNotRun: number;
  };
}

interface OrderOutcome {
  readonly key: string;
  readonly reply: OrderReply;
}

const ORDERS = 600;
/** Slow enough to stay within the write budgets of three daemons. */
const ORDER_INTERVAL_MS = 30;
const OUTAGE_MS = 60_000;
const OUTAGE_INTERVAL_MS = 200;
const MAX_TRACKED_LATENCY_MS = 60_000;

const countCalls = (
  counts: Readonly<Record<string, unknown>>,
  prefixes: readonly string[],
): number => {
  let sum = 0;
  for (const [name, count] of Object.entries(counts.byCall ?? {})) {
    if (prefixes.includes(name)) sum += Number(count);
  }
  return sum;
};

const readOrderCalls = async (fleet: OrderFleet) => {
  const counts = await readCounts(fleet.cluster.platform.address);
  return {
    writes: countCalls(counts, ['write order', 'remove order', 'write order-open']),
    reads: countCalls(counts, ['read order']),
  };
};

const measureDirectCalls = async (fleet: OrderFleet): Promise<number> => {
  const latencies = build({ highestTrackableValue: MAX_TRACKED_LATENCY_MS });
  for (let index = 0; index < 200; index += 1) {
    const startMs = performance.now();
    await fleet.callServiceDirectly();
    latencies.recordValue(Math.round((performance.now() - startMs) * 100));
  }
  return latencies.getValueAtPercentile(50) / 100;
};

const measureLatency = async (fleet: OrderFleet) => {
  const latencies = build({ highestTrackableValue: MAX_TRACKED_LATENCY_MS * 100 });
  const entries = fleet.cluster.entries;
  const outcomes: Promise<OrderOutcome>[] = [];
  const sendOne = async (index: number): Promise<OrderOutcome> => {
    const key = `calm-${index}`;
    const entry = entries[index % entries.length] ?? fleet.faultyEntry;
    const startMs = performance.now();
    const reply = await fleet.sendOrder(entry, key);
    latencies.recordValue(Math.round((performance.now() - startMs) * 100));
    return { key, reply };
  };
  for (let index = 0; index < ORDERS; index += 1) {
    outcomes.push(sendOne(index));
    await sleep(ORDER_INTERVAL_MS);
  }
  const latency = {
    p50Ms: latencies.getValueAtPercentile(50) / 100,
    p95Ms: latencies.getValueAtPercentile(95) / 100,
    p99Ms: latencies.getValueAtPercentile(99) / 100,
  };
  return { outcomes: await Promise.all(outcomes), latency };
};

const measureOutage = async (fleet: OrderFleet) => {
  await sendControl(fleet.cluster.platform.address, { outage: true });
  const recorded: Promise<OrderOutcome>[] = [];
  const deduplicating: Promise<OrderReply>[] = [];
  const count = OUTAGE_MS / OUTAGE_INTERVAL_MS;
  for (let index = 0; index < count; index += 1) {
    const { entries } = fleet.cluster;
    const entry = entries[index % entries.length] ?? fleet.faultyEntry;
    const key = `outage-${index}`;
    recorded.push(fleet.sendOrder(entry, key).then((reply) => ({ key, reply })));
    deduplicating.push(fleet.sendOrder(entry, `${key}-kept`, 'bit', 'ledger'));
    await sleep(OUTAGE_INTERVAL_MS);
  }
  const outcomes = await Promise.all(recorded);
  const deduplicatedReplies = await Promise.all(deduplicating);
  await sendControl(fleet.cluster.platform.address, { outage: false });
  const isNotRun = ({ reply }: OrderOutcome): boolean => reply.run === RunState.NotRun;
  return {
    outcomes,
    figures: {
      orders: count,
      deduplicating: deduplicatedReplies.filter(({ status }) => status === 200).length / count,
      recorded: outcomes.filter(({ reply }) => reply.status === 200).length / count,
      recordedRefusedAsNotRun: outcomes.filter(isNotRun).length / count,
    },
  };
};

/**
 * Compares the replies to callers with the executions of the service, then repeats every order
 * through another VM until it is answered, and counts lost and duplicate executions.
 */
const compareOutcomes = async (fleet: OrderFleet, outcomes: readonly OrderOutcome[]) => {
  const before = await fleet.readExecutions();
  let falseNotRun = 0;
  for (const { key, reply } of outcomes) {
    const hasRun = fleet.pickExecutions(before, key) > 0;
    if (reply.run === RunState.NotRun && hasRun) falseNotRun += 1;
  }
  for (const { key } of outcomes) await fleet.retryUntilAnswered(fleet.healthyEntry, key);
  const after = await fleet.readExecutions();
  let runTwice = 0;
  let lost = 0;
  for (const { key } of outcomes) {
    const executions = fleet.pickExecutions(after, key);
    if (executions > 1) runTwice += 1;
    if (executions === 0) lost += 1;
  }
  return { runTwice, lost, falseNotRun };
};

/**
 * Sends orders through three real daemons: without faults, then during a 60 s outage of the platform,
 * then all of them a second time.
 *
 * @param report - prints a progress message
 * @returns executions of the service, latencies and platform calls per order
 */
export const runRealOrders = async (report: (line: string) => void): Promise<RealOrdersFigures> => {
  const fleet = await startOrderFleet(true);
  try {
    const directP50Ms = await measureDirectCalls(fleet);
    const callsBefore = await readOrderCalls(fleet);
    const { outcomes, latency } = await measureLatency(fleet);
    const callsAfter = await readOrderCalls(fleet);
    report('platform outage of 60 s');
    const outage = await measureOutage(fleet);
    const verdict = await compareOutcomes(fleet, [...outcomes, ...outage.outcomes]);
    return {
      orders: ORDERS,
      ...verdict,
      latency,
      directP50Ms,
      writesPerOrder: (callsAfter.writes - callsBefore.writes) / ORDERS,
      readsPerOrder: (callsAfter.reads - callsBefore.reads) / ORDERS,
      outage: outage.figures,
    };
  } finally {
    await fleet.stop();
  }
};
