import { toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import {
  chooseEngine,
  EngineRanking,
  EngineTracker,
  PREFILL_TOKENS_PER_MS,
  PrefixCacheModel,
} from '../placement/index.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { EngineLoad } from '../load/index.js';
import type { EngineRun, PromptLane, PromptShape } from '../placement/index.js';

/** How a simulation chooses engines. */
export enum PlacementPolicy {
  /** A random engine. */
  Random = 'random',
  /** `chooseEngine`, where each VM knows only its own requests. */
  Alone = 'alone',
  /** `chooseEngine` with the load reports of the other VMs. */
  Shared = 'shared',
}

/** A class of requests in a simulation, with the rates and sizes of the sites' specifications. */
export interface SimulatedClass {
  readonly name: string;
  readonly perSecond: number;
  readonly targetMs: number;
  readonly lane: PromptLane;
  readonly sharedTokens: number;
  /** Number of different shared parts. */
  readonly sharedPartCount: number;
  readonly ownTokens: number;
}

/** Result counters of one class of requests. */
export interface SimulatedCount {
  readonly sent: number;
  /** Requests whose first event came after the class's target. */
  readonly late: number;
}

interface EngineModel {
  readonly id: UpstreamId;
  readonly prefixCache: PrefixCacheModel;
  /** When prefill of all prompts sent so far is complete. */
  freeAtMs: number;
}

interface VmModel {
  readonly trackers: ReadonlyMap<UpstreamId, EngineTracker>;
  /** Loads in its last report to the other VMs. */
  reportedLoads: ReadonlyMap<UpstreamId, EngineLoad>;
  reportedAtMs: number;
}

interface ActiveRun {
  readonly vm: VmModel;
  readonly engine: UpstreamId;
  readonly run: EngineRun;
  readonly firstEventAtMs: number;
}

/** Size of a site. */
export interface SimulatedSite {
  readonly engines: number;
  readonly vms: number;
  /** Time between two load reports of a VM, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Number of homes of a part (see `PlacementContext`). */
  readonly homeCount: number;
}

/** A site whose VMs report directly to each other. */
export const SMALL_SITE: SimulatedSite = {
  engines: 13,
  vms: 7,
  reportIntervalMs: 50,
  homeCount: Infinity,
};

const CACHE_TOKENS = 654_473;

/** Time to the first event after prefill, in milliseconds. */
const MIN_FIRST_EVENT_MS = 16;

/** Delay until a first event has been received and reported to the other VMs, in milliseconds. */
const FINISH_DELAY_MS = 50;

const MS_PER_SECOND = 1_000;

/** Simulates requests of several VMs to engines that prefill prompts one after another. */
export class PlacementSimulation {
  readonly #random: RandomSource;
  readonly #engines: readonly EngineModel[];
  readonly #ranking: EngineRanking;
  readonly #vms: readonly VmModel[];
  readonly #activeRuns: ActiveRun[] = [];
  #nextOwnPart = 0;
  /** Shared prompt tokens that were prefilled again although an engine had processed them before. */
  recomputedSharedTokens = 0;
  readonly #seenParts = new Set<string>();

  /**
   * @param policy - how engines are chosen
   * @param seed - seed of the random arrivals and prompts
   * @param site - size of the site
   */
  constructor(
    private readonly policy: PlacementPolicy,
    seed: number,
    private readonly site = SMALL_SITE,
  ) {
    this.#random = createRandomSource(seed);
    const ids = Array.from({ length: site.engines }, (_, index) =>
      toBranded<UpstreamId>(`e${index}`),
    );
    this.#engines = ids.map((id) => ({
      id,
      prefixCache: new PrefixCacheModel(CACHE_TOKENS),
      freeAtMs: 0,
    }));
    this.#ranking = new EngineRanking(ids);
    this.#vms = Array.from({ length: site.vms }, (_, index) => ({
      trackers: new Map(ids.map((id) => [id, new EngineTracker(CACHE_TOKENS)])),
      reportedLoads: new Map(),
      reportedAtMs: (index / site.vms) * site.reportIntervalMs - site.reportIntervalMs,
    }));
  }

  /**
   * Simulates requests that arrive at random times.
   *
   * @param classes - the request classes
   * @param seconds - simulated time
   * @returns the counters by the name of the class
   */
  run(classes: readonly SimulatedClass[], seconds: number): ReadonlyMap<string, SimulatedCount> {
    const arrivals = classes
      .flatMap((requestClass) =>
        Array.from({ length: Math.round(requestClass.perSecond * seconds) }, () => ({
          requestClass,
          atMs: this.#random() * seconds * MS_PER_SECOND,
        })),
      )
      .sort((left, right) => left.atMs - right.atMs);
    const counts = new Map(
      classes.map((requestClass) => [requestClass.name, { sent: 0, late: 0 }]),
    );
    for (const { requestClass, atMs } of arrivals) {
      const waitMs = this.#serve(requestClass, atMs);
      const count = counts.get(requestClass.name);
      if (count === undefined) continue;
      count.sent += 1;
      if (waitMs > requestClass.targetMs) count.late += 1;
    }
    return counts;
  }

  #serve(requestClass: SimulatedClass, nowMs: number): number {
    this.#finishRuns(nowMs);
    const prompt = this.#buildPrompt(requestClass);
    const vm = this.#pick(this.#vms);
    const chosen = this.#choose(prompt, requestClass, vm, nowMs);
    const engine = this.#engines.find(({ id }) => id === chosen) ?? this.#pick(this.#engines);
    const cachedTokens = engine.prefixCache.countCachedTokens(prompt.parts);
    this.#countRecomputed(prompt, cachedTokens);
    engine.prefixCache.record(prompt.parts);
    const startMs = Math.max(nowMs, engine.freeAtMs);
    engine.freeAtMs = startMs + (prompt.promptTokens - cachedTokens) / PREFILL_TOKENS_PER_MS;
    const firstEventAtMs = engine.freeAtMs + MIN_FIRST_EVENT_MS;
    const tracker = vm.trackers.get(engine.id);
    if (tracker !== undefined) {
      const run = tracker.start(prompt, nowMs);
      this.#activeRuns.push({ vm, engine: engine.id, run, firstEventAtMs });
    }
    if (this.policy === PlacementPolicy.Shared) {
      for (const other of this.#vms) {
        if (other !== vm)
          other.trackers.get(engine.id)?.prefixCache.record(prompt.parts.slice(0, -1));
      }
    }
    return firstEventAtMs - nowMs;
  }

  #finishRuns(nowMs: number): void {
    for (let index = this.#activeRuns.length - 1; index >= 0; index -= 1) {
      const activeRun = this.#activeRuns[index];
      if (activeRun === undefined || activeRun.firstEventAtMs + FINISH_DELAY_MS > nowMs) continue;
      activeRun.vm.trackers.get(activeRun.engine)?.finish(activeRun.run);
      this.#activeRuns.splice(index, 1);
    }
  }

  #choose(
    prompt: PromptShape,
    requestClass: SimulatedClass,
    vm: VmModel,
    nowMs: number,
  ): UpstreamId | undefined {
    if (this.policy === PlacementPolicy.Random) return this.#pick(this.#engines).id;
    this.#refreshReports(nowMs);
    const others =
      this.policy === PlacementPolicy.Shared ? this.#vms.filter((other) => other !== vm) : [];
    const views = this.#engines.map(({ id }) => {
      const tracker = vm.trackers.get(id);
      const loads = others.flatMap((other) => other.reportedLoads.get(id) ?? []);
      return {
        id,
        backlogTokens:
          (tracker?.estimateBacklogTokens(nowMs) ?? 0) +
          loads.reduce((sum, load) => sum + load.backlogTokens, 0),
        cachedTokens: tracker?.prefixCache.countCachedTokens(prompt.parts) ?? 0,
        runs: (tracker?.runCount ?? 0) + loads.reduce((sum, load) => sum + load.runs, 0),
        isAvoided: false,
      };
    });
    const hasPeerReports = this.policy === PlacementPolicy.Shared;
    return chooseEngine(prompt, views, {
      ranking: this.#ranking,
      lane: requestClass.lane,
      hasPeerReports,
      homeCount: this.site.homeCount,
    })?.id;
  }

  #refreshReports(nowMs: number): void {
    for (const vm of this.#vms) {
      if (nowMs - vm.reportedAtMs < this.site.reportIntervalMs) continue;
      vm.reportedAtMs = nowMs;
      vm.reportedLoads = new Map(
        [...vm.trackers].map(([id, tracker]) => [
          id,
          { backlogTokens: tracker.estimateBacklogTokens(nowMs), runs: tracker.runCount },
        ]),
      );
    }
  }

  #buildPrompt(requestClass: SimulatedClass): PromptShape {
    const sharedPart = Math.floor(this.#random() * requestClass.sharedPartCount);
    this.#nextOwnPart += 1;
    // The length of the last part varies as in the sites' specifications, with a long tail.
    const ownTokens = Math.round(requestClass.ownTokens * -Math.log(1 - this.#random() * 0.999));
    return {
      parts: [
        { id: toBranded(`${requestClass.name}/${sharedPart}`), tokens: requestClass.sharedTokens },
        { id: toBranded(`own/${this.#nextOwnPart}`), tokens: ownTokens },
      ],
      promptTokens: requestClass.sharedTokens + ownTokens,
      maxOutputTokens: 0,
    };
  }

  #countRecomputed(prompt: PromptShape, cachedTokens: number): void {
    const shared = prompt.parts[0];
    if (shared === undefined) return;
    if (this.#seenParts.has(shared.id) && cachedTokens < shared.tokens) {
      this.recomputedSharedTokens += shared.tokens;
    }
    this.#seenParts.add(shared.id);
  }

  #pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#random() * items.length)];
    if (item === undefined) throw new Error('cannot pick an item from an empty list');
    return item;
  }
}
