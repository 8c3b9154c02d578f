import { MetricName } from '@sardinegrade/common';

import { DutyKind } from '../enums.js';
import { DemandHistory } from './DemandHistory.js';
import { findViewFault } from './findViewFault.js';
import { ServiceScaler } from './ServiceScaler.js';

import type { DataCentreName, Logger, Metrics, ServiceName } from '@sardinegrade/common';
import type { DutyClient, DutyHolder, DutySettings } from '../types.js';
import type { DecisionContext } from './ServiceScaler.js';
import type { CapacityView } from './types.js';

/** Interval at which demand is sampled, in milliseconds: load messages are up to 300 ms old. */
export const SAMPLE_INTERVAL_MS = 250;

/** Interval of decisions, in milliseconds. */
const DECISION_INTERVAL_MS = 1_000;

/** Time after this VM became the holder during which workers are only added, in milliseconds. */
const NEW_HOLDER_MS = 10_000;

/** Time for which a data centre has to be unreachable until its workers no longer count: single reports may be late. */
const CUT_AFTER_MS = 2_000;

/**
 * Smallest share of the listed VMs whose load must be known for workers to be given up: with fewer, demand seems lower than
 * it is. Some VMs are listed for a short time after their end.
 */
const MIN_HEARD_TO_REDUCE = 0.9;

/**
 * Largest number of orders in one decision, one a second. The host platform accepts 50 calls a second from all VMs, and usage
 * reports are among them.
 */
const MAX_ORDERS_PER_DECISION = 10;

/** Dependencies of a scaler. */
export interface ScalerOptions {
  readonly settings: DutySettings;
  readonly holder: DutyHolder;
  readonly client: DutyClient;
  /** Returns what this VM knows now; undefined if it does not know enough yet, or can not become the holder. */
  readonly getView: () => CapacityView | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/** Orders workers while this VM holds the duties. */
export interface Scaler {
  /** Samples the demand and, once a second, decides. `start` calls it at regular intervals. */
  readonly tick: () => void;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Scalers and timing from the time at which this VM became the holder; discarded when it is the holder no more. */
class Tenure {
  readonly #services = new Map<ServiceName, ServiceScaler>();
  #unreachableSinceMs: ReadonlyMap<DataCentreName, number> = new Map();
  #decidedAtMs: number;

  constructor(
    private readonly options: ScalerOptions,
    private readonly history: DemandHistory,
    private readonly sinceMs: number,
  ) {
    // One sample would be too few for a decision.
    this.#decidedAtMs = sinceMs;
  }

  get services(): Iterable<ServiceScaler> {
    return this.#services.values();
  }

  recordDemand(view: CapacityView): void {
    const nowMs = this.options.getNowMs();
    this.#unreachableSinceMs = new Map(
      [...view.unreachable].map((name) => [name, this.#unreachableSinceMs.get(name) ?? nowMs]),
    );
    for (const service of view.services) this.#getScaler(service.service).recordDemand(service);
  }

  /** Claims the next decision; false if the last one was less than an interval ago. */
  claimDecision(): boolean {
    const nowMs = this.options.getNowMs();
    if (nowMs - this.#decidedAtMs < DECISION_INTERVAL_MS) return false;
    this.#decidedAtMs = nowMs;
    return true;
  }

  decide(view: CapacityView): void {
    const nowMs = this.options.getNowMs();
    const cut = [...this.#unreachableSinceMs]
      .filter(([, sinceMs]) => nowMs - sinceMs >= CUT_AFTER_MS)
      .map(([name]) => name);
    const context: DecisionContext = {
      cut: new Set(cut),
      mayReduce:
        nowMs - this.sinceMs >= NEW_HOLDER_MS &&
        view.unreachable.size === 0 &&
        view.heardVmCount >= view.listedVmCount * MIN_HEARD_TO_REDUCE,
    };
    let left = MAX_ORDERS_PER_DECISION;
    for (const service of view.services)
      left -= this.#getScaler(service.service).decide(service, context, left);
  }

  #getScaler(service: ServiceName): ServiceScaler {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const scaler = new ServiceScaler({ ...this.options, service, history: this.history });
    this.#services.set(service, scaler);
    return scaler;
  }
}

class RunningScaler implements Scaler {
  readonly #history = new DemandHistory();
  #standbySampledAtMs = Number.NEGATIVE_INFINITY;
  #tenure: Tenure | undefined;
  #loggedFault: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ScalerOptions) {
    const { metrics } = options;
    const list = (): readonly ServiceScaler[] => [...(this.#tenure?.services ?? [])];
    metrics.registerGauge(MetricName.OrderedWorkers, () =>
      list().flatMap(({ ordered }) => [...ordered]),
    );
    metrics.registerGauge(MetricName.DemandEngines, () =>
      list().map(({ demandEngines }) => demandEngines),
    );
  }

  readonly tick = (): void => {
    const { holder, getView, getNowMs } = this.options;
    if (!holder.isHolder()) {
      this.#tenure = undefined;
      this.#sampleOnStandby();
      return;
    }
    this.#tenure ??= new Tenure(this.options, this.#history, getNowMs());
    const view = getView();
    const fault = findViewFault(view);
    if (view !== undefined && fault === undefined) {
      this.#history.record(view, getNowMs());
      this.#tenure.recordDemand(view);
    }
    // A new holder waits for its permit; its orders would be refused, and blocked for some time after it has one.
    if (holder.claimPermit() === undefined || !this.#tenure.claimDecision()) return;
    this.#logFault(fault, view);
    if (view !== undefined && fault === undefined) this.#tenure.decide(view);
  };

  readonly start = (): void => {
    if (!this.options.settings.kinds.has(DutyKind.Autoscale)) return;
    this.#timer ??= setInterval(() => this.#runTick(), SAMPLE_INTERVAL_MS);
  };

  readonly stop = (): void => {
    clearInterval(this.#timer);
    this.#timer = undefined;
  };

  /** Samples less often than the holder, whose processor time it saves. */
  #sampleOnStandby(): void {
    const { getView, getNowMs } = this.options;
    const nowMs = getNowMs();
    if (nowMs - this.#standbySampledAtMs < DECISION_INTERVAL_MS) return;
    this.#standbySampledAtMs = nowMs;
    const view = getView();
    if (view !== undefined && findViewFault(view) === undefined) this.#history.record(view, nowMs);
  }

  /** An unexpected error must not end the process: without orders, requests are still served. */
  #runTick(): void {
    try {
      this.tick();
    } catch (error) {
      this.options.logger.error('decision on the number of workers failed', { error });
    }
  }

  /** Logs a reason once, until it changes. */
  #logFault(fault: string | undefined, view: CapacityView | undefined): void {
    if (fault !== undefined && fault !== this.#loggedFault) {
      const inputs = {
        age_ms: view && Math.round(view.ageMs),
        heard: view?.heardVmCount,
        listed: view?.listedVmCount,
      };
      this.options.logger.warn(`no workers are ordered: ${fault}`, { inputs });
    }
    this.#loggedFault = fault;
  }
}

/**
 * Creates the part of a VM that orders workers while it holds the duties.
 *
 * @param options - settings, holder, client and the view of this VM
 * @returns the scaler; `start` does nothing unless the settings list the duty
 */
export const createScaler = (options: ScalerOptions): Scaler => new RunningScaler(options);
