import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { createRecord } from '../testing/createRecord.js';
import { DistributionActionKind, DistributionEventKind } from './enums.js';
import { createDistribution, getGeneration, reduceDistribution } from './reduceDistribution.js';

import type { VmId } from '@sardinegrade/common';
import type { DistributionAction, DistributionEvent, DistributionState } from './types.js';

const SEED = 20261204;
const DAEMONS = 6;
const WATCHERS = 2;
const STEP_MS = 500;
const NAIVE_INTERVAL_MS = 2_000;

/** What may happen to the fleet at one step. */
enum Happening {
  Nothing = 'nothing',
  Change = 'change',
  OutageBegins = 'outage_begins',
  OutageEnds = 'outage_ends',
  Restart = 'restart',
  CutBegins = 'cut_begins',
  CutEnds = 'cut_ends',
}

/** A platform, a fleet of distribution machines that gossip, and as many naive pollers beside them. */
class Comparison {
  nowMs = 0;
  generation = 0;
  isOutage = false;
  cut: number | undefined;
  productCalls = 0;
  naiveCalls = 0;
  readonly naive: number[] = Array.from({ length: DAEMONS }, () => 0);
  readonly product: DistributionState[] = [];
  private readonly waiting = new Set<number>();

  constructor() {
    for (let index = 0; index < DAEMONS; index += 1) this.resetDaemon(index);
  }

  resetDaemon(index: number): void {
    this.waiting.delete(index);
    this.product[index] = createDistribution({ nowMs: this.nowMs, random: () => 0.5 });
    this.naive[index] = 0;
    const isWatcher = index < WATCHERS;
    this.handle(index, { kind: DistributionEventKind.WatcherChanged, isWatcher });
  }

  step(): void {
    this.nowMs += STEP_MS;
    for (let index = 0; index < DAEMONS; index += 1) {
      this.stepProduct(index);
      if (this.nowMs % NAIVE_INTERVAL_MS === 0) this.stepNaive(index);
    }
  }

  getGenerations(): readonly number[] {
    return this.product.map(getGeneration);
  }

  private canReach(index: number): boolean {
    return index !== this.cut;
  }

  private stepNaive(index: number): void {
    this.naiveCalls += 1;
    if (!this.isOutage && this.canReach(index)) this.naive[index] = this.generation;
  }

  private stepProduct(index: number): void {
    this.handle(index, { kind: DistributionEventKind.Tick });
    const partner = (index + 1 + this.nowMs / STEP_MS) % DAEMONS;
    if (partner === index || !this.canReach(index) || !this.canReach(partner)) return;
    const [from, generation] = [toBranded<VmId>(String(partner)), this.getGenerations()[partner]];
    this.handle(index, { kind: DistributionEventKind.Heard, from, generation: generation ?? 0 });
    this.answerWatch(index);
  }

  private handle(index: number, event: DistributionEvent): void {
    const state = this.product[index];
    assert.ok(state !== undefined);
    const before = getGeneration(state);
    const context = { nowMs: this.nowMs, random: () => 0.5 };
    const step = reduceDistribution(state, event, context);
    assert.ok(getGeneration(step.state) >= before, 'a generation went back');
    this.product[index] = step.state;
    for (const action of step.actions) this.perform(index, action);
  }

  private perform(index: number, action: DistributionAction): void {
    if (action.kind === DistributionActionKind.Install) return;
    if (action.kind === DistributionActionKind.Fetch) {
      this.handle(index, this.answerFetch(index, action.from));
      return;
    }
    this.productCalls += 1;
    if (this.isOutage || !this.canReach(index)) {
      this.handle(index, { kind: DistributionEventKind.PlatformFailed });
      return;
    }
    if (action.kind === DistributionActionKind.Watch) {
      this.waiting.add(index);
      return;
    }
    const record = this.generation === 0 ? undefined : createRecord(this.generation);
    const version = this.generation;
    this.handle(index, { kind: DistributionEventKind.PlatformRead, version, record });
  }

  private answerFetch(index: number, from: VmId): DistributionEvent {
    const generation = this.getGenerations()[Number(from)] ?? 0;
    const isReached = this.canReach(index) && this.canReach(Number(from));
    if (!isReached || generation === 0) return { kind: DistributionEventKind.FetchFailed, from };
    return { kind: DistributionEventKind.Fetched, record: createRecord(generation) };
  }

  /** A watch ends at a change, at an outage, and where its daemon is cut off. */
  private answerWatch(index: number): void {
    if (!this.waiting.has(index)) return;
    const state = this.product[index];
    const isBroken = this.isOutage || !this.canReach(index);
    if (isBroken) {
      this.waiting.delete(index);
      this.handle(index, { kind: DistributionEventKind.PlatformFailed });
      return;
    }
    if (state?.watchVersion === this.generation) return;
    this.waiting.delete(index);
    const record = createRecord(this.generation);
    const version = this.generation;
    this.handle(index, { kind: DistributionEventKind.PlatformWatched, version, record });
  }
}

const HANDLERS: Readonly<Record<Happening, (comparison: Comparison, index: number) => void>> = {
  [Happening.Nothing]: () => undefined,
  [Happening.Change]: (comparison) => {
    if (!comparison.isOutage) comparison.generation += 1;
  },
  [Happening.OutageBegins]: (comparison) => {
    comparison.isOutage = true;
  },
  [Happening.OutageEnds]: (comparison) => {
    comparison.isOutage = false;
  },
  [Happening.Restart]: (comparison, index) => comparison.resetDaemon(index),
  [Happening.CutBegins]: (comparison, index) => {
    comparison.cut = index;
  },
  [Happening.CutEnds]: (comparison) => {
    comparison.cut = undefined;
  },
};

test('the product ends where polling ends, and asks the platform less', () => {
  const happening = fc.record({
    what: fc.oneof(
      { weight: 6, arbitrary: fc.constant(Happening.Nothing) },
      { weight: 4, arbitrary: fc.constantFrom(...Object.values(Happening)) },
    ),
    index: fc.nat(DAEMONS - 1),
  });
  let productCalls = 0;
  let naiveCalls = 0;
  const property = fc.property(fc.array(happening, { maxLength: 120 }), (happenings) => {
    const comparison = new Comparison();
    for (const { what, index } of happenings) {
      HANDLERS[what](comparison, index);
      comparison.step();
    }
    comparison.isOutage = false;
    comparison.cut = undefined;
    comparison.generation += 1;
    // Twice the longest back-off after failures, and far less than the seldom check.
    for (let waitedMs = 0; waitedMs < 40_000; waitedMs += STEP_MS) comparison.step();
    assert.deepEqual(comparison.getGenerations(), comparison.naive);
    productCalls += comparison.productCalls;
    naiveCalls += comparison.naiveCalls;
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
  assert.ok(productCalls < naiveCalls, `${productCalls} calls against ${naiveCalls}`);
});
