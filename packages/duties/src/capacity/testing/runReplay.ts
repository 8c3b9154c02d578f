import { createMetrics, toBranded } from '@sardinegrade/common';

import { DutyKind, DutyOutcome } from '../../enums.js';
import { createScaler, SAMPLE_INTERVAL_MS } from '../createScaler.js';
import { SERVICE, STEP_MS, WorkerModel } from './WorkerModel.js';

import type { DataCentreName, Logger } from '@sardinegrade/common';
import type { ScalingBounds } from '@sardinegrade/routing';
import type { DutySettings, WorkerOrder } from '../../types.js';
import type { CapacityView } from '../types.js';
import type { ModelClass } from './WorkerModel.js';

const [DOKKI, HARAM, OCTOBER] = ['dokki', 'haram', 'october'].map((name) =>
  toBranded<DataCentreName>(name),
) as [DataCentreName, DataCentreName, DataCentreName];

export const BOUNDS: ScalingBounds = {
  min: 1,
  max: 66,
  bootMs: 4_000,
  spotPrice: 0.22,
  prices: new Map([
    [DOKKI, 1],
    [HARAM, 0.8],
    [OCTOBER, 1.25],
  ]),
};

/** Number of workers in each data centre that run all the time without orders. */
const FIXED = [33, 33, 32];

export const SETTINGS: DutySettings = {
  address: { host: '127.0.0.1', port: 1 },
  kinds: new Set([DutyKind.Autoscale]),
  isFencingChecked: false,
  leaseMs: 3_000,
  usageWindowMs: 5_000,
  usageDueMs: 10_000,
};

/** A constant load. */
export const computeSteady = (): number => 1;

/** The classes of the model, with the rate of all and of the second class over time. */
export const buildClasses = (
  computeRate: (nowMs: number) => number,
  computeSecondRate = computeRate,
): readonly ModelClass[] => [
  { share: 0.5, promptTokens: 1_500, targetMs: 500, computeRate },
  { share: 0.35, promptTokens: 2_000, targetMs: 800, computeRate: computeSecondRate },
  { share: 0.15, promptTokens: 12_000, targetMs: 2_500, computeRate },
];

/** Who decides the number of workers in a replay. */
export enum Policy {
  /** Today's fixed number. */
  Fixed = 'fixed',
  Scaler = 'scaler',
  /** Knows the load of the next seconds, and orders just enough ordinary workers. */
  Oracle = 'oracle',
}

export interface ReplayOptions {
  readonly classes: readonly ModelClass[];
  readonly durationMs: number;
  readonly bounds?: ScalingBounds;
  /** Called before each step. */
  readonly onStep?: (model: WorkerModel) => void;
  readonly buildView?: (model: WorkerModel) => CapacityView | undefined;
  /** Answers an order; by default the model executes it. Undefined leaves it without an answer for 2 s. */
  readonly answer?: (model: WorkerModel, order: WorkerOrder) => DutyOutcome | undefined;
  readonly seed?: number;
  /** Number of ordinary workers in each data centre at the start; today's number by default. */
  readonly fixed?: readonly number[];
}

export interface ReplayResult {
  readonly model: WorkerModel;
  readonly orders: readonly (WorkerOrder & { readonly atMs: number })[];
  readonly warnings: readonly string[];
  readonly lateShare: number;
}

/** @returns a logger that keeps warnings and errors */
export const buildLogger = (warnings: string[]): Logger => ({
  error: (message) => warnings.push(message),
  warn: (message) => warnings.push(message),
  info: () => undefined,
  debug: () => undefined,
  withFields: () => buildLogger(warnings),
});

const UNANSWERED_MS = 2_000;

/** Share of the slots that the oracle uses. */
const ORACLE_SLOT_SHARE = 0.85;

const applyOracle = (model: WorkerModel): void => {
  const rates = Array.from({ length: 6 }, (_, second) =>
    model.computeRate(model.nowMs + second * 1_000),
  );
  const engines = Math.ceil(model.computeEngines(Math.max(...rates)) / ORACLE_SLOT_SHARE);
  const haram = Math.min(model.bounds.max, Math.ceil((engines * 2) / 3));
  const counts = new Map([
    [HARAM, haram],
    [DOKKI, engines - haram],
    [OCTOBER, 1],
  ]);
  for (const [dataCentre, count] of counts)
    model.applyOrder({ service: SERVICE, dataCentre, count, isSpot: false });
};

/**
 * Runs a policy against the model, from today's number of workers; the oracle leaves it with the first step.
 *
 * @param policy - who decides
 * @param options - load, faults and duration
 * @returns the model after the run, the orders and the warnings
 */
export const runReplay = async (policy: Policy, options: ReplayOptions): Promise<ReplayResult> => {
  const { classes, durationMs, bounds = BOUNDS, onStep, seed = 1, fixed = FIXED } = options;
  const model = new WorkerModel(bounds, classes, seed);
  const orders: (WorkerOrder & { readonly atMs: number })[] = [];
  const warnings: string[] = [];
  const open: { readonly untilMs: number; readonly settle: () => void }[] = [];
  const sendOrder = (order: WorkerOrder): Promise<DutyOutcome> => {
    orders.push({ ...order, atMs: model.nowMs });
    const outcome =
      options.answer === undefined ? model.applyOrder(order) : options.answer(model, order);
    if (outcome !== undefined) return Promise.resolve(outcome);
    return new Promise((resolve) => {
      const settle = (): void => resolve(DutyOutcome.Unanswered);
      open.push({ untilMs: model.nowMs + UNANSWERED_MS, settle });
    });
  };
  const scaler = createScaler({
    settings: SETTINGS,
    holder: { isHolder: () => true, claimPermit: () => ({ fence: 1 }) },
    client: { orderWorkers: sendOrder, reportUsage: () => Promise.resolve(DutyOutcome.Refused) },
    getView: () => (options.buildView ?? ((current) => current.buildView()))(model),
    logger: buildLogger(warnings),
    metrics: createMetrics(),
    getNowMs: () => model.nowMs,
  });
  for (const [index, dataCentre] of [...bounds.prices.keys()].entries())
    model.applyOrder({ service: SERVICE, dataCentre, count: fixed[index] ?? 0, isSpot: false }, 0);
  while (model.nowMs < durationMs) {
    onStep?.(model);
    model.step();
    if (policy === Policy.Oracle && model.nowMs % 1_000 < STEP_MS) applyOracle(model);
    if (policy === Policy.Scaler && model.nowMs % SAMPLE_INTERVAL_MS < STEP_MS) scaler.tick();
    const due = open.filter(({ untilMs }) => untilMs <= model.nowMs);
    for (const call of due) {
      open.splice(open.indexOf(call), 1);
      call.settle();
    }
    await Promise.resolve();
    await Promise.resolve();
  }
  return { model, orders, warnings, lateShare: model.late / Math.max(1, model.arrived) };
};
