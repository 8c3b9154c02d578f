import { createSocket } from 'node:dgram';

import { toBranded } from '@sardinegrade/common';
import { LoadProtocol } from '@sardinegrade/peer';

import {
  DATAGRAM_LIMIT_BYTES,
  LEAST_REPORT_INTERVAL_MS,
  PLACEMENT_LIMIT,
  QUIET_REPORT_INTERVAL_MS,
  REPORT_INTERVAL_PER_PEER_MS,
} from './constants.js';

import type { PromptPart } from '@sardinegrade/routing';
import type { UpstreamId, VmId } from '@sardinegrade/common';
import type { Socket } from 'node:dgram';
import type { ListenAddress } from '../front/index.js';
import type { ForwarderState } from '../ForwarderState.js';

/** What a reporter needs. */
export interface LoadReporterOptions {
  readonly state: ForwarderState;
  readonly vm: VmId;
  /** Where this VM hears the others. */
  readonly address: ListenAddress;
}

/** Tells the other VMs what this one has sent to the engines, and hears the same of them, by datagrams. */
export class LoadReporter {
  readonly #socket: Socket;
  readonly #startedAtMs = Date.now();
  #peers: readonly ListenAddress[] = [];
  #placements: LoadProtocol.Placement[] = [];
  #sequence = 0;
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #wasBusy = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param options - state, name and address */
  constructor(private readonly options: LoadReporterOptions) {
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (bytes) => this.#receive(bytes));
    this.#socket.on('error', (error) =>
      options.state.options.logger.warn('load report failed', { error }),
    );
    options.state.onPlacement = (upstream, parts) => this.#notePlacement(upstream, parts);
  }

  /** Starts to listen and to report. */
  start(): Promise<void> {
    const { host, port } = this.options.address;
    this.#schedule();
    return new Promise((resolve) => {
      this.#socket.bind(port, host, resolve);
    });
  }

  /** Replaces the addresses of the other VMs. */
  setPeers(peers: readonly ListenAddress[]): void {
    this.#peers = peers;
  }

  /** Stops reporting. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(): void {
    const intervalMs = Math.max(
      LEAST_REPORT_INTERVAL_MS,
      this.#peers.length * REPORT_INTERVAL_PER_PEER_MS,
    );
    this.#timer = setTimeout(() => {
      this.#tick();
      this.#schedule();
    }, intervalMs);
  }

  #tick(): void {
    const nowMs = this.options.state.options.getNowMs();
    const engines = this.options.state.fleet.listLoads(nowMs).map(({ id, load }) => ({
      upstream: id,
      unreadTokens: Math.round(load.unreadTokens),
      runs: load.runs,
    }));
    const isBusy = engines.length > 0 || this.#placements.length > 0;
    // The first report without work tells that the work is done.
    const isDue = isBusy || this.#wasBusy || nowMs - this.#sentAtMs >= QUIET_REPORT_INTERVAL_MS;
    if (!isDue) return;
    this.#wasBusy = isBusy;
    this.#sentAtMs = nowMs;
    this.#send(engines);
  }

  #send(engines: LoadProtocol.EngineLoad[]): void {
    this.#sequence += 1;
    const message = {
      vm: this.options.vm,
      startedAtMs: this.#startedAtMs,
      sequence: this.#sequence,
      engines,
      placements: this.#placements,
    };
    this.#placements = [];
    let bytes = LoadProtocol.LoadShare.encode(message).finish();
    if (bytes.length > DATAGRAM_LIMIT_BYTES) {
      bytes = LoadProtocol.LoadShare.encode({ ...message, placements: [] }).finish();
    }
    for (const { host, port } of this.#peers) this.#socket.send(bytes, port, host);
  }

  #notePlacement(upstream: UpstreamId, parts: readonly PromptPart[]): void {
    if (this.#placements.length >= PLACEMENT_LIMIT) this.#placements.shift();
    // The last part belongs to the request alone: no other VM sends it.
    const shared = parts.slice(0, -1).map(({ id, tokens }) => ({ id, tokens }));
    this.#placements.push({ upstream, parts: shared });
  }

  #receive(bytes: Buffer): void {
    const { state } = this.options;
    try {
      const message = LoadProtocol.LoadShare.decode(bytes);
      const isNews = state.sharedLoad.apply(
        {
          vm: toBranded(message.vm),
          startedAtMs: message.startedAtMs,
          sequence: message.sequence,
          engines: new Map(
            message.engines.map(({ upstream, unreadTokens, runs }) => [
              toBranded<UpstreamId>(upstream),
              { unreadTokens, runs },
            ]),
          ),
        },
        state.options.getNowMs(),
      );
      if (!isNews) return;
      for (const { upstream, parts } of message.placements) {
        const named = parts.map((part) => ({ id: toBranded(part.id), tokens: part.tokens }));
        state.fleet.find(toBranded(upstream))?.account.memory.record(named as PromptPart[]);
      }
    } catch (error) {
      state.options.logger.warn('load report ignored: it cannot be read', { error });
    }
  }
}
