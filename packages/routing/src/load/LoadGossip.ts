import { RELAYED_INTERVAL_MS } from './computeReportInterval.js';
import { LoadScope, PeerRole } from './enums.js';
import { listRelays } from './listRelays.js';
import { RelaySelector } from './RelaySelector.js';
import { mergeLoads, mergeWaiting, NO_WAITING } from './SharedLoadView.js';

import type { DataCentreName, SocketAddress, VmId } from '@sardinegrade/common';
import type { DataCentreMonitor } from './DataCentreMonitor.js';
import type { SharedLoadView } from './SharedLoadView.js';
import type {
  EngineLoads,
  LoadMessage,
  News,
  OutgoingMessage,
  Peer,
  StoreVersions,
  VmIdentity,
  WaitingLoad,
} from './types.js';

/** Time without a report after which a subscriber is removed and receives no more digests, in milliseconds. */
const SUBSCRIBER_TIMEOUT_MS = 1_000;

/** Maximum number of placements and crashes in a report; the oldest are dropped. */
const MAX_PENDING_NEWS = 64;

/** Maximum number of pending messages with news: a relay of 195 VMs gets some 60 in an interval, two from a sender. */
const MAX_PENDING_MESSAGES = 128;

/** Maximum number of pace samples in a report: a fleet has some hundred in an interval, and a burst twice as many. */
const MAX_PENDING_SAMPLES = 256;

/** Dependencies of `LoadGossip`. */
export interface LoadGossipOptions {
  readonly identity: VmIdentity;
  readonly view: SharedLoadView;
  readonly dataCentres: DataCentreMonitor;
  readonly getStoreVersions: () => StoreVersions;
}

/** A VM that reports to this relay and receives digests from it. */
interface Subscriber {
  readonly address: SocketAddress;
  readonly reportedAtMs: number;
}

/** Load that this VM has placed on engines, and what waits at it. */
interface OwnLoad {
  readonly engines: EngineLoads;
  readonly waiting: WaitingLoad;
}

/** News and the VM from which they were received. */
interface ReceivedNews {
  readonly source: VmId;
  /** Whether the source has sent them to all relays itself. */
  readonly isSentToRelays: boolean;
  readonly news: News;
}

const NO_NEWS: News = { placements: [], crashes: [], paceSamples: [] };

const mergeNews = (received: readonly ReceivedNews[]): News => ({
  placements: received.flatMap(({ news }) => news.placements).slice(-MAX_PENDING_NEWS),
  crashes: received.flatMap(({ news }) => news.crashes).slice(-MAX_PENDING_NEWS),
  paceSamples: received.flatMap(({ news }) => news.paceSamples).slice(-MAX_PENDING_SAMPLES),
});

/**
 * Builds and applies the load messages of a VM. In a small fleet each VM reports to all others. In a large fleet most
 * VMs report to one relay, relays report to each other, and each relay returns a digest of all loads to the VMs that
 * report to it.
 *
 * Load pattern: see `listRelays`.
 */
export class LoadGossip {
  readonly #relaySelector: RelaySelector;
  readonly #subscribers = new Map<VmId, Subscriber>();
  #relays: readonly Peer[] = [];
  #peers: readonly VmId[] = [];
  #isRelay = false;
  #isDirect = true;
  #pendingNews: ReceivedNews[] = [];
  #sequence = 0;

  /** @param options - this VM's identity, and the state that received messages update */
  constructor(private readonly options: LoadGossipOptions) {
    this.#relaySelector = new RelaySelector(options.identity);
  }

  /** Whether there is news for the next report. */
  get hasNews(): boolean {
    return this.#pendingNews.length > 0;
  }

  /** Whether this VM passes on to others what it receives. */
  get isForwarding(): boolean {
    return this.#isRelay && !this.#isDirect;
  }

  /** What this VM does for the others. */
  get role(): PeerRole {
    if (this.#isDirect) return PeerRole.Direct;
    return this.#isRelay ? PeerRole.Relay : PeerRole.Subscriber;
  }

  /** Whether each VM reports to all others, that is, the fleet is small. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  /** Replaces the list of the other VMs. */
  setPeers(peers: readonly Peer[]): void {
    const { identity } = this.options;
    const self: Peer = { ...identity, address: { host: '', port: 0 } };
    const relays = listRelays([...peers, self]);
    this.#isRelay = relays.includes(self);
    this.#isDirect = relays.length === peers.length + 1;
    this.#peers = peers.map(({ vm }) => vm);
    this.#relays = relays.filter((relay) => relay !== self);
    this.#relaySelector.setRelays(this.#relays);
  }

  /** Adds this VM's own news to the next report. */
  addNews(news: Partial<News>): void {
    this.#pushNews({
      source: this.options.identity.vm,
      isSentToRelays: false,
      news: { ...NO_NEWS, ...news },
    });
  }

  /**
   * Applies the loads of a message of another VM and keeps its news for forwarding.
   *
   * @param message - the received message
   * @param address - address of the sender
   * @param nowMs - current time, in milliseconds
   * @returns whether the message was accepted; the caller then applies its placements and crashes
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
   * Builds the messages of one report interval.
   *
   * @param ownLoads - load of this VM
   * @param nowMs - current time, in milliseconds
   * @param waiting - what waits at this VM
   * @returns the messages with their destinations
   */
  tick(
    ownLoads: EngineLoads,
    nowMs: number,
    waiting: WaitingLoad = NO_WAITING,
  ): readonly OutgoingMessage[] {
    this.#dropSilentSubscribers(nowMs);
    const own: OwnLoad = { engines: ownLoads, waiting };
    const outgoing = this.#buildReports(own, nowMs);
    for (const [name, { address }] of this.#subscribers) {
      outgoing.push({ address, message: this.#buildDigest(name, own, nowMs) });
    }
    this.#pendingNews = [];
    return outgoing;
  }

  /**
   * Lists the VMs that are alive, as far as this VM knows: through relays it does not hear of single VMs.
   *
   * @param nowMs - current time, in milliseconds
   * @returns this VM and the others
   */
  listVms(nowMs: number): readonly VmId[] {
    const { identity, view } = this.options;
    view.countLive(nowMs);
    const others = this.#isDirect
      ? this.#peers.filter((vm) => view.find(vm) !== undefined)
      : this.#peers;
    return [identity.vm, ...others];
  }

  /** @returns a message without load and news, to which evidence about prompt parts can be added */
  buildEmptyMessage(): LoadMessage {
    return this.#buildMessage(LoadScope.News, {
      engines: new Map(),
      waiting: NO_WAITING,
      vmCount: 0,
      news: NO_NEWS,
    });
  }

  #pushNews(received: ReceivedNews): void {
    const { placements, crashes, paceSamples } = received.news;
    if (placements.length + crashes.length + paceSamples.length === 0) return;
    this.#pendingNews.push(received);
    if (this.#pendingNews.length > MAX_PENDING_MESSAGES) this.#pendingNews.shift();
  }

  /** Keeps the news of a message for forwarding. A sender that is no subscriber has sent them to all relays itself. */
  #pushNewsFrom(message: LoadMessage): void {
    const isSentToRelays = !this.#subscribers.has(message.vm);
    this.#pushNews({ source: message.vm, isSentToRelays, news: message });
  }

  #receiveReport(message: LoadMessage, address: SocketAddress, nowMs: number): boolean {
    if (!this.options.view.apply(message, nowMs)) return false;
    // The sender decides whether it is a subscriber: the VMs' lists of peers differ for some seconds after a change.
    if (message.scope === LoadScope.ForRelay) {
      this.#subscribers.set(message.vm, { address, reportedAtMs: nowMs });
    } else this.#subscribers.delete(message.vm);
    this.#pushNewsFrom(message);
    return true;
  }

  #receiveDigest(message: LoadMessage, nowMs: number): boolean {
    const { view, dataCentres } = this.options;
    // A VM that is a relay according to its own list receives the reports of the others directly.
    if (this.#isRelay || !this.#relaySelector.recordDigest(message.vm, nowMs)) return false;
    for (const relay of this.#relays) {
      if (relay.vm !== message.vm) view.remove(relay.vm);
    }
    for (const [dataCentre, ageMs] of message.dataCentreAges) {
      // Ages in a digest are up to one interval longer than if this VM had received the reports directly.
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

  #buildReports(own: OwnLoad, nowMs: number): OutgoingMessage[] {
    const targets = this.#isRelay ? this.#relays : this.#relaySelector.listTargets(nowMs);
    if (targets.length === 0) return [];
    const { view } = this.options;
    let { engines, waiting } = own;
    let vmCount = 1;
    for (const vm of this.#subscribers.keys()) {
      const report = view.find(vm);
      if (report === undefined) continue;
      engines = mergeLoads(engines, report.engines);
      waiting = mergeWaiting(waiting, report.waiting);
      vmCount += report.vmCount;
    }
    const news = mergeNews(this.#pendingNews.filter(({ isSentToRelays }) => !isSentToRelays));
    const scope = this.#isRelay ? LoadScope.ForAll : LoadScope.ForRelay;
    const message = this.#buildMessage(scope, { engines, waiting, vmCount, news });
    return targets.map(({ address }) => ({ address, message }));
  }

  #buildDigest(subscriber: VmId, own: OwnLoad, nowMs: number): LoadMessage {
    const { view, dataCentres } = this.options;
    const engines = mergeLoads(view.computeTotalsWithout(subscriber), own.engines);
    const waiting = mergeWaiting(view.computeWaitingWithout(subscriber), own.waiting);
    const vmCount = view.countLive(nowMs) + 1 - (view.find(subscriber)?.vmCount ?? 0);
    const news = mergeNews(this.#pendingNews.filter(({ source }) => source !== subscriber));
    const dataCentreAges = dataCentres.listLastSeenAges(nowMs);
    return this.#buildMessage(LoadScope.Digest, {
      engines,
      waiting,
      vmCount,
      news,
      dataCentreAges,
    });
  }

  #buildMessage(
    scope: LoadScope,
    content: {
      readonly engines: EngineLoads;
      readonly waiting: WaitingLoad;
      readonly vmCount: number;
      readonly news: News;
      readonly dataCentreAges?: ReadonlyMap<DataCentreName, number>;
    },
  ): LoadMessage {
    this.#sequence += 1;
    const { engines, waiting, vmCount, news, dataCentreAges = new Map() } = content;
    return {
      ...this.options.identity,
      ...news,
      storeVersions: this.options.getStoreVersions(),
      scope,
      sequence: this.#sequence,
      engines,
      waiting,
      vmCount,
      dataCentreAges,
      partEvidence: [],
      workerLimits: [],
      leavingWorkers: [],
      outdatedWorkers: [],
      brittleWorkers: [],
      streamOrigins: [],
    };
  }
}
