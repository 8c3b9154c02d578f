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
const DAEMON_COUNT = 6;
const WATCHER_COUNT = 2;
const STEP_MS = 500;
const NAIVE_INTERVAL_MS = 2_000;

/** Events that may affect the fleet at one step. */
enum FleetEvent {
  Nothing = 'nothing',
  Change = 'change',
  OutageBegins = 'outage_begins',
  OutageEnds = 'outage_ends',
  Restart = 'restart',
  PartitionBegins = 'cut_begins',
  PartitionEnds = 'cut_ends',
}

/** A platform, a fleet of distribution state machines that gossip, and the same number of naive pollers. */
class Comparison {
  nowMs = 0;
  generation = 0;
  isOutage = false;
  partitionedIndex: number | undefined;
  machineCalls = 0;
  naiveCalls = 0;
  readonly naive: number[] = Array.from({ length: DAEMON_COUNT }, () => 0);
  readonly machines: DistributionState[] = [];
  private readonly pendingWatches = new Set<number>();

  constructor() {
    for (let index = 0; index < DAEMON_COUNT; index += 1) this.resetDaemon(index);
  }

  resetDaemon(index: number): void {
    this.pendingWatches.delete(index);
    this.machines[index] = createDistribution({ nowMs: this.nowMs, random: () => 0.5 });
    this.naive[index] = 0;
    const isWatcher = index < WATCHER_COUNT;
    this.handle(index, { kind: DistributionEventKind.WatcherChanged, isWatcher });
  }

  step(): void {
    this.nowMs += STEP_MS;
    for (let index = 0; index < DAEMON_COUNT; index += 1) {
      this.stepMachine(index);
      if (this.nowMs % NAIVE_INTERVAL_MS === 0) this.stepNaivePoller(index);
    }
  }

  getGenerations(): readonly number[] {
    return this.machines.map(getGeneration);
  }

  private canReach(index: number): boolean {
    return index !== this.partitionedIndex;
  }

  private stepNaivePoller(index: number): void {
    this.naiveCalls += 1;
    if (!this.isOutage && this.canReach(index)) this.naive[index] = this.generation;
  }

  private stepMachine(index: number): void {
    this.handle(index, { kind: DistributionEventKind.Tick });
    const partner = (index + 1 + this.nowMs / STEP_MS) % DAEMON_COUNT;
    if (partner === index || !this.canReach(index) || !this.canReach(partner)) return;
    const [from, generation] = [toBranded<VmId>(String(partner)), this.getGenerations()[partner]];
    this.handle(index, {
      kind: DistributionEventKind.GenerationReported,
      from,
      generation: generation ?? 0,
    });
    this.answerWatch(index);
  }

  private handle(index: number, event: DistributionEvent): void {
    const state = this.machines[index];
    assert.ok(state !== undefined);
    const before = getGeneration(state);
    const context = { nowMs: this.nowMs, random: () => 0.5 };
    const step = reduceDistribution(state, event, context);
    assert.ok(getGeneration(step.state) >= before, 'the generation decreased');
    this.machines[index] = step.state;
    for (const action of step.actions) this.perform(index, action);
  }

  private perform(index: number, action: DistributionAction): void {
    if (action.kind === DistributionActionKind.Install) return;
    if (action.kind === DistributionActionKind.Fetch) {
      this.handle(index, this.answerFetch(index, action.from));
      return;
    }
    this.machineCalls += 1;
    if (this.isOutage || !this.canReach(index)) {
      this.handle(index, { kind: DistributionEventKind.PlatformFailed });
      return;
    }
    if (action.kind === DistributionActionKind.Watch) {
      this.pendingWatches.add(index);
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

  /** Ends a watch when the configuration changes, the platform is down, or the daemon is partitioned. */
  private answerWatch(index: number): void {
    if (!this.pendingWatches.has(index)) return;
    const state = this.machines[index];
    const isBroken = this.isOutage || !this.canReach(index);
    if (isBroken) {
      this.pendingWatches.delete(index);
      this.handle(index, { kind: DistributionEventKind.PlatformFailed });
      return;
    }
    if (state?.watchVersion === this.generation) return;
    this.pendingWatches.delete(index);
    const record = createRecord(this.generation);
    const version = this.generation;
    this.handle(index, { kind: DistributionEventKind.PlatformWatched, version, record });
  }
}

const HANDLERS: Readonly<Record<FleetEvent, (comparison: Comparison, index: number) => void>> = {
  [FleetEvent.Nothing]: () => undefined,
  [FleetEvent.Change]: (comparison) => {
    if (!comparison.isOutage) comparison.generation += 1;
  },
  [FleetEvent.OutageBegins]: (comparison) => {
    comparison.isOutage = true;
  },
  [FleetEvent.OutageEnds]: (comparison) => {
    comparison.isOutage = false;
  },
  [FleetEvent.Restart]: (comparison, index) => comparison.resetDaemon(index),
  [FleetEvent.PartitionBegins]: (comparison, index) => {
    comparison.partitionedIndex = index;
  },
  [FleetEvent.PartitionEnds]: (comparison) => {
    comparison.partitionedIndex = undefined;
  },
};

test('distribution converges on the same generation as polling, with fewer platform calls', () => {
  const fleetEvent = fc.record({
    kind: fc.oneof(
      { weight: 6, arbitrary: fc.constant(FleetEvent.Nothing) },
      { weight: 4, arbitrary: fc.constantFrom(...Object.values(FleetEvent)) },
    ),
    index: fc.nat(DAEMON_COUNT - 1),
  });
  let machineCalls = 0;
  let naiveCalls = 0;
  const property = fc.property(fc.array(fleetEvent, { maxLength: 120 }), (fleetEvents) => {
    const comparison = new Comparison();
    for (const { kind, index } of fleetEvents) {
      HANDLERS[kind](comparison, index);
      comparison.step();
    }
    comparison.isOutage = false;
    comparison.partitionedIndex = undefined;
    comparison.generation += 1;
    // At least twice the longest back-off after failures, and far shorter than the check interval.
    for (let waitedMs = 0; waitedMs < 40_000; waitedMs += STEP_MS) comparison.step();
    assert.deepEqual(comparison.getGenerations(), comparison.naive);
    machineCalls += comparison.machineCalls;
    naiveCalls += comparison.naiveCalls;
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
  assert.ok(machineCalls < naiveCalls, `${machineCalls} calls against ${naiveCalls}`);
});
