import { PartnerChoice } from '@sardinegrade/fleet';

import { startPlatform } from '../../standins/index.js';
import { requireAtMost } from '../runner/index.js';
import { measureEmptyHeap, measureNodes } from './measureNodes.js';
import { measurePerItem } from './measurePerItem.js';
import { comparePartners } from './virtual/index.js';

import type { Bench, BenchOutcome, BenchTable } from '../runner/index.js';
import type { NodeCost, NodeLayout } from './measureNodes.js';
import type { ItemCost } from './measurePerItem.js';
import type { PartnerResult } from './virtual/index.js';

const CPU_BUDGET_PERCENT = 2.5;
const HEAP_BUDGET_MB = 32;
const BYTES_BUDGET_PER_SECOND = 5_000;
const TARGET_MEMBERS = 420;
const BYTES_PER_MB = 1_000_000;

const VIRTUAL_SIZES = [8, 32, 84];

const createSingles = (dataCentre: string, count: number): NodeLayout => ({
  dataCentre,
  processes: Array.from({ length: count }, () => 1),
});

/**
 * Fleets with one daemon per process, and one with 84 daemons in 8 processes: the size of one data
 * centre of the target.
 */
const LAYOUTS: readonly (readonly NodeLayout[])[] = [
  [createSingles('dc-a', 4)],
  [createSingles('dc-a', 8)],
  [createSingles('dc-a', 16)],
  [createSingles('dc-a', 32)],
  [{ dataCentre: 'dc-a', processes: [1, 11, 12, 12, 12, 12, 12, 12] }],
];

const toRounded = (value: number, digits = 0): number => Number(value.toFixed(digits));

const describeCost = (cost: NodeCost): readonly (string | number)[] => [
  cost.daemons,
  toRounded(cost.joinedMs),
  toRounded(cost.receivedPerSecond),
  toRounded(cost.sentPerSecond),
  toRounded(cost.cpuPercent, 2),
  toRounded(cost.heapBytes / BYTES_PER_MB, 2),
];

/** Formats the latest cost for a progress message. */
const describeCosts = (costs: readonly NodeCost[]): string =>
  costs.slice(-1).flatMap(describeCost).join(', ');

const describePartners = (result: PartnerResult): readonly (string | number)[] => [
  result.partnerChoice,
  result.daemons,
  toRounded(result.suspectedMs),
  toRounded(result.knownMeanMs),
  toRounded(result.knownMaxMs),
  toRounded(result.falseSuspicionsPerHour, 1),
  result.falseDeaths,
  toRounded(result.bytesPerSecond),
  toRounded(result.callsPerSecond, 2),
  toRounded(result.connectsPerSecond, 2),
];

/** Computes the slope of the least-squares line through points. */
const computeSlope = (points: readonly (readonly [number, number])[]): number => {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  return covariance / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
};

const buildTables = (
  costs: readonly NodeCost[],
  partners: readonly PartnerResult[],
  items: readonly ItemCost[],
): readonly BenchTable[] => [
  {
    title: 'One daemon, real processes',
    columns: ['daemons', 'joined ms', 'received B/s', 'sent B/s', 'cpu %', 'heap MB'],
    rows: costs.map(describeCost),
  },
  {
    title: 'Choice of partners, virtual time: 1 % of calls lost, pauses up to 2 s a minute',
    columns: [
      'choice',
      'daemons',
      'suspected ms',
      'known ms',
      'known max ms',
      'false suspicions/h',
      'false deaths',
      'payload B/s',
      'calls/s',
      'connects/s',
    ],
    rows: partners.map(describePartners),
  },
  {
    title: 'Cost to one daemon per item of the configuration',
    columns: ['item', 'heap B', 'text B', 'parse us'],
    rows: items.map((item) => [
      item.item,
      toRounded(item.heapBytes),
      toRounded(item.textBytes),
      toRounded(item.parseMicroseconds, 1),
    ]),
  },
];

const buildOutcome = (
  costs: readonly NodeCost[],
  partners: readonly PartnerResult[],
  items: readonly ItemCost[],
): BenchOutcome => {
  const perMember = {
    bytesPerSecond: computeSlope(
      costs.map((cost) => [cost.daemons, cost.receivedPerSecond + cost.sentPerSecond]),
    ),
    cpuPercent: computeSlope(costs.map((cost) => [cost.daemons, cost.cpuPercent])),
    heapBytes: computeSlope(costs.map((cost) => [cost.daemons, cost.heapBytes])),
  };
  const largest = costs.at(-1);
  if (largest === undefined) throw new Error('no layout was measured');
  const missingMembers = TARGET_MEMBERS - largest.daemons;
  const bytes =
    largest.receivedPerSecond + largest.sentPerSecond + missingMembers * perMember.bytesPerSecond;
  const cpu = largest.cpuPercent + missingMembers * perMember.cpuPercent;
  const heap = (largest.heapBytes + missingMembers * perMember.heapBytes) / BYTES_PER_MB;
  return {
    tables: buildTables(costs, partners, items),
    targets: [
      requireAtMost(
        'bytes a second at 420, from slopes',
        toRounded(bytes),
        BYTES_BUDGET_PER_SECOND,
      ),
      requireAtMost('cpu percent at 420, from slopes', toRounded(cpu, 2), CPU_BUDGET_PERCENT),
      requireAtMost('heap MB at 420, from slopes', toRounded(heap, 2), HEAP_BUDGET_MB),
    ],
    figures: { costs, perMember, partners, items },
  };
};

/**
 * Measures what membership and configuration cost one daemon in real fleets of several sizes, and
 * extrapolates to the target of 420 members with the slope per member.
 */
export const CONTROL_BENCH: Bench = {
  name: 'control',
  description: 'cost of membership and configuration for one daemon, by the size of the fleet',
  run: async ({ seed, report }) => {
    report('comparing partner choices in virtual time');
    const partners = comparePartners(VIRTUAL_SIZES, seed);
    const items = measurePerItem();
    const platform = await startPlatform({});
    const costs: NodeCost[] = [];
    const choice = PartnerChoice.NearestAndRandom;
    try {
      const emptyHeap = await measureEmptyHeap(platform.address, choice);
      for (const layouts of LAYOUTS) {
        costs.push(await measureNodes(layouts, platform.address, choice, emptyHeap));
        report(
          `daemons, joined ms, received B/s, sent B/s, cpu %, heap MB: ${describeCosts(costs)}`,
        );
      }
    } finally {
      await platform.stop();
    }
    return buildOutcome(costs, partners, items);
  },
};
