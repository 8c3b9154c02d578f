import { DispatchEventKind } from '@sardinegrade/dispatch';

import { CACHE_EVENT_WAIT_MS, LOAD_POLL_INTERVAL_MS } from './constants.js';

import type { UpstreamConfiguration, UpstreamId } from '@sardinegrade/common';
import type { DispatchEvent } from '@sardinegrade/dispatch';
import type { EngineClient } from '@sardinegrade/upstream';

interface WatchedEngine {
  upstream: UpstreamConfiguration;
  isStopped: boolean;
  lastSequence: number;
}

/** Polls the load reports and cache events of a shard's engines and emits them as dispatch events. */
export class EngineWatcher {
  readonly #engines: EngineClient;
  readonly #onEvent: (event: DispatchEvent) => void;
  readonly #watched = new Map<UpstreamId, WatchedEngine>();
  readonly #timer: NodeJS.Timeout;

  constructor(engines: EngineClient, onEvent: (event: DispatchEvent) => void) {
    this.#engines = engines;
    this.#onEvent = onEvent;
    this.#timer = setInterval(this.#pollLoads, LOAD_POLL_INTERVAL_MS);
  }

  /**
   * Replaces the set of watched engines.
   *
   * @param upstreams - all engines of the shard
   */
  readonly update = (upstreams: readonly UpstreamConfiguration[]): void => {
    const wanted = new Set(upstreams.map(({ id }) => id));
    for (const [id, engine] of this.#watched) if (!wanted.has(id)) this.#remove(id, engine);
    for (const upstream of upstreams) this.#addOrUpdate(upstream);
  };

  readonly stop = (): void => {
    clearInterval(this.#timer);
    for (const [id, engine] of this.#watched) this.#remove(id, engine);
  };

  readonly #addOrUpdate = (upstream: UpstreamConfiguration): void => {
    const existing = this.#watched.get(upstream.id);
    if (existing !== undefined) {
      existing.upstream = upstream;
      return;
    }
    const engine: WatchedEngine = { upstream, isStopped: false, lastSequence: 0 };
    this.#watched.set(upstream.id, engine);
    void this.#pollLoad(engine);
    void this.#followCache(engine);
  };

  readonly #remove = (id: UpstreamId, engine: WatchedEngine): void => {
    engine.isStopped = true;
    this.#watched.delete(id);
  };

  readonly #pollLoads = (): void => {
    for (const engine of this.#watched.values()) void this.#pollLoad(engine);
  };

  readonly #pollLoad = async (engine: WatchedEngine): Promise<void> => {
    try {
      const load = await this.#engines.readLoad(engine.upstream);
      if (engine.isStopped) return;
      const report = { upstream: engine.upstream.id, ...load };
      this.#onEvent({ kind: DispatchEventKind.LoadReport, report });
    } catch {
      // A missing report doesn't prove that the engine is lost; releases and probes detect that.
    }
  };

  readonly #followCache = async (engine: WatchedEngine): Promise<void> => {
    while (!engine.isStopped) {
      try {
        await this.#readCacheEvents(engine);
      } catch {
        await new Promise((resolve) => setTimeout(resolve, LOAD_POLL_INTERVAL_MS));
      }
    }
  };

  readonly #readCacheEvents = async (engine: WatchedEngine): Promise<void> => {
    const { upstream, lastSequence } = engine;
    const events = await this.#engines.readCacheEvents(upstream, lastSequence, CACHE_EVENT_WAIT_MS);
    if (engine.isStopped) return;
    for (const event of events) {
      engine.lastSequence = Math.max(engine.lastSequence, event.sequence);
      this.#onEvent({
        kind: DispatchEventKind.CacheEvent,
        event: { upstream: upstream.id, ...event },
      });
    }
  };
}
