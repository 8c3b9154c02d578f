import { RunState, ServiceKind, Tier, toBranded } from '@sardinegrade/common';
import { createRepeatableCallRunner, RetryBudgets } from '@sardinegrade/entry';
import { deriveClientLimits, Ingress } from '@sardinegrade/ingress';
import {
  CallOutcome,
  createOrderService,
  createWriteBudget,
  DEFAULT_ORDER_TIMINGS,
  LookupOutcome,
} from '@sardinegrade/orders';

import { buildModelService } from '../../model/orders/modelFleet.js';
import { createNaiveOrders } from '../../model/orders/naiveOrders.js';
import { Simulation } from '../../model/orders/Simulation.js';
import { createLimitedPlatform } from './limitedPlatform.js';

import type { OrderResult, OrderSubmission, ServiceClient } from '@sardinegrade/orders';
import type { OutageFigures } from './types.js';

type SubmitOrder = (submission: OrderSubmission) => Promise<OrderResult>;

const OUTAGE_MS = 60_000;
const ORDERS = 300;
const DEADLINE_MS = 10_000;
const WRITES_PER_SECOND = 500;
const BODY_LIMIT_BYTES = 1_000;
const SERVICE = buildModelService({ hasLookup: false });

interface OrderCounts {
  answered: number;
  notRun: number;
}

const createCaller = (world: Simulation): ServiceClient => ({
  callService: async ({ attemptId }) => {
    await world.sleep(world.pickBetween(5, 15));
    const answer = { status: 201, headers: {}, body: Buffer.from(attemptId) };
    return { outcome: CallOutcome.Answered, answer };
  },
  lookupStatus: () => Promise.resolve({ outcome: LookupOutcome.Unavailable }),
});

const createIds = (): (() => string) => {
  let createdIds = 0;
  return () => {
    createdIds += 1;
    return `id-${createdIds}`;
  };
};

/** Creates the order service for a service without de-duplication, with the platform down. */
const createRecordedOrders = (world: Simulation): SubmitOrder => {
  const limits = { minLatencyMs: 2, maxLatencyMs: 8, writesPerSecond: WRITES_PER_SECOND };
  const platform = createLimitedPlatform(world, limits);
  platform.setOutage(true);
  const { clock } = world;
  const burst = WRITES_PER_SECOND;
  return createOrderService({
    platform,
    serviceClient: createCaller(world),
    clock,
    getMonotonicMs: clock.getNowMs,
    sleep: (durationMs) => world.sleep(durationMs),
    vm: toBranded('vm-1'),
    newId: createIds(),
    writeBudget: createWriteBudget({ clock, writesPerSecond: WRITES_PER_SECOND, burst }),
    timings: DEFAULT_ORDER_TIMINGS,
    findService: () => SERVICE,
    isVmGone: () => false,
    onIncident: () => undefined,
  }).submitOrder;
};

/** Creates the runner for a service that de-duplicates, whose orders need no records. */
const createDeduplicatingOrders = (world: Simulation): SubmitOrder => {
  const run = createRepeatableCallRunner({
    serviceClient: createCaller(world),
    clock: world.clock,
    sleep: (durationMs) => world.sleep(durationMs),
    getRandom: world.getRandom,
    newId: createIds(),
    retryBudgets: new RetryBudgets(world.clock),
  });
  return (submission) =>
    run(
      {
        workspace: submission.workspace,
        service: { ...SERVICE, kind: ServiceKind.Plain, upstreamDeduplicates: true },
        class: {
          name: SERVICE.defaultClass,
          tier: Tier.Paying,
          priority: 0,
          firstTokenTargetMs: DEADLINE_MS,
          tokenIntervalTargetMs: DEADLINE_MS,
          deadlineMs: DEADLINE_MS,
          minimumShare: 0,
          queueLimit: ORDERS,
          workspaces: [],
        },
        path: submission.request.path,
        requestId: submission.requestId,
        traceparent: submission.traceparent,
        deadlineAtMs: submission.deadlineAtMs,
        bodyLimitBytes: BODY_LIMIT_BYTES,
        ingress: new Ingress(deriveClientLimits({})),
        signal: new AbortController().signal,
      },
      submission.request,
      submission.key,
    );
};

const createUnrecordedOrders = (world: Simulation): SubmitOrder =>
  createNaiveOrders(createCaller(world), createIds()).submitOrder;

const sendOrders = async (
  seed: number,
  create: (world: Simulation) => SubmitOrder,
): Promise<OrderCounts> => {
  const world = new Simulation(seed);
  const submit = create(world);
  const counts: OrderCounts = { answered: 0, notRun: 0 };
  for (let order = 0; order < ORDERS; order += 1) {
    world.schedule(world.pickBetween(0, OUTAGE_MS - DEADLINE_MS), () => {
      const key = `key-${order}`;
      void submit({
        workspace: toBranded('rig-desk'),
        service: SERVICE,
        key,
        request: { method: 'POST', path: '/', headers: {}, body: Buffer.from(key) },
        requestId: toBranded(key),
        traceparent: '',
        deadlineAtMs: world.nowMs + DEADLINE_MS,
        concurrency: ORDERS,
      }).then((result) => {
        if ('answer' in result) counts.answered += 1;
        else if (result.error.run === RunState.NotRun) counts.notRun += 1;
      });
    });
  }
  await world.run(world.nowMs + OUTAGE_MS);
  return counts;
};

/**
 * Sends orders through a 60 s outage of the platform, in virtual time.
 *
 * @param seed - the seed of arrivals and latencies
 * @returns the share of orders answered by the end of the outage, by kind of service
 */
export const runOutage = async (seed: number): Promise<OutageFigures> => {
  const recorded = await sendOrders(seed, createRecordedOrders);
  const deduplicating = await sendOrders(seed, createDeduplicatingOrders);
  const naive = await sendOrders(seed, createUnrecordedOrders);
  return {
    deduplicating: deduplicating.answered / ORDERS,
    recorded: recorded.answered / ORDERS,
    recordedRefusedAsNotRun: recorded.notRun / ORDERS,
    naive: naive.answered / ORDERS,
  };
};
