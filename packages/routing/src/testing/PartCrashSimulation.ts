import { hashText, toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { PartCrashTracker } from '../quarantine/index.js';

import type { RandomSource } from '@sardinegrade/dispatch';
import type { PromptParts } from '../quarantine/index.js';

/** Site, traffic and faults of a simulation of prompt parts that crash workers. */
export interface PartCrashSite {
  readonly vms: number;
  readonly workers: number;
  /** Time between two messages of a VM, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Number of hops of a message: 1 if VMs report to each other, 3 if through relays. */
  readonly hops: number;
  /** Share of messages that is lost. */
  readonly lossShare: number;
  readonly requestsPerSecond: number;
  /** Share of requests with a part that crashes workers. */
  readonly poisonedShare: number;
  readonly poisonedParts: number;
  /** Mean time between two crashes of random workers, in milliseconds; Infinity for none. */
  readonly randomCrashIntervalMs: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Whether VMs refuse parts; if not, the simulation shows the damage without the quarantine. */
  readonly hasQuarantine: boolean;
}

/** Result of a simulation. */
export interface PartCrashCounts {
  /** Crashes because of a part, and the largest number because of one part. */
  readonly crashes: number;
  readonly crashesPerPart: number;
  /** Poisoned requests that were sent later than the stable window after the fifth crash of their part. */
  readonly sentAfterFifth: number;
  readonly sound: number;
  readonly soundRefused: number;
  /** Sound requests that were lost with a worker. */
  readonly soundLost: number;
  /** Longest time from the first crash of a part until all VMs refuse it, in milliseconds; Infinity if never. */
  readonly refusedAfterMs: number;
}

const STEP_MS = 5;
const FIRST_PARTS = 4;
const SESSIONS = 200;
const MAX_PREFILL_MS = 400;
const DECODE_MS = 900;
const MIN_RESTART_MS = 1_500;
const MAX_RESTART_MS = 3_000;
const STABLE_WINDOW_MS = 3_000;
const FIFTH = 5;

interface SimulatedRequest {
  readonly parts: PromptParts;
  /** Index of the poisoned part; undefined for sound requests. */
  readonly poison: number | undefined;
  readonly vm: number;
  readonly beginsAtMs: number;
  hasBegun: boolean;
}

interface SimulatedWorker {
  instance: number;
  upAtMs: number;
  readonly requests: Set<SimulatedRequest>;
}

const isNoTrial = (): boolean => false;

/** Runs poisoned and sound requests through the trackers of a fleet whose workers crash. */
class PartCrashSimulation {
  readonly #random: RandomSource;
  readonly #trackers: readonly PartCrashTracker[];
  readonly #workers: readonly SimulatedWorker[];
  readonly #crashedAtMs: number[][];
  readonly #refusedAtMs: (number | undefined)[];
  readonly #messages: { readonly atMs: number; readonly apply: () => void }[] = [];
  #nowMs = 0;
  #instances = 0;
  #sentAfterFifth = 0;
  #sound = 0;
  #soundRefused = 0;
  #soundLost = 0;

  constructor(private readonly site: PartCrashSite) {
    this.#random = createRandomSource(site.seed);
    this.#trackers = Array.from({ length: site.vms }, () => new PartCrashTracker());
    this.#workers = Array.from({ length: site.workers }, () => ({
      instance: (this.#instances += 1),
      upAtMs: 0,
      requests: new Set<SimulatedRequest>(),
    }));
    this.#crashedAtMs = Array.from({ length: site.poisonedParts }, () => []);
    this.#refusedAtMs = Array.from({ length: site.poisonedParts }, () => undefined);
  }

  run(): PartCrashCounts {
    const { site } = this;
    for (; this.#nowMs < site.durationMs; this.#nowMs += STEP_MS) {
      this.#deliverMessages();
      if (this.#random() < (site.requestsPerSecond * STEP_MS) / 1_000) this.#sendRequest();
      if (this.#random() < STEP_MS / site.randomCrashIntervalMs)
        this.#crash(this.#pick(this.#workers));
      for (const worker of this.#workers) this.#step(worker);
      if (this.#nowMs % site.reportIntervalMs === 0) this.#report();
      this.#recordRefusals();
    }
    const refusedAfter = this.#refusedAtMs.map(
      (atMs, index) => (atMs ?? Infinity) - (this.#crashedAtMs[index]?.[0] ?? 0),
    );
    const crashes = this.#crashedAtMs.map((times) => times.length);
    return {
      crashes: crashes.reduce((sum, count) => sum + count, 0),
      crashesPerPart: Math.max(...crashes),
      sentAfterFifth: this.#sentAfterFifth,
      sound: this.#sound,
      soundRefused: this.#soundRefused,
      soundLost: this.#soundLost,
      refusedAfterMs: Math.max(...refusedAfter),
    };
  }

  #pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#random() * items.length)];
    if (item === undefined) throw new Error('The simulated site is empty.');
    return item;
  }

  #buildParts(poison: number | undefined): PromptParts {
    const first = `first-${Math.floor(this.#random() * FIRST_PARTS)}`;
    const second =
      poison === undefined ? `s-${Math.floor(this.#random() * SESSIONS)}` : `poison-${poison}`;
    return [first, second, 'own'].map((id) => ({ id: toBranded(id), tokens: 100 }));
  }

  #sendRequest(): void {
    const { site } = this;
    const isPoisoned = this.#random() < site.poisonedShare;
    const poison = isPoisoned ? Math.floor(this.#random() * site.poisonedParts) : undefined;
    const vm = Math.floor(this.#random() * site.vms);
    const parts = this.#buildParts(poison);
    if (!isPoisoned) this.#sound += 1;
    const refused = this.#trackers[vm]?.findRefused(parts, this.#nowMs, isNoTrial);
    if (site.hasQuarantine && refused !== undefined) {
      if (!isPoisoned) this.#soundRefused += 1;
      return;
    }
    const up = this.#workers.filter(({ upAtMs }) => upAtMs <= this.#nowMs);
    if (up.length === 0) return;
    const fifthMs = poison === undefined ? undefined : this.#crashedAtMs[poison]?.[FIFTH - 1];
    if (fifthMs !== undefined && this.#nowMs > fifthMs + STABLE_WINDOW_MS)
      this.#sentAfterFifth += 1;
    const beginsAtMs = this.#nowMs + this.#random() * MAX_PREFILL_MS;
    const isHome = this.#random() < 0.5;
    const home = up[hashText(parts[0]?.id ?? '') % up.length];
    const worker = isHome && home !== undefined ? home : this.#pick(up);
    worker.requests.add({ parts, poison, vm, beginsAtMs, hasBegun: false });
  }

  #step(worker: SimulatedWorker): void {
    for (const request of worker.requests) {
      if (!request.hasBegun && this.site.hasQuarantine && this.#cancelIfRefused(worker, request)) {
        continue;
      }
      if (request.beginsAtMs > this.#nowMs) continue;
      if (request.poison !== undefined) {
        this.#crashedAtMs[request.poison]?.push(this.#nowMs);
        this.#crash(worker);
        return;
      }
      if (!request.hasBegun) this.#trackers[request.vm]?.recordAnswer(request.parts, this.#nowMs);
      request.hasBegun = true;
      if (request.beginsAtMs + DECODE_MS <= this.#nowMs) worker.requests.delete(request);
    }
  }

  #cancelIfRefused(worker: SimulatedWorker, { vm, parts, ...rest }: SimulatedRequest): boolean {
    if (this.#trackers[vm]?.findRefused(parts, this.#nowMs, isNoTrial) === undefined) return false;
    for (const request of worker.requests) {
      if (request.parts === parts) worker.requests.delete(request);
    }
    if (rest.poison === undefined) this.#soundRefused += 1;
    return true;
  }

  #crash(worker: SimulatedWorker): void {
    if (worker.upAtMs > this.#nowMs) return;
    for (const { poison, hasBegun, vm, parts } of worker.requests) {
      if (poison === undefined) this.#soundLost += 1;
      if (!hasBegun) this.#trackers[vm]?.recordCrash(parts, worker.instance, this.#nowMs);
    }
    worker.requests.clear();
    worker.instance = this.#instances += 1;
    worker.upAtMs =
      this.#nowMs + MIN_RESTART_MS + this.#random() * (MAX_RESTART_MS - MIN_RESTART_MS);
  }

  #report(): void {
    const { hops, lossShare, reportIntervalMs } = this.site;
    for (const [sender, tracker] of this.#trackers.entries()) {
      const evidence = tracker.collectUnsent(this.#nowMs);
      if (evidence.length === 0) continue;
      for (const [receiver, other] of this.#trackers.entries()) {
        if (receiver === sender || this.#random() < lossShare) continue;
        const atMs = this.#nowMs + STEP_MS + (hops - 1) * reportIntervalMs;
        const apply = (): void => other.addEvidence(evidence, this.#nowMs);
        this.#messages.push({ atMs, apply });
      }
    }
  }

  #deliverMessages(): void {
    while ((this.#messages[0]?.atMs ?? Infinity) <= this.#nowMs) this.#messages.shift()?.apply();
  }

  #recordRefusals(): void {
    for (const [index, atMs] of this.#refusedAtMs.entries()) {
      if (atMs !== undefined || this.#crashedAtMs[index]?.length === 0) continue;
      const part = `poison-${index}`;
      const isRefused = this.#trackers.every(({ refused }) => refused.has(toBranded(part)));
      if (isRefused) this.#refusedAtMs[index] = this.#nowMs;
    }
  }
}

/**
 * Simulates requests with parts that crash workers, among sound ones that share their other parts.
 *
 * @param site - site, traffic and faults
 * @returns what happened to workers and requests
 */
export const runPartCrashSimulation = (site: PartCrashSite): PartCrashCounts =>
  new PartCrashSimulation(site).run();
