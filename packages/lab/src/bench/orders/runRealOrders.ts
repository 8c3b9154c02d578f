import { setTimeout as sleep } from 'node:timers/promises';

import { RunState } from '@sardinegrade/common';
import { build } from 'hdr-histogram-js';

import { startOrderFleet } from '../../integration/orders/orderFleet.js';
import { readControl, sendControl } from '../../harness/index.js';

import type { OrderFleet, OrderReply } from '../../integration/orders/orderFleet.js';
import type { LatencyFigures } from './types.js';

/** What real daemons came to. */
export interface RealFigures {
  readonly orders: number;
  readonly runTwice: number;
  readonly lost: number;
  readonly falseNotRun: number;
  readonly latency: LatencyFigures;
  /** Median latency of the same call to the service itself. */
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

interface Outcome {
  readonly key: string;
  readonly reply: OrderReply;
}

const ORDERS = 600;
/** Within the write budgets of three daemons. */
const ORDER_INTERVAL_MS = 30;
const OUTAGE_MS = 60_000;
const OUTAGE_INTERVAL_MS = 200;
const HIGHEST_LATENCY_MS = 60_000;

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
  const counts = await readControl(fleet.cluster.platform.address);
  return {
    writes: countCalls(counts, ['write order', 'remove order', 'write order-open']),
    reads: countCalls(counts, ['read order']),
  };
};

const measureDirect = async (fleet: OrderFleet): Promise<number> => {
  const latencies = build({ highestTrackableValue: HIGHEST_LATENCY_MS });
  for (let index = 0; index < 200; index += 1) {
    const startMs = performance.now();
    await fleet.callServiceDirectly();
    latencies.recordValue(Math.round((performance.now() - startMs) * 100));
  }
  return latencies.getValueAtPercentile(50) / 100;
};

const measureLatency = async (fleet: OrderFleet) => {
  const latencies = build({ highestTrackableValue: HIGHEST_LATENCY_MS * 100 });
  const entries = fleet.cluster.entries;
  const outcomes: Promise<Outcome>[] = [];
  const sendOne = async (index: number): Promise<Outcome> => {
    const key = `calm-${index}`;
    const entry = entries[index % entries.length] ?? fleet.first;
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

const runOutage = async (fleet: OrderFleet) => {
  await sendControl(fleet.cluster.platform.address, { outage: true });
  const recorded: Promise<Outcome>[] = [];
  const deduplicating: Promise<OrderReply>[] = [];
  const count = OUTAGE_MS / OUTAGE_INTERVAL_MS;
  for (let index = 0; index < count; index += 1) {
    const { entries } = fleet.cluster;
    const entry = entries[index % entries.length] ?? fleet.first;
    const key = `outage-${index}`;
    recorded.push(fleet.sendOrder(entry, key).then((reply) => ({ key, reply })));
    deduplicating.push(fleet.sendOrder(entry, `${key}-kept`, 'bit', 'ledger'));
    await sleep(OUTAGE_INTERVAL_MS);
  }
  const outcomes = await Promise.all(recorded);
  const kept = await Promise.all(deduplicating);
  await sendControl(fleet.cluster.platform.address, { outage: false });
  const isNotRun = ({ reply }: Outcome): boolean => reply.run === RunState.NotRun;
  return {
    outcomes,
    figures: {
      orders: count,
      deduplicating: kept.filter(({ status }) => status === 200).length / count,
      recorded: outcomes.filter(({ reply }) => reply.status === 200).length / count,
      recordedRefusedAsNotRun: outcomes.filter(isNotRun).length / count,
    },
  };
};

/** Compares what callers were told with what the service carried out, then resends all through another VM. */
const compareOutcomes = async (fleet: OrderFleet, outcomes: readonly Outcome[]) => {
  const before = await fleet.readExecutions();
  let falseNotRun = 0;
  for (const { key, reply } of outcomes) {
    const isRun = fleet.pickExecutions(before, key) > 0;
    if (reply.run === RunState.NotRun && isRun) falseNotRun += 1;
  }
  for (const { key } of outcomes) await fleet.retryUntilAnswered(fleet.second, key);
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
 * Sends orders through three real daemons: calm, then through a 60 s outage of the platform, then all again.
 *
 * @param report - prints a line of progress
 * @returns what the service carried out, latencies and calls to the platform
 */
export const runRealOrders = async (report: (line: string) => void): Promise<RealFigures> => {
  const fleet = await startOrderFleet(true);
  try {
    const directP50Ms = await measureDirect(fleet);
    const callsBefore = await readOrderCalls(fleet);
    const { outcomes, latency } = await measureLatency(fleet);
    const callsAfter = await readOrderCalls(fleet);
    report('outage of 60 s');
    const outage = await runOutage(fleet);
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
