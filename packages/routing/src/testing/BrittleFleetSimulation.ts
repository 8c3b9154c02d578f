import { toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { BrittleWorkerTracker, LimitHeader } from '../limits/index.js';
import { computeReportInterval, MAX_DIRECT_VMS } from '../load/index.js';
import { chooseWorker } from '../placement/index.js';

import type { UpstreamId, VmId } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { NamedLimit } from '../limits/index.js';

/** Site and traffic of a simulation of brittle workers. */
export interface BrittleSite {
  readonly vms: number;
  readonly workers: number;
  readonly slots: number;
  /** Number of requests that may wait at a worker once it lets fewer wait. */
  readonly waiting: number;
  /** Rejections a second that a worker survives. */
  readonly rejections: number;
  /** Requests that arrive before and after the burst begins, as a multiple of those that all workers can run. */
  readonly loads: readonly [number, number];
  readonly burstAtMs: number;
  /** Mean duration of a request, in milliseconds. */
  readonly meanRunMs: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Whether the VMs track brittle workers. */
  readonly hasTracker: boolean;
}

/** Result of a simulation. */
export interface BrittleCounts {
  readonly falls: number;
  readonly rejected: number;
  readonly arrived: number;
  readonly served: number;
  /** Mean time that served requests waited at their VM, in milliseconds. */
  readonly waitMs: number;
  /** Requests that the workers could have run. */
  readonly capacity: number;
}

const STEP_MS = 2;
const MS_PER_SECOND = 1_000;

/** From this time on, workers let fewer requests wait. */
const STABLE_WINDOW_MS = 3_000;
const FULL_WAITING = 24;

/** Part of each request's duration that does not vary. */
const FIXED_SHARE = 0.2;
const PATIENCE_MS = 1_200;
const MAX_SENDS = 4;
const RESTART_MS = 4_000;
const LOSS_SHARE = 0.01;
const DIRECT_DELAY_MS = 2;
const QUEUE_PASS_MS = 25;

interface SimulatedRequest {
  readonly vm: number;
  readonly arrivedAtMs: number;
  readonly tried: Set<number>;
  sends: number;
}

interface SimulatedRun {
  readonly request: SimulatedRequest;
  readonly sentAtMs: number;
  readonly durationMs: number;
  endsAtMs: number;
}

interface SimulatedWorker {
  instance: number;
  upAtMs: number;
  running: SimulatedRun[];
  waiting: SimulatedRun[];
  rejectedAtMs: number[];
}

/** Sends requests of several VMs to brittle workers that decide alone and learn of each other by late messages. */
class BrittleFleetSimulation {
  readonly #random: RandomSource;
  readonly #vms: readonly VmId[];
  readonly #trackers: readonly BrittleWorkerTracker[];
  readonly #workers: readonly SimulatedWorker[];
  /** Requests of each VM at each worker, and what its last report that arrived says of them. */
  readonly #runs: readonly number[][];
  readonly #reported: readonly number[][];
  readonly #queues: readonly SimulatedRequest[][];
  readonly #passedAtMs: number[];
  #events: { readonly atMs: number; readonly apply: () => void }[] = [];
  #nowMs = 0;
  #nextInstance = 1;
  #counts = { falls: 0, rejected: 0, arrived: 0, served: 0, waitMs: 0 };

  constructor(private readonly site: BrittleSite) {
    this.#random = createRandomSource(site.seed);
    const vms = Array.from({ length: site.vms }, (_, index) => toBranded<VmId>(`vm-${index}`));
    this.#vms = vms;
    this.#trackers = vms.map((vm) => new BrittleWorkerTracker(() => ({ vm, vms }), this.#random));
    this.#workers = Array.from({ length: site.workers }, () => this.#createWorker());
    this.#runs = vms.map(() => this.#workers.map(() => 0));
    this.#reported = vms.map(() => this.#workers.map(() => 0));
    this.#queues = vms.map(() => []);
    this.#passedAtMs = vms.map(() => 0);
  }

  run(): BrittleCounts {
    const { durationMs, vms } = this.site;
    const intervalMs = computeReportInterval(vms);
    for (; this.#nowMs < durationMs; this.#nowMs += STEP_MS) {
      this.#applyEvents();
      this.#advanceWorkers();
      this.#addArrivals();
      for (let vm = 0; vm < vms; vm += 1) {
        if ((this.#nowMs + vm * STEP_MS) % intervalMs < STEP_MS) this.#report(vm);
        if (this.#nowMs - (this.#passedAtMs[vm] ?? 0) >= QUEUE_PASS_MS) this.#passQueue(vm);
      }
    }
    const { workers, slots, meanRunMs } = this.site;
    return { ...this.#counts, capacity: (workers * slots * durationMs) / meanRunMs };
  }

  #createWorker(): SimulatedWorker {
    const instance = this.#nextInstance;
    this.#nextInstance += 1;
    return { instance, upAtMs: 0, running: [], waiting: [], rejectedAtMs: [] };
  }

  #addArrivals(): void {
    const { workers, slots, loads, burstAtMs, vms, meanRunMs } = this.site;
    const load = loads[this.#nowMs < burstAtMs ? 0 : 1];
    let expected = (load * workers * slots * STEP_MS) / meanRunMs;
    for (; this.#random() < expected; expected -= 1) {
      const vm = Math.floor(this.#random() * vms);
      const request = { vm, arrivedAtMs: this.#nowMs, tried: new Set<number>(), sends: 0 };
      this.#counts.arrived += 1;
      if (!this.#trySend(request)) this.#queues[vm]?.push(request);
    }
  }

  #passQueue(vm: number): void {
    this.#passedAtMs[vm] = this.#nowMs;
    const waiting = this.#queues[vm]?.splice(0) ?? [];
    for (const request of waiting) {
      if (this.#nowMs - request.arrivedAtMs > PATIENCE_MS) continue;
      if (!this.#trySend(request)) this.#queues[vm]?.push(request);
    }
  }

  #countPeerRuns(vm: number, worker: number): number {
    let sum = 0;
    for (const [other, reported] of this.#reported.entries()) {
      if (other !== vm) sum += reported[worker] ?? 0;
    }
    return sum;
  }

  #buildLoad(vm: number, index: number): Parameters<BrittleWorkerTracker['canSend']>[0] {
    return {
      instance: this.#workers[index]?.instance ?? 0,
      slots: this.site.slots,
      ownRuns: this.#runs[vm]?.[index] ?? 0,
      peerRuns: this.#countPeerRuns(vm, index),
    };
  }

  #listAccepting(vm: number): readonly number[] {
    const up = [...this.#workers.keys()].filter(
      (index) => (this.#workers[index]?.upAtMs ?? 0) <= this.#nowMs,
    );
    const tracker = this.#trackers[vm];
    if (!this.site.hasTracker || tracker === undefined) return up;
    tracker.suspect(
      up.map((index) => this.#workers[index]?.instance ?? 0),
      this.#nowMs,
    );
    return up.filter((index) => tracker.canSend(this.#buildLoad(vm, index), this.#nowMs));
  }

  #trySend(request: SimulatedRequest): boolean {
    const { vm, tried } = request;
    const accepting = this.#listAccepting(vm);
    const untried = accepting.filter((index) => !tried.has(index));
    const views = (untried.length > 0 ? untried : accepting).map((index) => ({
      id: toBranded<UpstreamId>(String(index)),
      runs: this.#runs[vm]?.[index] ?? 0,
      isLocal: true,
      isAvoided: false,
      failureShare: 0,
    }));
    const chosen = chooseWorker(views, this.#random);
    if (chosen === undefined) return false;
    this.#send(request, Number(chosen));
    return true;
  }

  #addRuns(vm: number, index: number, change: number): void {
    const runs = this.#runs[vm];
    if (runs !== undefined) runs[index] = (runs[index] ?? 0) + change;
  }

  #send(request: SimulatedRequest, index: number): void {
    const { vm } = request;
    const worker = this.#workers[index];
    if (worker === undefined) return;
    this.#addRuns(vm, index, 1);
    request.sends += 1;
    request.tried.add(index);
    const durationMs = this.#drawRunMs();
    const run = { request, sentAtMs: this.#nowMs, durationMs, endsAtMs: Infinity };
    const { slots, waiting } = this.site;
    const places = this.#nowMs < STABLE_WINDOW_MS ? FULL_WAITING : waiting;
    if (worker.running.length < slots) {
      run.endsAtMs = this.#nowMs + durationMs;
      worker.running.push(run);
    } else if (worker.waiting.length < places) worker.waiting.push(run);
    else this.#reject(worker, index, run);
  }

  #drawRunMs(): number {
    const { meanRunMs } = this.site;
    return meanRunMs * (FIXED_SHARE - (1 - FIXED_SHARE) * Math.log(1 - this.#random()));
  }

  #reject(worker: SimulatedWorker, index: number, run: SimulatedRun): void {
    this.#counts.rejected += 1;
    const since = this.#nowMs - MS_PER_SECOND;
    worker.rejectedAtMs = [...worker.rejectedAtMs.filter((atMs) => atMs > since), this.#nowMs];
    const { instance } = worker;
    if (worker.rejectedAtMs.length > this.site.rejections) this.#fall(worker, index);
    this.#schedule(DIRECT_DELAY_MS, () => {
      this.#addRuns(run.request.vm, index, -1);
      this.#recordAnswer(instance, run, true);
      if (run.request.sends >= MAX_SENDS) return;
      if (!this.#trySend(run.request)) this.#queues[run.request.vm]?.push(run.request);
    });
  }

  #fall(worker: SimulatedWorker, index: number): void {
    this.#counts.falls += 1;
    for (const { request } of [...worker.running, ...worker.waiting]) {
      this.#addRuns(request.vm, index, -1);
    }
    worker.instance = this.#nextInstance;
    this.#nextInstance += 1;
    worker.upAtMs = this.#nowMs + RESTART_MS;
    worker.running = [];
    worker.waiting = [];
    worker.rejectedAtMs = [];
  }

  #advanceWorkers(): void {
    for (const [index, worker] of this.#workers.entries()) {
      const ended = worker.running.filter(({ endsAtMs }) => endsAtMs <= this.#nowMs);
      if (ended.length === 0) continue;
      worker.running = worker.running.filter(({ endsAtMs }) => endsAtMs > this.#nowMs);
      for (const next of worker.waiting.splice(0, ended.length)) {
        next.endsAtMs = this.#nowMs + next.durationMs;
        worker.running.push(next);
      }
      for (const run of ended) {
        this.#counts.waitMs +=
          (run.sentAtMs - run.request.arrivedAtMs - this.#counts.waitMs) /
          (this.#counts.served + 1);
        this.#counts.served += 1;
        const { instance } = worker;
        this.#schedule(DIRECT_DELAY_MS, () => {
          this.#addRuns(run.request.vm, index, -1);
          this.#recordAnswer(instance, run, false);
        });
      }
    }
  }

  #recordAnswer(instance: number, { request, sentAtMs }: SimulatedRun, isRejected: boolean): void {
    const brittleness: NamedLimit = { header: LimitHeader.Valid, perSecond: this.site.rejections };
    const answer = { instance, brittleness, isRejected, sentAtMs };
    this.#trackers[request.vm]?.recordAnswer(answer, this.#nowMs);
  }

  #report(vm: number): void {
    const runs = [...(this.#runs[vm] ?? [])];
    const reports = this.#trackers[vm]?.collectUnsent(this.#nowMs) ?? [];
    const isDirect = this.#vms.length <= MAX_DIRECT_VMS;
    const relayMs = computeReportInterval(this.#vms.length) * (1 + this.#random());
    const delayMs = isDirect ? DIRECT_DELAY_MS : relayMs;
    if (this.#random() < LOSS_SHARE) return;
    this.#schedule(delayMs, () => {
      this.#reported[vm]?.splice(0, runs.length, ...runs);
      for (const [other, tracker] of this.#trackers.entries()) {
        if (other === vm) continue;
        for (const report of reports) {
          const ageMs = report.ageMs + delayMs;
          const { rejectionAgeMs } = report;
          tracker.applyReport(
            {
              ...report,
              ageMs,
              rejectionAgeMs: rejectionAgeMs === undefined ? undefined : rejectionAgeMs + delayMs,
            },
            this.#nowMs,
          );
        }
      }
    });
  }

  #schedule(delayMs: number, apply: () => void): void {
    this.#events.push({ atMs: this.#nowMs + delayMs, apply });
  }

  #applyEvents(): void {
    const due = this.#events.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#events = this.#events.filter(({ atMs }) => atMs > this.#nowMs);
    for (const { apply } of due) apply();
  }
}

/**
 * Simulates a fleet whose workers say that they are brittle and then let fewer requests wait.
 *
 * @param site - site and traffic
 * @returns how often workers fell over, and what was served
 */
export const runBrittleFleet = (site: BrittleSite): BrittleCounts =>
  new BrittleFleetSimulation(site).run();
