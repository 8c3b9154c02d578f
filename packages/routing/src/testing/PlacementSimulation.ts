import { hashText, toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { chooseTrial, measureFirstEvent, measureStream, PaceTable } from '../pace/index.js';
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
import type { PaceSample, SendState } from '../pace/index.js';
import type { EngineRun, EngineView, PromptLane, PromptShape } from '../placement/index.js';

/** How a simulation chooses engines. */
export enum PlacementPolicy {
  /** A random engine. */
  Random = 'random',
  /** `chooseEngine`, where each VM knows only its own requests. */
  Alone = 'alone',
  /** `chooseEngine` with the load reports of the other VMs. */
  Shared = 'shared',
  /** The same with the learned pace of the engines. */
  Paced = 'paced',
  /** The engine that is best by the true speeds, loads and caches at this moment. */
  Oracle = 'oracle',
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
  /** Target for the longest gap between two events, in milliseconds; undefined if there is none. */
  readonly eventGapMs?: number;
  /** Time from the first event to the last one on an engine of nominal speed, in milliseconds. */
  readonly streamMs?: number;
}

/** Result counters of one class of requests. */
export interface SimulatedCount {
  readonly sent: number;
  /** Requests whose first event came after the class's target. */
  readonly late: number;
  /** Requests with a longer gap between events than the class's target. */
  readonly gapLate: number;
}

interface EngineModel {
  readonly id: UpstreamId;
  readonly instance: number;
  readonly index: number;
  readonly prefixCache: PrefixCacheModel;
  /** When prefill of all prompts sent so far is complete. */
  freeAtMs: number;
  /** Requests whose streams have not ended. */
  runs: number;
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
  readonly endAtMs: number;
}

/** Size of a site. */
export interface SimulatedSite {
  readonly engines: number;
  readonly vms: number;
  /** Time between two load reports of a VM, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Number of homes of a part (see `PlacementContext`). */
  readonly homeCount: number;
  /** Unequal engines; undefined if all have the nominal speed. */
  readonly engineModel?: SimulatedEngines;
}

/** Engines of unequal speed. */
export interface SimulatedEngines {
  /** Whether each is 2.5 times slower in 15 % of the time, for 600 ms each. */
  readonly isNoisy: boolean;
  /** Longest gap of a stream on an idle engine of nominal speed, in milliseconds. */
  readonly gapMs: number;
  /** Returns the speed of an engine as a multiple of the nominal one; 0 before it has started. */
  readonly getSpeed: (engine: number, nowMs: number) => number;
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

/** Noise of engines, as in the specification of the site with uneven engines. */
const NOISE_MS = 600;
const NOISE_SHARE = 0.15;
const NOISE_FACTOR = 2.5;
const MAX_HASH = 2 ** 32;

/** Growth of the longest gap with each further run, as a share. It differs from what the product assumes. */
const GAP_GROWTH_PER_RUN = 0.014;

/** Gaps in a stream. */
const GAPS_PER_STREAM = 24;

/** Interval at which a VM estimates paces anew, in milliseconds. */
const PACE_INTERVAL_MS = 1_000;

/** Policies with load reports of the other VMs. */
const SHARED_POLICIES: ReadonlySet<PlacementPolicy> = new Set([
  PlacementPolicy.Shared,
  PlacementPolicy.Paced,
]);

/** Cost of a missed target for gaps to the oracle, in milliseconds: as much as a missed target for the first event. */
const LATE_GAP_COST_MS = 1_000;

const NO_LOAD: EngineLoad = { backlogTokens: 0, runs: 0 };

/** Simulates requests of several VMs to engines that prefill prompts one after another. */
export class PlacementSimulation {
  readonly #random: RandomSource;
  readonly #engines: readonly EngineModel[];
  readonly #ranking: EngineRanking;
  readonly #vms: readonly VmModel[];
  readonly #activeRuns: ActiveRun[] = [];
  /** Sums of the reported loads of all VMs. */
  readonly #totals = new Map<UpstreamId, EngineLoad>();
  readonly #paces = new PaceTable();
  #pacesUpdatedAtMs = Number.NEGATIVE_INFINITY;
  /** Samples that have not reached the VMs. */
  #unsentSamples: { readonly sample: PaceSample; readonly atMs: number }[] = [];
  readonly #sentTimes = new Map<UpstreamId, number[]>();
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
    this.#engines = ids.map((id, index) => ({
      id,
      instance: hashText(id),
      index,
      prefixCache: new PrefixCacheModel(CACHE_TOKENS),
      freeAtMs: 0,
      runs: 0,
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
      classes.map((requestClass) => [requestClass.name, { sent: 0, late: 0, gapLate: 0 }]),
    );
    for (const { requestClass, atMs } of arrivals) {
      const { firstMs, longestGapMs } = this.#serve(requestClass, atMs);
      const count = counts.get(requestClass.name);
      if (count === undefined) continue;
      count.sent += 1;
      if (firstMs > requestClass.targetMs) count.late += 1;
      if (longestGapMs > (requestClass.eventGapMs ?? Infinity)) count.gapLate += 1;
    }
    return counts;
  }

  /**
   * Counts the requests that each engine got.
   *
   * @param fromMs - start of the counted time, in milliseconds
   * @param toMs - its end
   * @returns the number by the engine's index
   */
  listRequests(fromMs = 0, toMs = Infinity): readonly number[] {
    return this.#engines.map(
      ({ id }) =>
        (this.#sentTimes.get(id) ?? []).filter((atMs) => atMs >= fromMs && atMs < toMs).length,
    );
  }

  #serve(
    requestClass: SimulatedClass,
    nowMs: number,
  ): { readonly firstMs: number; readonly longestGapMs: number } {
    this.#finishRuns(nowMs);
    this.#updatePaces(nowMs);
    const prompt = this.#buildPrompt(requestClass);
    const vm = this.#pick(this.#vms);
    const chosen = this.#choose(prompt, requestClass, vm, nowMs);
    const engine = this.#engines.find(({ id }) => id === chosen) ?? this.#pick(this.#engines);
    const cachedTokens = engine.prefixCache.countCachedTokens(prompt.parts);
    this.#countRecomputed(prompt, cachedTokens);
    engine.prefixCache.record(prompt.parts);
    const startMs = Math.max(nowMs, engine.freeAtMs);
    const speed = this.#getSpeed(engine, startMs);
    const uncachedTokens = prompt.promptTokens - cachedTokens;
    engine.freeAtMs = startMs + uncachedTokens / (PREFILL_TOKENS_PER_MS * speed);
    const firstEventAtMs = engine.freeAtMs + MIN_FIRST_EVENT_MS;
    const { gapMs = 0 } = this.site.engineModel ?? {};
    const longestGapMs = (gapMs / speed) * (1 + engine.runs * GAP_GROWTH_PER_RUN);
    this.#recordSent(engine, nowMs);
    const tracker = vm.trackers.get(engine.id);
    if (tracker !== undefined) {
      const load = this.#getLoad(engine.id, vm, nowMs);
      const run = tracker.start(prompt, nowMs);
      engine.runs += 1;
      const endAtMs = firstEventAtMs + (requestClass.streamMs ?? 0) / speed;
      const send = { ...load, uncachedTokens: run.uncachedTokens };
      this.#measure(engine, send, { nowMs, firstEventAtMs, endAtMs, longestGapMs });
      this.#activeRuns.push({ vm, engine: engine.id, run, firstEventAtMs, endAtMs });
    }
    if (SHARED_POLICIES.has(this.policy)) {
      for (const other of this.#vms) {
        if (other !== vm)
          other.trackers.get(engine.id)?.prefixCache.record(prompt.parts.slice(0, -1));
      }
    }
    return { firstMs: firstEventAtMs - nowMs, longestGapMs };
  }

  #recordSent({ id }: EngineModel, nowMs: number): void {
    const times = this.#sentTimes.get(id) ?? [];
    times.push(nowMs);
    this.#sentTimes.set(id, times);
  }

  #getSpeed(engine: EngineModel, atMs: number): number {
    const { engineModel } = this.site;
    if (engineModel === undefined) return 1;
    const speed = engineModel.getSpeed(engine.index, atMs);
    const draw = hashText(`${engine.id} ${Math.floor(atMs / NOISE_MS)}`) / MAX_HASH;
    return engineModel.isNoisy && draw < NOISE_SHARE ? speed / NOISE_FACTOR : speed;
  }

  #measure(
    { instance }: EngineModel,
    send: SendState,
    answer: Pick<ActiveRun, 'firstEventAtMs' | 'endAtMs'> & {
      readonly nowMs: number;
      readonly longestGapMs: number;
    },
  ): void {
    if (this.policy !== PlacementPolicy.Paced) return;
    const { nowMs, firstEventAtMs, endAtMs, longestGapMs } = answer;
    const pace = this.#paces.get(instance);
    const first = measureFirstEvent(instance, send, firstEventAtMs - nowMs, pace);
    this.#unsentSamples.push({ sample: first, atMs: firstEventAtMs });
    const stream = { gaps: GAPS_PER_STREAM, longestGapMs, runs: send.runs };
    const atEnd = longestGapMs === 0 ? undefined : measureStream(instance, stream);
    if (atEnd !== undefined) this.#unsentSamples.push({ sample: atEnd, atMs: endAtMs });
  }

  /** All VMs hear of the same samples, with the delay of a report. */
  #updatePaces(nowMs: number): void {
    if (this.policy !== PlacementPolicy.Paced) return;
    const dueAtMs = nowMs - this.site.reportIntervalMs;
    for (const { sample, atMs } of this.#unsentSamples) {
      if (atMs <= dueAtMs) this.#paces.apply([sample], atMs);
    }
    this.#unsentSamples = this.#unsentSamples.filter(({ atMs }) => atMs > dueAtMs);
    if (nowMs - this.#pacesUpdatedAtMs < PACE_INTERVAL_MS) return;
    this.#pacesUpdatedAtMs = nowMs;
    const started = this.#engines.filter((engine) => this.#getSpeed(engine, nowMs) > 0);
    this.#paces.update([started.map(({ instance }) => instance)], nowMs);
  }

  #finishRuns(nowMs: number): void {
    for (let index = this.#activeRuns.length - 1; index >= 0; index -= 1) {
      const activeRun = this.#activeRuns[index];
      if (activeRun === undefined) continue;
      // Where streams end with their first event, the tracker learns of both at once.
      if (activeRun.firstEventAtMs + FINISH_DELAY_MS <= nowMs) activeRun.run.hasFirstEvent = true;
      if (activeRun.endAtMs + FINISH_DELAY_MS > nowMs) continue;
      const engine = this.#engines.find(({ id }) => id === activeRun.engine);
      if (engine !== undefined) engine.runs -= 1;
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
    const started = this.#engines.filter((engine) => this.#getSpeed(engine, nowMs) > 0);
    if (this.policy === PlacementPolicy.Random) return this.#pick(started).id;
    if (this.policy === PlacementPolicy.Oracle)
      return this.#chooseBest(prompt, requestClass, nowMs);
    this.#refreshReports(nowMs);
    const views = started.map(({ id }): EngineView => ({
      id,
      ...this.#getLoad(id, vm, nowMs),
      cachedTokens: vm.trackers.get(id)?.prefixCache.countCachedTokens(prompt.parts) ?? 0,
      isAvoided: false,
      pace: this.#paces.get(hashText(id)),
    }));
    const hasPeerReports = SHARED_POLICIES.has(this.policy);
    const trial =
      this.policy === PlacementPolicy.Paced ? chooseTrial(views, this.#random()) : undefined;
    if (trial !== undefined) return trial.id;
    return chooseEngine(prompt, views, {
      eventGapMs: requestClass.eventGapMs ?? 0,
      ranking: this.#ranking,
      lane: requestClass.lane,
      hasPeerReports,
      homeCount: this.site.homeCount,
    })?.id;
  }

  /** Load of an engine as a VM sees it. */
  #getLoad(id: UpstreamId, vm: VmModel, nowMs: number): EngineLoad {
    const tracker = vm.trackers.get(id);
    const speed = this.#paces.get(hashText(id)).speed;
    const own = {
      backlogTokens: tracker?.estimateBacklogTokens(nowMs, speed) ?? 0,
      runs: tracker?.runCount ?? 0,
    };
    if (!SHARED_POLICIES.has(this.policy)) return own;
    const total = this.#totals.get(id) ?? NO_LOAD;
    const reported = vm.reportedLoads.get(id) ?? NO_LOAD;
    return {
      backlogTokens: own.backlogTokens + total.backlogTokens - reported.backlogTokens,
      runs: own.runs + total.runs - reported.runs,
    };
  }

  #chooseBest(prompt: PromptShape, { eventGapMs }: SimulatedClass, nowMs: number): UpstreamId {
    const costs = this.#engines.map((engine) => {
      const speed = this.#getSpeed(engine, nowMs);
      const uncached = prompt.promptTokens - engine.prefixCache.countCachedTokens(prompt.parts);
      const firstMs =
        Math.max(0, engine.freeAtMs - nowMs) + uncached / (PREFILL_TOKENS_PER_MS * speed);
      const { gapMs = 0 } = this.site.engineModel ?? {};
      const longestGapMs = (gapMs / speed) * (1 + engine.runs * GAP_GROWTH_PER_RUN);
      const isLate = longestGapMs > (eventGapMs ?? Infinity);
      return { id: engine.id, cost: firstMs + (isLate ? LATE_GAP_COST_MS : 0) };
    });
    return costs.reduce((best, next) => (next.cost < best.cost ? next : best)).id;
  }

  #refreshReports(nowMs: number): void {
    for (const vm of this.#vms) {
      if (nowMs - vm.reportedAtMs < this.site.reportIntervalMs) continue;
      vm.reportedAtMs = nowMs;
      const loads = new Map<UpstreamId, EngineLoad>();
      for (const [id, tracker] of vm.trackers) {
        const { speed } = this.#paces.get(hashText(id));
        const load = {
          backlogTokens: Math.round(tracker.estimateBacklogTokens(nowMs, speed)),
          runs: tracker.runCount,
        };
        if (load.runs > 0) loads.set(id, load);
      }
      this.#addToTotals(vm.reportedLoads, -1);
      this.#addToTotals(loads, 1);
      vm.reportedLoads = loads;
    }
  }

  #addToTotals(loads: ReadonlyMap<UpstreamId, EngineLoad>, sign: 1 | -1): void {
    for (const [id, load] of loads) {
      const total = this.#totals.get(id) ?? NO_LOAD;
      this.#totals.set(id, {
        backlogTokens: total.backlogTokens + sign * load.backlogTokens,
        runs: total.runs + sign * load.runs,
      });
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
