import { test } from 'node:test';

import { Tier, toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { createDispatcher } from '../createDispatcher.js';
import { DispatchEventKind, DispatchPolicy } from '../enums.js';
import { createRandomSource } from '../random.js';
import {
  buildAsk,
  buildConfiguration,
  InvariantObserver,
  SimulatedShard,
  toEngineId,
} from '../testing/index.js';

import type { ClassConfiguration, UpstreamId } from '@sardinegrade/common';
import type { DispatchEvent } from '../types.js';

const SEED = 20261204;
const ENGINE_COUNT = 3;
const SLOTS_PER_ENGINE = 2;

const CLASSES: readonly Partial<ClassConfiguration>[] = [
  { name: toBranded('urgent'), tier: Tier.Premium, queueLimit: 4, deadlineMs: 3_000 },
  { name: toBranded('query'), tier: Tier.Paying, queueLimit: 4, deadlineMs: 3_000 },
  { name: toBranded('report'), tier: Tier.Paying, priority: 1, queueLimit: 6 },
  { name: toBranded('trial'), tier: Tier.Trial, queueLimit: 4, deadlineMs: 4_000 },
  { name: toBranded('history'), tier: Tier.Free, queueLimit: 6, minimumShare: 0.1 },
];

/**
 * One step of a random scenario. `pick` is reduced to the index of an engine, class or open request; `leave` and
 * `repeat` ignore it. A `bodyNumber` of 0 is a poison request, which crashes every engine that runs it. Bit n of
 * `memberMask` adds engine n to the shard; a `drainedIndex` of ENGINE_COUNT means that no engine is draining.
 */
type Command =
  | {
      kind: 'ask';
      classIndex: number;
      workspace: number;
      tokens: number;
      timeLeftMs: number;
      bodyNumber: number;
    }
  | { kind: 'advance'; durationMs: number }
  | { kind: 'abort' | 'start' | 'leave' | 'probe' | 'repeat' | 'cache'; pick: number }
  | { kind: 'cancel' | 'held'; pick: number }
  | { kind: 'report'; pick: number; lagMs: number }
  | { kind: 'configure'; memberMask: number; drainedIndex: number };

const PICK = fc.nat(1_000);

const COMMAND: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 20,
    arbitrary: fc.record({
      kind: fc.constant('ask' as const),
      classIndex: fc.nat(4),
      workspace: fc.nat(2),
      tokens: fc.integer({ min: 1, max: 120 }),
      timeLeftMs: fc.constantFrom(150, 600, 3_000, 20_000),
      bodyNumber: fc.nat(150),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      durationMs: fc.constantFrom(10, 100, 400, 1_500),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('start', 'probe', 'repeat', 'cache'),
      pick: PICK,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constantFrom('leave' as const, 'abort' as const), pick: PICK }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constantFrom('cancel' as const, 'held' as const), pick: PICK }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('report' as const),
      pick: PICK,
      lagMs: fc.constantFrom(0, 500, 5_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('configure' as const),
      memberMask: fc.integer({ min: 1, max: 2 ** ENGINE_COUNT - 1 }),
      drainedIndex: fc.nat(ENGINE_COUNT),
    }),
  },
);

const toEngine = (pick: number): UpstreamId => toEngineId(pick % ENGINE_COUNT);

/** A shard, its dispatcher, and the observer that checks all events and actions between them. */
class Scenario {
  readonly observer: InvariantObserver;
  readonly shard: SimulatedShard;
  private last: DispatchEvent = { kind: DispatchEventKind.Tick };
  private asks = 0;

  constructor(seed: number) {
    const dispatcher = createDispatcher({
      policy: DispatchPolicy.Tiered,
      random: createRandomSource(seed),
    });
    this.observer = new InvariantObserver(dispatcher);
    const shapes = Array.from({ length: ENGINE_COUNT }, (_, index) => ({
      id: toEngineId(index),
      slots: SLOTS_PER_ENGINE,
      baseIntervalMs: 20,
      batchingCost: 0.5,
      prefillMsPerToken: 0.2,
    }));
    this.shard = new SimulatedShard(dispatcher, shapes, (event, actions, nowMs) => {
      this.last = event;
      this.observer.observe(event, actions, nowMs);
    });
    this.sendConfiguration(2 ** ENGINE_COUNT - 1, ENGINE_COUNT);
  }

  run(command: Command): void {
    switch (command.kind) {
      case 'ask':
        this.ask(command);
        return;
      case 'advance':
        this.shard.advance(command.durationMs);
        return;
      case 'abort':
        this.shard.stopEngine(toEngine(command.pick));
        return;
      case 'start':
        this.shard.startEngine(toEngine(command.pick));
        return;
      case 'leave':
        this.shard.send({
          kind: DispatchEventKind.UpstreamLeaving,
          upstream: toEngineId(ENGINE_COUNT - 1),
        });
        return;
      case 'probe':
        this.probe(toEngine(command.pick));
        return;
      case 'repeat':
        this.sendAgain();
        return;
      case 'cache':
        this.sendCacheEvent(command.pick);
        return;
      case 'cancel':
        this.cancel(command.pick);
        return;
      case 'held':
        this.registerHeld(command.pick);
        return;
      case 'report':
        this.shard.reportLoad(toEngine(command.pick), this.shard.currentTimeMs - command.lagMs);
        return;
      case 'configure':
        this.sendConfiguration(command.memberMask, command.drainedIndex);
        return;
    }
  }

  finish(): void {
    for (let step = 0; step < 400 && this.shard.openCount > 0; step += 1) this.shard.advance(200);
    this.observer.checkAllAnswered();
  }

  private ask(command: Extract<Command, { kind: 'ask' }>): void {
    const isPoison = command.bodyNumber === 0;
    this.asks += 1;
    this.shard.request({
      ask: buildAsk({
        askId: `ask-${this.asks}`,
        className: CLASSES[command.classIndex]?.name ?? '',
        workspace: `workspace-${command.workspace}`,
        arrivedAtMs: this.shard.currentTimeMs,
        deadlineAtMs: this.shard.currentTimeMs + command.timeLeftMs,
        maxTokens: command.tokens * 2,
        prefixBlocks: [command.bodyNumber % 4, 100 + (command.bodyNumber % 8)],
        fingerprint: isPoison ? 'poison' : `body-${this.asks}`,
      }),
      outputTokens: command.tokens,
      isPoison,
    });
  }

  private probe(upstream: UpstreamId): void {
    const isHealthy = this.shard.engines.get(upstream)?.isAlive === true;
    this.shard.send({ kind: DispatchEventKind.UpstreamProbed, upstream, isHealthy });
  }

  /** Repeats the last event, unless it was a configuration. */
  private sendAgain(): void {
    const { last } = this;
    if (last.kind !== DispatchEventKind.Configured) this.shard.send(last);
  }

  private sendCacheEvent(pick: number): void {
    const event = {
      upstream: toEngine(pick),
      sequence: pick,
      stored: [pick % 4],
      evicted: [pick % 8],
    };
    this.shard.send({ kind: DispatchEventKind.CacheEvent, event });
  }

  private cancel(pick: number): void {
    const open = this.shard.listOpen();
    const askId = open[pick % Math.max(1, open.length)];
    if (askId !== undefined) this.shard.cancel(askId);
  }

  private registerHeld(pick: number): void {
    this.asks += 1;
    const ask = buildAsk({
      askId: `held-${this.asks}`,
      className: CLASSES[pick % CLASSES.length]?.name ?? '',
      heldUpstream: toEngine(pick),
      deadlineAtMs: this.shard.currentTimeMs + 2_000,
    });
    this.shard.send({ kind: DispatchEventKind.Ask, ask });
  }

  private sendConfiguration(memberMask: number, drainedIndex: number): void {
    const configuration = buildConfiguration({
      engines: ENGINE_COUNT,
      slots: SLOTS_PER_ENGINE,
      classes: CLASSES,
      drained: drainedIndex === ENGINE_COUNT ? [] : [toEngineId(drainedIndex)],
    });
    const upstreams = [...configuration.upstreams.keys()].filter(
      (_, index) => (memberMask >> index) % 2 === 1,
    );
    this.shard.send({ kind: DispatchEventKind.Configured, configuration, upstreams });
  }
}

test('the invariants hold for random sequences of arrivals, crashes, reports and configuration changes', () => {
  const property = fc.property(
    fc.array(COMMAND, { minLength: 1, maxLength: 160, size: 'max' }),
    fc.nat(),
    (commands, seed) => {
      const scenario = new Scenario(seed);
      for (const command of commands) scenario.run(command);
      scenario.finish();
    },
  );
  fc.assert(property, {
    seed: SEED,
    includeErrorInReport: true,
    numRuns: 2_000,
  });
});
