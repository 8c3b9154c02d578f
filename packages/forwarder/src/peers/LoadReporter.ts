import { createSocket } from 'node:dgram';

import { hashText } from '@sardinegrade/common';
import { LoadProtocol } from '@sardinegrade/peer';
import { computeReportInterval, LoadGossip, LoadScope } from '@sardinegrade/routing';

import {
  CACHE_REQUEST_INTERVAL_MS,
  IDLE_REPORT_INTERVAL_MS,
  MAX_CACHE_REQUESTS,
  PARTS_PER_DATAGRAM,
  PLACEMENTS_PER_DATAGRAM,
} from './constants.js';
import {
  encodePeerMessage,
  fromLoadShare,
  fromWirePlacement,
  toLoadShare,
  toWirePlacement,
} from './loadMessages.js';

import type { SocketAddress, UpstreamId, VmId } from '@sardinegrade/common';
import type { EngineLoads, LoadMessage, Peer, Placement, PromptPart } from '@sardinegrade/routing';
import type { Socket } from 'node:dgram';
import type { ForwarderState } from '../ForwarderState.js';

/** What a reporter needs. */
export interface LoadReporterOptions {
  readonly state: ForwarderState;
  readonly vm: VmId;
  /** Where this VM hears the others. */
  readonly address: SocketAddress;
}

/** Tells other VMs by datagrams what this one has sent to the engines, and hears the same of them. */
export class LoadReporter {
  readonly #socket: Socket;
  readonly #gossip: LoadGossip;
  #peers: readonly Peer[] = [];
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #wasBusy = false;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;
  #hasCachedParts = false;
  #cacheRequests = 0;
  #cacheRequestedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - state, name and address */
  constructor(private readonly options: LoadReporterOptions) {
    const { state, vm } = options;
    const { dataCentre, logger } = state.options;
    this.#gossip = new LoadGossip({
      identity: { vm, dataCentre, startedAtMs: Date.now() },
      view: state.sharedLoad,
      dataCentres: state.dataCentres,
    });
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (bytes, sender) =>
      this.#receive(bytes, { host: sender.address, port: sender.port }),
    );
    this.#socket.on('error', (error) => logger.warn('load report failed', { error }));
    state.onCrashes = (crashes) => this.#gossip.addNews({ crashes });
    state.onPlacement = (upstream, parts) => this.#recordPlacement(upstream, parts);
  }

  /** Starts to listen and to report. */
  start(): Promise<void> {
    const { host, port } = this.options.address;
    this.#schedule();
    return new Promise((resolve) => {
      this.#socket.bind(port, host, resolve);
    });
  }

  /** Replaces the other VMs. */
  setPeers(peers: readonly Peer[]): void {
    this.#peers = peers;
    this.#gossip.setPeers(peers);
    this.options.state.setVmCount(peers.length + 1);
  }

  /** Stops reporting. */
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
    const nowMs = this.options.state.options.getNowMs();
    this.#requestCachedParts(nowMs);
    const loads = this.#listOwnLoads(nowMs);
    const isBusy = loads.size > 0 || this.#gossip.hasNews;
    // The first report without work tells that the work is done.
    const isDue = isBusy || this.#wasBusy || nowMs - this.#sentAtMs >= IDLE_REPORT_INTERVAL_MS;
    if (this.#gossip.isDirect && !isDue) return;
    this.#wasBusy = isBusy;
    this.#sentAtMs = nowMs;
    this.#send(loads, nowMs);
  }

  #listOwnLoads(nowMs: number): EngineLoads {
    const loads = this.options.state.fleet.listLoads(nowMs);
    return new Map(loads.map(({ id, load }) => [hashText(id), load]));
  }

  #send(loads: EngineLoads, nowMs: number): void {
    let encoded: readonly Uint8Array[] = [];
    let last: LoadMessage | undefined;
    for (const { address, message } of this.#gossip.tick(loads, nowMs)) {
      // Receivers of the same message get the same bytes.
      if (message !== last) encoded = this.#encodeLoad(message);
      last = message;
      for (const bytes of encoded) this.#socket.send(bytes, address.port, address.host);
    }
  }

  /** Encodes a message, and those that follow with the placements for which it has no room. */
  #encodeLoad(message: LoadMessage): readonly Uint8Array[] {
    const { placements } = message;
    const datagrams: Uint8Array[] = [];
    let part = { ...message, placements: placements.slice(0, PLACEMENTS_PER_DATAGRAM) };
    for (let next = PLACEMENTS_PER_DATAGRAM; ; next += PLACEMENTS_PER_DATAGRAM) {
      datagrams.push(encodePeerMessage({ load: toLoadShare(part) }));
      if (next >= placements.length) return datagrams;
      part = {
        ...message,
        scope: LoadScope.News,
        engines: new Map(),
        crashes: [],
        placements: placements.slice(next, next + PLACEMENTS_PER_DATAGRAM),
      };
    }
  }

  /** Asks one other VM after another what the engines hold, until one answers. */
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
        const bytes = encodePeerMessage({ memory: { placements } });
        this.#socket.send(bytes, receiver.port, receiver.host);
      }
    }
  }

  #recordPlacement(upstream: UpstreamId, parts: readonly PromptPart[]): void {
    // The last part belongs to the request alone: no other VM sends it.
    const placement: Placement = { engine: hashText(upstream), parts: parts.slice(0, -1) };
    this.#gossip.addNews({ placements: [placement] });
  }

  #receive(bytes: Buffer, sender: SocketAddress): void {
    try {
      const message = LoadProtocol.PeerMessage.decode(bytes);
      if (message.load !== undefined) this.#applyLoad(fromLoadShare(message.load), sender);
      if (message.asksMemory) this.#sendCachedParts(sender);
      if (message.memory === undefined) return;
      this.#hasCachedParts = true;
      this.#applyPlacements(message.memory.placements.map(fromWirePlacement));
    } catch (error) {
      this.options.state.options.logger.warn('message of another VM ignored: it cannot be read', {
        error,
      });
    }
  }

  #applyLoad(message: LoadMessage, sender: SocketAddress): void {
    const { state } = this.options;
    const nowMs = state.options.getNowMs();
    if (!this.#gossip.receive(message, sender, nowMs)) return;
    this.#applyPlacements(message.placements);
    for (const crash of message.crashes) state.crashes.addCrash(crash, nowMs);
    state.queue.retryAll();
  }

  #applyPlacements(placements: readonly Placement[]): void {
    const { fleet } = this.options.state;
    for (const { engine, parts } of placements) {
      fleet.findByHash(engine)?.tracker.prefixCache.record(parts);
    }
  }
}
