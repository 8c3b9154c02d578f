import { ResultCode } from '@sardinegrade/common';
import { createDispatcher, DispatchActionKind, DispatchEventKind } from '@sardinegrade/dispatch';

import { DispatchSpans } from './DispatchSpans.js';
import { EngineWatcher } from './EngineWatcher.js';
import { IDLE_SHARD_MS, TICK_INTERVAL_MS } from './constants.js';
import { buildShardLoad } from './shardLoad.js';

import type { Clock, Configuration, Fingerprint, Tracing, UpstreamId } from '@sardinegrade/common';
import type {
  DispatchAction,
  Dispatcher,
  DispatcherSnapshot,
  DispatchEvent,
  DispatchPolicy,
  GrantRequest,
  RandomSource,
} from '@sardinegrade/dispatch';
import type { EngineClient } from '@sardinegrade/upstream';
import type { ShardTable } from './shards.js';
import type { Shard, ShardKey, ShardLoad } from './types.js';

/** Receives the dispatcher's actions for one grant request. */
export type ReplyHandler = (action: DispatchAction) => void;

/** Settings and dependencies of a `DispatchHost`. */
export interface DispatchHostOptions {
  readonly policy: DispatchPolicy;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly engines: EngineClient;
  /** If undefined, no dispatch spans are recorded. */
  readonly tracing?: Tracing;
  /** Called to publish a quarantined request to the other daemons. */
  readonly onQuarantine: (fingerprint: Fingerprint, untilMs: number) => void;
  /**
   * Lists the unexpired quarantines and the leaving upstreams that the fleet has published; they are passed to the
   * dispatcher of a newly created shard.
   */
  readonly listKnownEvents: () => readonly DispatchEvent[];
  /** Called with the result of each probe. */
  readonly onProbe: (upstream: UpstreamId, isHealthy: boolean) => void;
}

interface HostedShard {
  readonly shard: Shard;
  readonly dispatcher: Dispatcher;
  readonly watcher: EngineWatcher;
  lastRequestAtMs: number;
}

/** Shard and reply handler of a grant request, kept until its end is reported. */
interface TrackedRequest {
  readonly shard: ShardKey;
  readonly reply: ReplyHandler;
}

/** Actions after which no further event of the request is expected. */
const FINAL_ACTIONS: ReadonlySet<DispatchActionKind> = new Set([DispatchActionKind.Refuse]);

/** Runs the dispatchers of those shards for which this daemon receives grant requests. */
export class DispatchHost {
  readonly #options: DispatchHostOptions;
  readonly #hosted = new Map<ShardKey, HostedShard>();
  readonly #trackedRequests = new Map<string, TrackedRequest>();
  readonly #spans: DispatchSpans;
  #configuration: Configuration | undefined;
  #table: ShardTable | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: DispatchHostOptions) {
    this.#options = options;
    this.#spans = new DispatchSpans(options.tracing);
  }

  /**
   * Applies a configuration to all shards hosted here.
   *
   * @param configuration - the new configuration
   * @param table - the shards of this configuration
   */
  readonly applyConfiguration = (configuration: Configuration, table: ShardTable): void => {
    this.#configuration = configuration;
    this.#table = table;
    for (const hosted of this.#hosted.values()) this.#configure(hosted);
  };

  /**
   * Passes a grant request to the dispatcher of its shard.
   *
   * @param key - identifies the shard
   * @param ask - the grant request; its times are in the clock of this daemon
   * @param reply - receives the decisions, during this call or later
   */
  readonly requestGrant = (key: ShardKey, ask: GrantRequest, reply: ReplyHandler): void => {
    const hosted = this.#getOrCreateHosted(key);
    if (hosted === undefined) {
      const { askId } = ask;
      reply({
        kind: DispatchActionKind.Refuse,
        askId,
        code: ResultCode.NotReady,
        retryAfterMs: TICK_INTERVAL_MS,
      });
      return;
    }
    hosted.lastRequestAtMs = this.#options.clock.getNowMs();
    this.#spans.start(key, ask);
    this.#trackedRequests.set(ask.askId, { shard: key, reply });
    this.#handle(hosted, { kind: DispatchEventKind.Ask, ask });
  };

  /**
   * Passes on an event of a tracked grant request; an event of an unknown request is ignored.
   *
   * @param askId - id of the grant request
   * @param event - progress, release or withdrawal
   */
  readonly update = (askId: string, event: DispatchEvent): void => {
    const tracked = this.#trackedRequests.get(askId);
    const hosted = tracked === undefined ? undefined : this.#hosted.get(tracked.shard);
    if (hosted === undefined) return;
    this.#handle(hosted, event);
    if (event.kind === DispatchEventKind.Progress) return;
    this.#trackedRequests.delete(askId);
    this.#spans.finish(askId);
  };

  /**
   * Passes an event to the dispatchers of all shards hosted here.
   *
   * @param event - an event that is relevant to every shard
   */
  readonly notifyAll = (event: DispatchEvent): void => {
    for (const hosted of this.#hosted.values()) this.#handle(hosted, event);
  };

  /**
   * Lists the loads of shards.
   *
   * @param keys - the requested shards
   * @returns the load of each requested shard that is hosted here
   */
  readonly listLoads = (keys: ReadonlySet<ShardKey>): ReadonlyMap<ShardKey, ShardLoad> => {
    const configuration = this.#configuration;
    if (configuration === undefined) return new Map();
    const atMs = this.#options.clock.getNowMs();
    return new Map(
      [...this.#hosted]
        .filter(([key]) => keys.has(key))
        .map(([key, { dispatcher }]) => [
          key,
          buildShardLoad(dispatcher.describe(), configuration, atMs),
        ]),
    );
  };

  /** @returns the dispatcher state of each shard hosted here */
  readonly describe = (): ReadonlyMap<ShardKey, DispatcherSnapshot> =>
    new Map([...this.#hosted].map(([key, { dispatcher }]) => [key, dispatcher.describe()]));

  /** Stops all timers and polling. */
  readonly stop = (): void => {
    clearInterval(this.#timer);
    for (const { watcher } of this.#hosted.values()) watcher.stop();
    this.#hosted.clear();
  };

  readonly #getOrCreateHosted = (key: ShardKey): HostedShard | undefined => {
    const existing = this.#hosted.get(key);
    if (existing !== undefined) return existing;
    const shard = this.#table?.getShard(key);
    if (shard === undefined) return undefined;
    const { policy, random, engines, clock } = this.#options;
    const hosted: HostedShard = {
      shard,
      dispatcher: createDispatcher({ policy, random }),
      watcher: new EngineWatcher(engines, (event) => this.#handle(hosted, event)),
      lastRequestAtMs: clock.getNowMs(),
    };
    this.#hosted.set(key, hosted);
    this.#configure(hosted);
    for (const event of this.#options.listKnownEvents()) this.#handle(hosted, event);
    this.#timer ??= setInterval(this.#tick, TICK_INTERVAL_MS);
    return hosted;
  };

  readonly #configure = (hosted: HostedShard): void => {
    const configuration = this.#configuration;
    if (configuration === undefined) return;
    const upstreams = this.#table?.getShard(hosted.shard.key)?.upstreams ?? [];
    this.#handle(hosted, { kind: DispatchEventKind.Configured, configuration, upstreams });
    hosted.watcher.update(upstreams.flatMap((id) => configuration.upstreams.get(id) ?? []));
  };

  readonly #tick = (): void => {
    const nowMs = this.#options.clock.getNowMs();
    for (const [key, hosted] of this.#hosted) {
      this.#handle(hosted, { kind: DispatchEventKind.Tick });
      if (nowMs - hosted.lastRequestAtMs > IDLE_SHARD_MS) this.#removeIfUnused(key, hosted);
    }
  };

  readonly #removeIfUnused = (key: ShardKey, hosted: HostedShard): void => {
    for (const tracked of this.#trackedRequests.values()) if (tracked.shard === key) return;
    hosted.watcher.stop();
    this.#hosted.delete(key);
  };

  readonly #handle = (hosted: HostedShard, event: DispatchEvent): void => {
    const actions = hosted.dispatcher.handle(event, this.#options.clock.getNowMs());
    for (const action of actions) this.#perform(hosted, action);
  };

  readonly #perform = (hosted: HostedShard, action: DispatchAction): void => {
    if (action.kind === DispatchActionKind.ProbeUpstream) {
      void this.#probe(hosted, action.upstream);
      return;
    }
    if (action.kind === DispatchActionKind.Quarantine) {
      this.#options.onQuarantine(action.fingerprint, action.untilMs);
      return;
    }
    const tracked = this.#trackedRequests.get(action.askId);
    if (tracked === undefined) return;
    this.#finishSpan(action);
    if (FINAL_ACTIONS.has(action.kind)) this.#trackedRequests.delete(action.askId);
    tracked.reply(action);
  };

  readonly #finishSpan = (action: DispatchAction): void => {
    if (action.kind === DispatchActionKind.Grant) {
      this.#spans.finish(action.askId, { upstream: action.upstream });
    }
    if (action.kind === DispatchActionKind.Refuse) {
      this.#spans.finish(action.askId, { code: action.code });
    }
  };

  readonly #probe = async (hosted: HostedShard, upstream: UpstreamId): Promise<void> => {
    const target = this.#configuration?.upstreams.get(upstream);
    const isHealthy = target !== undefined && (await this.#options.engines.probe(target));
    this.#options.onProbe(upstream, isHealthy);
    this.#handle(hosted, { kind: DispatchEventKind.UpstreamProbed, upstream, isHealthy });
    // The dispatcher needs this event to find the requests that were running on the engine when it died.
    if (!isHealthy) this.#handle(hosted, { kind: DispatchEventKind.UpstreamLost, upstream });
  };
}
