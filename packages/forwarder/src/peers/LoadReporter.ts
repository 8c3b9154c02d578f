import { createSocket } from 'node:dgram';

import { hashText, rankByRendezvous } from '@sardinegrade/common';
import { LoadProtocol } from '@sardinegrade/peer';
import { computeReportInterval, LoadGossip, LoadScope, NO_WAITING } from '@sardinegrade/routing';

import {
  CACHE_REQUEST_INTERVAL_MS,
  IDLE_REPORT_INTERVAL_MS,
  MAX_CACHE_REQUESTS,
  MAX_LOGGED_SENDERS,
  MAX_OUTDATED_WORKERS,
  MAX_STARTUP_ORIGINS,
  MAX_STARTUP_PARTS,
  ORIGINS_PER_DATAGRAM,
  OUTDATED_INTERVAL_MS,
  PACE_SAMPLES_PER_DATAGRAM,
  PARTS_PER_DATAGRAM,
  PARTS_WITH_EVIDENCE_PER_DATAGRAM,
  PLACEMENTS_PER_DATAGRAM,
} from './constants.js';
import {
  encodeList,
  encodePeerMessage,
  fromLoadShare,
  fromWirePlacement,
  NO_LOAD,
  toLoadShare,
  toWirePlacement,
} from './loadMessages.js';
import { fromWirePaceSamples, toWirePaceSamples } from './paceMessages.js';

import type { SocketAddress, UpstreamId, VmId } from '@sardinegrade/common';
import type {
  EngineLoads,
  LoadMessage,
  OutdatedReport,
  PartEvidence,
  Peer,
  Placement,
  PromptPart,
  StreamOriginReport,
} from '@sardinegrade/routing';
import type { Socket } from 'node:dgram';
import type { ForwarderState } from '../ForwarderState.js';

/** Fields of a message with what workers state about themselves. */
type NoticeReports = Pick<LoadMessage, 'workerLimits' | 'leavingWorkers'>;

/** Dependencies of `LoadReporter`. */
export interface LoadReporterOptions {
  readonly state: ForwarderState;
  readonly vm: VmId;
  /** Address at which this VM receives load messages. */
  readonly address: SocketAddress;
}

/** Sends this VM's load on the engines to other VMs in UDP datagrams, and applies the messages that it receives. */
export class LoadReporter {
  readonly #socket: Socket;
  readonly #gossip: LoadGossip;
  #peers: readonly Peer[] = [];
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #wasBusy = false;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;
  #hasCachedParts = false;
  /** Hosts that have sent a message that could not be read. */
  readonly #loggedSenders = new Set<string>();
  #unsentOrigins: readonly StreamOriginReport[] = [];
  #outdatedSentAtMs = Number.NEGATIVE_INFINITY;
  #cacheRequests = 0;
  #cacheRequestedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - state, id and address of this VM */
  constructor(private readonly options: LoadReporterOptions) {
    const { state, vm } = options;
    const { dataCentre, logger } = state.options;
    this.#gossip = new LoadGossip({
      identity: { vm, dataCentre, startedAtMs: Date.now() },
      view: state.sharedLoad,
      dataCentres: state.dataCentres,
      getStoreVersions: () => state.getStoreVersions(),
    });
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (bytes, sender) =>
      this.#receive(bytes, { host: sender.address, port: sender.port }),
    );
    this.#socket.on('error', (error) =>
      logger.warn('UDP socket for load messages failed', { error }),
    );
    state.getPeerRole = () => this.#gossip.role;
    state.onCrashes = (crashes) => this.#gossip.addNews({ crashes });
    state.paces.onSample = (sample) => this.#gossip.addNews({ paceSamples: [sample] });
    state.onPlacement = (upstream, parts) => this.#recordPlacement(upstream, parts);
  }

  /** The other VMs. */
  get peers(): readonly Peer[] {
    return this.#peers;
  }

  /** Starts listening and reporting. Rejects if the port cannot be opened. */
  start(): Promise<void> {
    const { host, port } = this.options.address;
    return new Promise((resolve, reject) => {
      this.#socket.once('error', reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off('error', reject);
        this.#schedule();
        resolve();
      });
    });
  }

  /** Replaces the list of the other VMs. */
  setPeers(peers: readonly Peer[]): void {
    this.#peers = peers;
    this.#gossip.setPeers(peers);
    this.options.state.tunnels.setPeers(this.options.address.host, peers);
    const vms = [this.options.vm, ...peers.map((peer) => peer.vm)];
    const { partQuarantine, workerLimits, options } = this.options.state;
    workerLimits.getFleet = () => ({
      vm: this.options.vm,
      vms: this.#gossip.listVms(options.getNowMs()),
    });
    partQuarantine.isTrialVm = (part) =>
      rankByRendezvous(`trial of ${part}`, vms)[0] === this.options.vm;
    this.options.state.setVmCount(peers.length + 1);
  }

  /** Stops reporting and closes the socket. */
  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(): void {
    this.#timer = setTimeout(
      () => {
        this.#tick();
        this.#schedule();
      },
      computeReportInterval(this.#peers.length + 1),
    );
  }

  #tick(): void {
    const { state } = this.options;
    const nowMs = state.options.getNowMs();
    this.#requestCachedParts(nowMs);
    this.#collectOrigins(nowMs);
    const loads = state.listOwnLoads((record) => state.isLoadNeeded(record));
    const { partQuarantine, workerLimits, workerNotices } = state;
    const hasUnsent =
      partQuarantine.hasUnsent ||
      workerLimits.hasUnsent ||
      workerNotices.hasUnsent ||
      workerLimits.brittle.hasUnsent ||
      this.#unsentOrigins.length > 0;
    const isWaiting = state.queue.size > 0;
    const isBusy = loads.size > 0 || isWaiting || this.#gossip.hasNews || hasUnsent;
    // The first report without load clears this VM's load at the receivers.
    const isDue = isBusy || this.#wasBusy || nowMs - this.#sentAtMs >= IDLE_REPORT_INTERVAL_MS;
    if (this.#gossip.isDirect && !isDue) return;
    this.#wasBusy = isBusy;
    this.#sentAtMs = nowMs;
    this.#send(loads, nowMs);
  }

  #send(loads: EngineLoads, nowMs: number): void {
    let encoded: readonly Uint8Array[] = [];
    let last: LoadMessage | undefined;
    const { waiting } = this.options.state.queue;
    const { partQuarantine, workerLimits, workerNotices } = this.options.state;
    const evidence = partQuarantine.collectUnsent();
    const notices = {
      workerLimits: workerLimits.collectUnsent(),
      leavingWorkers: workerNotices.collectLeaving(),
    };
    const outdatedWorkers = this.#collectOutdated(nowMs);
    const brittle = workerLimits.brittle.collectUnsent();
    const origins = this.#unsentOrigins;
    this.#unsentOrigins = [];
    for (const { address, message } of this.#gossip.tick(loads, nowMs, waiting)) {
      // Messages to several receivers are encoded once.
      if (message !== last) {
        encoded = [
          ...this.#encodeLoad(message),
          ...encodeList(message, message.paceSamples, PACE_SAMPLES_PER_DATAGRAM, (paceSamples) => ({
            paceSamples,
          })),
          ...this.#encodeEvidence(message, evidence),
          ...this.#encodeNotices(message, notices),
          ...this.#encodeOutdated(message, outdatedWorkers),
          ...encodeList(message, brittle, Infinity, (brittleWorkers) => ({ brittleWorkers })),
          ...this.#encodeOrigins(message, origins),
        ];
      }
      last = message;
      for (const bytes of encoded) this.#socket.send(bytes, address.port, address.host);
    }
  }

  /** Encodes a message, followed by messages with the placements that do not fit into it. */
  #encodeLoad(message: LoadMessage): readonly Uint8Array[] {
    const { placements } = message;
    const datagrams: Uint8Array[] = [];
    let part = {
      ...message,
      paceSamples: [],
      placements: placements.slice(0, PLACEMENTS_PER_DATAGRAM),
    };
    for (let next = PLACEMENTS_PER_DATAGRAM; ; next += PLACEMENTS_PER_DATAGRAM) {
      datagrams.push(encodePeerMessage({ load: toLoadShare(part) }));
      if (next >= placements.length) return datagrams;
      part = {
        ...message,
        scope: LoadScope.News,
        engines: new Map(),
        waiting: NO_WAITING,
        crashes: [],
        paceSamples: [],
        placements: placements.slice(next, next + PLACEMENTS_PER_DATAGRAM),
      };
    }
  }

  #encodeEvidence(message: LoadMessage, evidence: readonly PartEvidence[]): readonly Uint8Array[] {
    const size = PARTS_WITH_EVIDENCE_PER_DATAGRAM;
    return encodeList(message, evidence, size, (partEvidence) => ({ partEvidence }));
  }

  #encodeNotices(message: LoadMessage, notices: NoticeReports): readonly Uint8Array[] {
    const isEmpty = Object.values(notices).every((reports) => reports.length === 0);
    if (isEmpty) return [];
    const part: LoadMessage = { ...message, ...NO_LOAD, ...notices };
    return [encodePeerMessage({ load: toLoadShare(part) })];
  }

  #encodeOutdated(
    message: LoadMessage,
    outdated: readonly OutdatedReport[],
  ): readonly Uint8Array[] {
    return encodeList(message, outdated, Infinity, (outdatedWorkers) => ({ outdatedWorkers }));
  }

  #encodeOrigins(
    message: LoadMessage,
    origins: readonly StreamOriginReport[],
  ): readonly Uint8Array[] {
    const size = ORIGINS_PER_DATAGRAM;
    return encodeList(message, origins, size, (streamOrigins) => ({ streamOrigins }));
  }

  #collectOutdated(nowMs: number): readonly OutdatedReport[] {
    if (nowMs - this.#outdatedSentAtMs < OUTDATED_INTERVAL_MS) return [];
    this.#outdatedSentAtMs = nowMs;
    return this.options.state.fleet.listOutdated(nowMs).slice(0, MAX_OUTDATED_WORKERS);
  }

  /** Takes the origins of streams that other VMs need, since the service has several builds, or a route several services. */
  #collectOrigins(nowMs: number): void {
    const { state } = this.options;
    if (!state.streamOrigins.hasUnsent) return;
    const mixed = state.listMixedServices();
    const collected = state.streamOrigins.collectUnsent(
      nowMs,
      (service) => mixed.has(service) || state.listBuilds(service).length > 1,
    );
    this.#unsentOrigins = [...this.#unsentOrigins, ...collected];
  }

  /** Requests the engines' cached parts from one peer after another until one replies. */
  #requestCachedParts(nowMs: number): void {
    if (
      this.#hasCachedParts ||
      this.#cacheRequests >= MAX_CACHE_REQUESTS ||
      this.#peers.length === 0
    )
      return;
    if (nowMs - this.#cacheRequestedAtMs < CACHE_REQUEST_INTERVAL_MS) return;
    const peer = this.#peers[this.#cacheRequests % this.#peers.length];
    this.#cacheRequests += 1;
    this.#cacheRequestedAtMs = nowMs;
    if (peer === undefined) return;
    const { host, port } = peer.address;
    this.#socket.send(encodePeerMessage({ asksMemory: true }), port, host);
  }

  #sendCachedParts(receiver: SocketAddress): void {
    for (const { id, parts } of this.options.state.fleet.listCachedParts()) {
      for (let first = 0; first < parts.length; first += PARTS_PER_DATAGRAM) {
        const chunk = parts.slice(first, first + PARTS_PER_DATAGRAM);
        const placements = [toWirePlacement({ engine: hashText(id), parts: chunk })];
        const bytes = encodePeerMessage({ memory: { placements, paceSamples: undefined } });
        this.#socket.send(bytes, receiver.port, receiver.host);
      }
    }
  }

  #sendPaces(receiver: SocketAddress): void {
    // Each datagram holds all samples of an instance: the receiver keeps the longer of two lists.
    for (const samples of this.options.state.paces.list()) {
      const paceSamples = toWirePaceSamples(samples);
      const bytes = encodePeerMessage({ memory: { placements: [], paceSamples } });
      this.#socket.send(bytes, receiver.port, receiver.host);
    }
  }

  #sendEvidence(receiver: SocketAddress): void {
    const evidence = this.options.state.partQuarantine.listEvidence().slice(0, MAX_STARTUP_PARTS);
    for (const bytes of this.#encodeEvidence(this.#gossip.buildEmptyMessage(), evidence)) {
      this.#socket.send(bytes, receiver.port, receiver.host);
    }
  }

  #sendOutdated(receiver: SocketAddress): void {
    const { fleet, options } = this.options.state;
    const outdatedWorkers = fleet.listOutdated(options.getNowMs()).slice(0, MAX_OUTDATED_WORKERS);
    for (const bytes of this.#encodeOutdated(this.#gossip.buildEmptyMessage(), outdatedWorkers)) {
      this.#socket.send(bytes, receiver.port, receiver.host);
    }
  }

  #sendOrigins(receiver: SocketAddress): void {
    const { state } = this.options;
    const origins = state.streamOrigins.list(state.options.getNowMs()).slice(-MAX_STARTUP_ORIGINS);
    for (const bytes of this.#encodeOrigins(this.#gossip.buildEmptyMessage(), origins)) {
      this.#socket.send(bytes, receiver.port, receiver.host);
    }
  }

  #recordPlacement(upstream: UpstreamId, parts: readonly PromptPart[]): void {
    // The last part is unique to the request, so no other VM sends it.
    const placement: Placement = { engine: hashText(upstream), parts: parts.slice(0, -1) };
    this.#gossip.addNews({ placements: [placement] });
  }

  #receive(bytes: Buffer, sender: SocketAddress): void {
    try {
      const message = LoadProtocol.PeerMessage.decode(bytes);
      if (message.load !== undefined) this.#applyLoad(fromLoadShare(message.load), sender);
      if (message.asksMemory) {
        this.#sendCachedParts(sender);
        this.#sendPaces(sender);
        this.#sendEvidence(sender);
        this.#sendOrigins(sender);
        this.#sendOutdated(sender);
      }
      if (message.memory === undefined) return;
      this.options.state.paces.restore(fromWirePaceSamples(message.memory.paceSamples));
      if (message.memory.placements.length === 0) return;
      this.#hasCachedParts = true;
      this.#applyPlacements(message.memory.placements.map(fromWirePlacement));
    } catch (error) {
      this.#logIgnored(sender, error);
    }
  }

  #logIgnored({ host }: SocketAddress, error: unknown): void {
    if (this.#loggedSenders.has(host) || this.#loggedSenders.size >= MAX_LOGGED_SENDERS) return;
    this.#loggedSenders.add(host);
    const message = 'load message ignored: it could not be decoded';
    this.options.state.options.logger.warn(message, { inputs: { sender: host }, error });
  }

  #applyLoad(message: LoadMessage, sender: SocketAddress): void {
    const { state } = this.options;
    const nowMs = state.options.getNowMs();
    // Also true in a message whose loads are out of date.
    state.onPeerVersions(message.storeVersions, sender);
    if (!this.#gossip.receive(message, sender, nowMs)) return;
    this.#applyPlacements(message.placements);
    state.paces.applyReports(message.paceSamples);
    for (const crash of message.crashes) state.crashes.addCrash(crash, nowMs);
    state.partQuarantine.addEvidence(message.partEvidence);
    state.workerLimits.applyReports(message.workerLimits);
    state.workerNotices.applyLeaving(message.leavingWorkers);
    this.#applyOutdated(message, nowMs);
    state.workerLimits.brittle.applyReports(message.brittleWorkers);
    state.streamOrigins.applyReports(message.streamOrigins, nowMs, this.#gossip.isForwarding);
    state.queue.retryAll();
  }

  #applyOutdated(
    { vm, outdatedWorkers, storeVersions: { era } }: LoadMessage,
    nowMs: number,
  ): void {
    const { fleet, options } = this.options.state;
    for (const worker of fleet.applyOutdated(outdatedWorkers, era, nowMs)) {
      options.logger.info(
        'worker of a restored store held back: another VM knows that it has left',
        {
          upstream: worker.id,
          inputs: { peer: vm, era },
        },
      );
    }
  }

  #applyPlacements(placements: readonly Placement[]): void {
    const { fleet } = this.options.state;
    for (const { engine, parts } of placements) {
      fleet.findByHash(engine)?.tracker.prefixCache.record(parts);
    }
  }
}
