import { hashText, toBranded } from '@sardinegrade/common';

import { DutyOutcome } from '../../enums.js';
import { computePrice, NO_WORKERS, withCount } from '../allocation.js';
import { WorkerKind } from '../enums.js';

import type { DataCentreName, ServiceName } from '@sardinegrade/common';
import type { ScalingBounds } from '@sardinegrade/routing';
import type { WorkerOrder } from '../../types.js';
import type { Allocation, CapacityView, EngineProfile } from '../types.js';

/** A kind of request; the rate is a factor on its share at a time. */
export interface ModelClass {
  readonly share: number;
  readonly promptTokens: number;
  readonly targetMs: number;
  readonly computeRate: (nowMs: number) => number;
}

interface ModelWorker {
  readonly dataCentre: DataCentreName;
  readonly kind: WorkerKind;
  readonly readyAtMs: number;
  goneAtMs: number;
  /** When its prefill of all prompts so far is complete. */
  freeAtMs: number;
  readonly endsAtMs: number[];
}

interface ModelRequest {
  readonly arrivedAtMs: number;
  readonly kind: ModelClass;
}

export const SERVICE = toBranded<ServiceName>('model');
export const ENGINE: EngineProfile = { slots: 24, prefillTokensPerMs: 56.6, targetMs: 500 };
export const STEP_MS = 50;
const REQUESTS_PER_S = 450;
const DECODE_MS = 2_500;
/** Number of workers among which a request goes to the one with the least backlog: VMs know the load imperfectly. */
const CANDIDATES = 6;
const DRAIN_MS = 2_500;

/** A model of the workers of one service: boot time, slots, prefill in order of arrival, drains and reclaims. */
export class WorkerModel {
  nowMs = 0;
  workers: ModelWorker[] = [];
  arrived = 0;
  workerSeconds = 0;
  price = 0;
  isUnavailable: (dataCentre: DataCentreName, kind: WorkerKind) => boolean = () => false;
  readonly #queue: ModelRequest[] = [];
  #nextArrivalMs = 0;
  #late = 0;
  #draws = 0;

  constructor(
    readonly bounds: ScalingBounds,
    readonly classes: readonly ModelClass[],
    private readonly seed: number,
  ) {}

  /** Number of requests whose first event came, or will come, later than its target. */
  get late(): number {
    return this.#late + this.#queue.filter((request) => this.#isLate(request)).length;
  }

  /** Executes an order as the host platform does. */
  applyOrder({ dataCentre, count, isSpot }: WorkerOrder, bootMs = this.bounds.bootMs): DutyOutcome {
    const kind = isSpot ? WorkerKind.Spot : WorkerKind.Ordinary;
    const staying = this.#listStaying().filter(
      (worker) => worker.dataCentre === dataCentre && worker.kind === kind,
    );
    const missing = count - staying.length;
    if (missing > 0 && this.isUnavailable(dataCentre, kind)) return DutyOutcome.Unavailable;
    for (const worker of staying.slice(count)) worker.goneAtMs = this.nowMs + DRAIN_MS;
    const readyAtMs = this.nowMs + bootMs;
    for (let index = 0; index < missing; index += 1) {
      const goneAtMs = Number.POSITIVE_INFINITY;
      this.workers.push({ dataCentre, kind, readyAtMs, goneAtMs, freeAtMs: 0, endsAtMs: [] });
    }
    return DutyOutcome.Accepted;
  }

  /** Reclaims the largest group of spot workers, and returns its data centre. */
  removeSpotGroup(): DataCentreName | undefined {
    const groups = [...this.count((worker) => this.#listStaying().includes(worker))];
    const [largest] = groups.sort(([, first], [, second]) => second.spot - first.spot);
    for (const worker of this.workers) {
      if (worker.dataCentre === largest?.[0] && worker.kind === WorkerKind.Spot)
        worker.goneAtMs = Math.min(worker.goneAtMs, this.nowMs + DRAIN_MS);
    }
    return largest?.[0];
  }

  step(): void {
    this.nowMs += STEP_MS;
    const seconds = STEP_MS / 1_000;
    this.workers = this.workers.filter(({ goneAtMs }) => goneAtMs > this.nowMs);
    for (const worker of this.workers) {
      this.workerSeconds += seconds;
      this.price += seconds * computePrice(this.bounds, worker.dataCentre, worker.kind);
      while ((worker.endsAtMs[0] ?? Infinity) <= this.nowMs) worker.endsAtMs.shift();
    }
    const usable = this.#listUsable();
    for (const request of this.#queue.splice(0)) this.#place(request, usable);
    while (this.#nextArrivalMs <= this.nowMs) {
      this.arrived += 1;
      this.#place({ arrivedAtMs: this.#nextArrivalMs, kind: this.#drawClass() }, usable);
      const rate = this.computeRate(this.#nextArrivalMs) * REQUESTS_PER_S;
      this.#nextArrivalMs -= (Math.log(1 - this.#draw()) / rate) * 1_000;
    }
  }

  /** Sum of the rates of all classes, relative to the mean load. */
  computeRate(nowMs: number): number {
    return this.classes.reduce(
      (sum, { share, computeRate }) => sum + share * computeRate(nowMs),
      0,
    );
  }

  /** Number of fully used workers at a rate: each request holds a slot while it is decoded. */
  computeEngines(rate: number): number {
    return (rate * REQUESTS_PER_S * DECODE_MS) / 1_000 / ENGINE.slots;
  }

  count(isCounted: (worker: ModelWorker) => boolean): Allocation {
    let counts: Allocation = new Map(
      [...this.bounds.prices.keys()].map((dataCentre) => [dataCentre, NO_WORKERS]),
    );
    for (const worker of this.workers.filter(isCounted)) {
      const { dataCentre, kind } = worker;
      counts = withCount(counts, dataCentre, kind, (counts.get(dataCentre)?.[kind] ?? 0) + 1);
    }
    return counts;
  }

  buildView(part: Partial<CapacityView> = {}): CapacityView {
    const waiting = this.#queue.length;
    const waitingTokens = this.#queue.reduce((sum, { kind }) => sum + kind.promptTokens, 0);
    const backlogs = this.workers.map(({ freeAtMs }) => Math.max(0, freeAtMs - this.nowMs));
    const backlogMs = backlogs.reduce((sum, ms) => sum + ms, 0);
    const usable = new Set(this.#listUsable());
    const service = {
      service: SERVICE,
      bounds: this.bounds,
      engine: ENGINE,
      demand: {
        requests: this.workers.reduce((sum, { endsAtMs }) => sum + endsAtMs.length, waiting),
        busyEngines: backlogs.filter((ms) => ms > 0).length,
        pendingTokens: backlogMs * ENGINE.prefillTokensPerMs + waitingTokens,
      },
      ready: this.count((worker) => usable.has(worker)),
      leaving: this.count(({ goneAtMs }) => goneAtMs < Infinity),
    };
    const vms = { heardVmCount: 75, listedVmCount: 75, unreachable: new Set<DataCentreName>() };
    return { ageMs: 250, ...vms, services: [service], ...part };
  }

  #isLate({ arrivedAtMs, kind }: ModelRequest): boolean {
    return this.nowMs - arrivedAtMs > kind.targetMs;
  }

  #listStaying(): readonly ModelWorker[] {
    return this.workers.filter(({ goneAtMs }) => goneAtMs === Infinity);
  }

  #listUsable(): readonly ModelWorker[] {
    return this.#listStaying().filter(({ readyAtMs }) => readyAtMs <= this.nowMs);
  }

  /** Places a request, or queues it if no candidate has a free slot. */
  #place(request: ModelRequest, usable: readonly ModelWorker[]): void {
    let best: ModelWorker | undefined;
    for (let draw = 0; draw < CANDIDATES; draw += 1) {
      const worker = usable[Math.floor(this.#draw() * usable.length)];
      if (worker === undefined || worker.endsAtMs.length >= ENGINE.slots) continue;
      if (best === undefined || worker.freeAtMs < best.freeAtMs) best = worker;
    }
    const { kind, arrivedAtMs } = request;
    if (best === undefined) {
      this.#queue.push(request);
      return;
    }
    const startsAtMs = Math.max(arrivedAtMs, best.freeAtMs, this.nowMs - STEP_MS);
    best.freeAtMs = startsAtMs + kind.promptTokens / ENGINE.prefillTokensPerMs;
    best.endsAtMs.push(best.freeAtMs + DECODE_MS);
    if (best.freeAtMs - arrivedAtMs > kind.targetMs) this.#late += 1;
  }

  #drawClass(): ModelClass {
    const rates = this.classes.map((kind) => kind.share * kind.computeRate(this.nowMs));
    let left = this.#draw() * rates.reduce((sum, rate) => sum + rate, 0);
    const index = rates.findIndex((rate) => (left -= rate) < 0);
    const kind = this.classes[Math.max(0, index)];
    if (kind === undefined) throw new Error('The model has no classes.');
    return kind;
  }

  #draw(): number {
    this.#draws += 1;
    return hashText(`${this.seed} ${this.#draws}`) / 2 ** 32;
  }
}
