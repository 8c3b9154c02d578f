import { RELAYED_INTERVAL_MS } from './computeReportInterval.js';
import { LoadScope } from './enums.js';
import { listRelays } from './listRelays.js';
import { RelaySelector } from './RelaySelector.js';
import { mergeLoads } from './SharedLoadView.js';

import type { DataCentreName, SocketAddress, VmId } from '@sardinegrade/common';
import type { DataCentreMonitor } from './DataCentreMonitor.js';
import type { SharedLoadView } from './SharedLoadView.js';
import type { EngineLoads, LoadMessage, News, OutgoingMessage, Peer, VmIdentity } from './types.js';

/** A VM that reports to this one gets digests until it was silent for this long, in milliseconds. */
const SUBSCRIBER_TIMEOUT_MS = 1_000;

/** Placements and crashes that wait for the next report, at most each; the oldest are left out. */
const MAX_PENDING_NEWS = 64;

/** What a gossip needs. */
export interface LoadGossipOptions {
  readonly identity: VmIdentity;
  readonly view: SharedLoadView;
  readonly dataCentres: DataCentreMonitor;
}

interface Subscriber {
  readonly address: SocketAddress;
  readonly reportedAtMs: number;
}

/** News with the VM that they came from. */
interface ReceivedNews {
  readonly source: VmId;
  /** Whether the sender tells the other relays itself. */
  readonly isSentToRelays: boolean;
  readonly news: News;
}

const NO_NEWS: News = { placements: [], crashes: [] };

const mergeNews = (received: readonly ReceivedNews[]): News => ({
  placements: received.flatMap(({ news }) => news.placements).slice(-MAX_PENDING_NEWS),
  crashes: received.flatMap(({ news }) => news.crashes).slice(-MAX_PENDING_NEWS),
});

/**
 * Decides what a VM tells others of the work at the engines. In a small fleet each VM tells all; in a large one most
 * tell a relay, relays tell each other, and each relay sends a digest of everything back.
 *
 * Load pattern: see `listRelays`.
 */
export class LoadGossip {
  readonly #relaySelector: RelaySelector;
  readonly #subscribers = new Map<VmId, Subscriber>();
  #relays: readonly Peer[] = [];
  #isRelay = false;
  #isDirect = true;
  #pendingNews: ReceivedNews[] = [];
  #sequence = 0;

  /** @param options - this VM, and what it believes of the others */
  constructor(private readonly options: LoadGossipOptions) {
    this.#relaySelector = new RelaySelector(options.identity);
  }

  /** Whether there is something to tell beside loads. */
  get hasNews(): boolean {
    return this.#pendingNews.length > 0;
  }

  /** Whether each VM tells all others. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  /** Replaces the other VMs. */
  setPeers(peers: readonly Peer[]): void {
    const { identity } = this.options;
    const self: Peer = { ...identity, address: { host: '', port: 0 } };
    const relays = listRelays([...peers, self]);
    this.#isRelay = relays.includes(self);
    this.#isDirect = relays.length === peers.length + 1;
    this.#relays = relays.filter((relay) => relay !== self);
    this.#relaySelector.setRelays(this.#relays);
  }

  /** Adds news of this VM to the next report. */
  addNews(news: Partial<News>): void {
    this.#pushNews({
      source: this.options.identity.vm,
      isSentToRelays: false,
      news: { ...NO_NEWS, ...news },
    });
  }

  /**
   * Takes a message of another VM into account.
   *
   * @param message - the message
   * @param address - where it came from
   * @param nowMs - the present
   * @returns whether it was news; its placements and crashes are for the caller to apply
   */
  receive(message: LoadMessage, address: SocketAddress, nowMs: number): boolean {
    this.options.dataCentres.recordReport(message.dataCentre, nowMs);
    switch (message.scope) {
      case LoadScope.ForAll:
      case LoadScope.ForRelay:
        return this.#receiveReport(message, address, nowMs);
      case LoadScope.Digest:
        return this.#receiveDigest(message, nowMs);
      case LoadScope.News:
        this.#pushNewsFrom(message);
        return true;
    }
  }

  /**
   * Builds the messages that are due.
   *
   * @param ownLoads - this VM's work
   * @param nowMs - the present
   * @returns messages and where they go
   */
  tick(ownLoads: EngineLoads, nowMs: number): readonly OutgoingMessage[] {
    this.#dropSilentSubscribers(nowMs);
    const outgoing = this.#buildReports(ownLoads, nowMs);
    for (const [name, { address }] of this.#subscribers) {
      outgoing.push({ address, message: this.#buildDigest(name, ownLoads, nowMs) });
    }
    this.#pendingNews = [];
    return outgoing;
  }

  #pushNews(received: ReceivedNews): void {
    const { placements, crashes } = received.news;
    if (placements.length === 0 && crashes.length === 0) return;
    this.#pendingNews.push(received);
    if (this.#pendingNews.length > MAX_PENDING_NEWS) this.#pendingNews.shift();
  }

  /** Notes news to be passed on: those of relays have reached the other relays already. */
  #pushNewsFrom(message: LoadMessage): void {
    const isSentToRelays = !this.#subscribers.has(message.vm);
    this.#pushNews({ source: message.vm, isSentToRelays, news: message });
  }

  #receiveReport(message: LoadMessage, address: SocketAddress, nowMs: number): boolean {
    if (!this.options.view.apply(message, nowMs)) return false;
    // The sender knows best whether it reports to this VM: lists of VMs differ for some seconds after changes.
    if (message.scope === LoadScope.ForRelay) {
      this.#subscribers.set(message.vm, { address, reportedAtMs: nowMs });
    } else this.#subscribers.delete(message.vm);
    this.#pushNewsFrom(message);
    return true;
  }

  #receiveDigest(message: LoadMessage, nowMs: number): boolean {
    const { view, dataCentres } = this.options;
    // A VM that is a relay by its own list hears the others directly.
    if (this.#isRelay || !this.#relaySelector.recordDigest(message.vm, nowMs)) return false;
    for (const relay of this.#relays) {
      if (relay.vm !== message.vm) view.remove(relay.vm);
    }
    for (const [dataCentre, ageMs] of message.dataCentreAges) {
      // What a digest tells is up to one interval older than what this VM would have heard itself.
      dataCentres.recordReport(dataCentre, nowMs - Math.max(0, ageMs - RELAYED_INTERVAL_MS));
    }
    if (!view.apply(message, nowMs)) return false;
    this.#pushNewsFrom(message);
    return true;
  }

  #dropSilentSubscribers(nowMs: number): void {
    for (const [vm, { reportedAtMs }] of this.#subscribers) {
      if (nowMs - reportedAtMs > SUBSCRIBER_TIMEOUT_MS) this.#subscribers.delete(vm);
    }
  }

  #buildReports(ownLoads: EngineLoads, nowMs: number): OutgoingMessage[] {
    const targets = this.#isRelay ? this.#relays : this.#relaySelector.listTargets(nowMs);
    if (targets.length === 0) return [];
    const { view } = this.options;
    let engines = ownLoads;
    let vmCount = 1;
    for (const vm of this.#subscribers.keys()) {
      const report = view.find(vm);
      if (report === undefined) continue;
      engines = mergeLoads(engines, report.engines);
      vmCount += report.vmCount;
    }
    const news = mergeNews(this.#pendingNews.filter(({ isSentToRelays }) => !isSentToRelays));
    const scope = this.#isRelay ? LoadScope.ForAll : LoadScope.ForRelay;
    const message = this.#buildMessage(scope, { engines, vmCount, news });
    return targets.map(({ address }) => ({ address, message }));
  }

  #buildDigest(subscriber: VmId, ownLoads: EngineLoads, nowMs: number): LoadMessage {
    const { view, dataCentres } = this.options;
    const engines = mergeLoads(view.computeTotalsWithout(subscriber), ownLoads);
    const vmCount = view.countLive(nowMs) + 1 - (view.find(subscriber)?.vmCount ?? 0);
    const news = mergeNews(this.#pendingNews.filter(({ source }) => source !== subscriber));
    const dataCentreAges = dataCentres.listLastSeenAges(nowMs);
    return this.#buildMessage(LoadScope.Digest, { engines, vmCount, news, dataCentreAges });
  }

  #buildMessage(
    scope: LoadScope,
    content: {
      readonly engines: EngineLoads;
      readonly vmCount: number;
      readonly news: News;
      readonly dataCentreAges?: ReadonlyMap<DataCentreName, number>;
    },
  ): LoadMessage {
    this.#sequence += 1;
    const { engines, vmCount, news, dataCentreAges = new Map() } = content;
    return {
      ...this.options.identity,
      ...news,
      scope,
      sequence: this.#sequence,
      engines,
      vmCount,
      dataCentreAges,
    };
  }
}
