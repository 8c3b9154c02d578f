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

/** Takes the actions that concern one ask. */
export type ReplyHandler = (action: DispatchAction) => void;

/** What a host needs of its daemon. */
export interface DispatchHostOptions {
  readonly policy: DispatchPolicy;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly engines: EngineClient;
  /** Without it dispatchers have no spans. */
  readonly tracing?: Tracing;
  /** Tells the other daemons that a request is quarantined. */
  readonly onQuarantine: (fingerprint: Fingerprint, untilMs: number) => void;
  /** What the fleet knows already when a shard comes here: quarantined requests, upstreams that leave. */
  readonly listKnownFacts: () => readonly DispatchEvent[];
  /** Called with each probe's result. */
  readonly onProbe: (upstream: UpstreamId, isHealthy: boolean) => void;
}

interface HostedShard {
  readonly shard: Shard;
  readonly dispatcher: Dispatcher;
  readonly watcher: EngineWatcher;
  lastAskAtMs: number;
}

interface AskOwner {
  readonly shard: ShardKey;
  readonly reply: ReplyHandler;
}

const ENDING_ACTIONS: ReadonlySet<DispatchActionKind> = new Set([DispatchActionKind.Refuse]);

/** Runs the dispatchers of the shards that other daemons, or this one, ask here. */
export class DispatchHost {
  readonly #options: DispatchHostOptions;
  readonly #hosted = new Map<ShardKey, HostedShard>();
  readonly #owners = new Map<string, AskOwner>();
  readonly #spans: DispatchSpans;
  #configuration: Configuration | undefined;
  #table: ShardTable | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: DispatchHostOptions) {
    this.#options = options;
    this.#spans = new DispatchSpans(options.tracing);
  }

  /**
   * Brings a configuration into force.
   *
   * @param configuration - the new configuration
   * @param table - its shards
   */
  readonly applyConfiguration = (configuration: Configuration, table: ShardTable): void => {
    this.#configuration = configuration;
    this.#table = table;
    for (const hosted of this.#hosted.values()) this.#configure(hosted);
  };

  /**
   * Takes an ask.
   *
   * @param key - the shard asked
   * @param ask - the ask, in this daemon's time
   * @param reply - receives what is decided, now or later
   */
  readonly ask = (key: ShardKey, ask: GrantRequest, reply: ReplyHandler): void => {
    const hosted = this.#getHosted(key);
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
    hosted.lastAskAtMs = this.#options.clock.getNowMs();
    this.#spans.start(key, ask);
    this.#owners.set(ask.askId, { shard: key, reply });
    this.#handle(hosted, { kind: DispatchEventKind.Ask, ask });
  };

  /**
   * Takes an event about an ask already known; one about an unknown ask is dropped.
   *
   * @param askId - the ask
   * @param event - what happened to it
   */
  readonly update = (askId: string, event: DispatchEvent): void => {
    const owner = this.#owners.get(askId);
    const hosted = owner === undefined ? undefined : this.#hosted.get(owner.shard);
    if (hosted === undefined) return;
    this.#handle(hosted, event);
    if (event.kind === DispatchEventKind.Progress) return;
    this.#owners.delete(askId);
    this.#spans.finish(askId);
  };

  /**
   * Tells all dispatchers here of something that concerns every shard.
   *
   * @param event - the event
   */
  readonly notifyAll = (event: DispatchEvent): void => {
    for (const hosted of this.#hosted.values()) this.#handle(hosted, event);
  };

  /**
   * Lists the load of shards hosted here.
   *
   * @param keys - the shards wanted
   * @returns the load of those that are hosted here
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

  /** @returns a description of each shard hosted here */
  readonly describe = (): ReadonlyMap<ShardKey, DispatcherSnapshot> =>
    new Map([...this.#hosted].map(([key, { dispatcher }]) => [key, dispatcher.describe()]));

  /** Stops all timers and polls. */
  readonly stop = (): void => {
    clearInterval(this.#timer);
    for (const { watcher } of this.#hosted.values()) watcher.stop();
    this.#hosted.clear();
  };

  readonly #getHosted = (key: ShardKey): HostedShard | undefined => {
    const known = this.#hosted.get(key);
    if (known !== undefined) return known;
    const shard = this.#table?.getShard(key);
    if (shard === undefined) return undefined;
    const { policy, random, engines, clock } = this.#options;
    const hosted: HostedShard = {
      shard,
      dispatcher: createDispatcher({ policy, random }),
      watcher: new EngineWatcher(engines, (event) => this.#handle(hosted, event)),
      lastAskAtMs: clock.getNowMs(),
    };
    this.#hosted.set(key, hosted);
    this.#configure(hosted);
    for (const event of this.#options.listKnownFacts()) this.#handle(hosted, event);
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
      if (nowMs - hosted.lastAskAtMs > IDLE_SHARD_MS) this.#retire(key, hosted);
    }
  };

  readonly #retire = (key: ShardKey, hosted: HostedShard): void => {
    for (const owner of this.#owners.values()) if (owner.shard === key) return;
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
    const owner = this.#owners.get(action.askId);
    if (owner === undefined) return;
    this.#finishSpan(action);
    if (ENDING_ACTIONS.has(action.kind)) this.#owners.delete(action.askId);
    owner.reply(action);
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
    // Without this the dispatcher never learns what ran on the engine when it died.
    if (!isHealthy) this.#handle(hosted, { kind: DispatchEventKind.UpstreamLost, upstream });
  };
}
