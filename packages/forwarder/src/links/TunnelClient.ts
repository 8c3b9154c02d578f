import { request as sendHttp } from 'node:http';

import { MAX_TUNNEL_TRIES, TUNNEL_TIMEOUT_MS, UNUSABLE_MS } from './constants.js';
import { ConnectionPath, TunnelOutcome } from './enums.js';
import { TunnelSocket } from './TunnelSocket.js';
import { FRAMES_HEADER, LAST_RESORT_HEADER, toTunnelOutcome } from './tunnelStatus.js';

import type { DataCentreName, SocketAddress, VmId } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { Peer } from '@sardinegrade/routing';
import type { WorkerSocket } from './types.js';

/** Cost of a VM in another data centre. The unit is one tunnel of this VM. */
const REMOTE_COST = 4;

/** Dependencies of `TunnelClient`. */
export interface TunnelClientOptions {
  readonly dataCentre: DataCentreName;
  readonly random: RandomSource;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  /** Called with the outcome of each attempt. */
  readonly onOutcome: (outcome: TunnelOutcome) => void;
}

/** An open connection to a worker through another VM. */
export interface Tunnel {
  readonly path: ConnectionPath.Tunnel | ConnectionPath.BareTunnel;
  readonly socket: WorkerSocket;
  /** The VM that passes on the bytes. */
  readonly vm: VmId;
}

/** A tunnel, or why none was opened. */
type TunnelResult =
  | { readonly outcome: TunnelOutcome.Opened; readonly tunnel: Omit<Tunnel, 'vm'> }
  | { readonly outcome: Exclude<TunnelOutcome, TunnelOutcome.Opened | TunnelOutcome.NoAnswer> }
  | {
      readonly outcome: TunnelOutcome.NoAnswer;
      /** Whether the VM's host refused the connection, as while the VM starts again. */
      readonly isRefused: boolean;
    };

/** What a series of requests for one tunnel has found so far. */
interface TunnelSearch {
  readonly asked: Set<VmId>;
  /** VMs that are draining, which are asked once more if no other opens the tunnel. */
  readonly draining: Peer[];
  aboutWorker: number;
  last: TunnelOutcome;
}

/** A VM that has opened no tunnel. */
interface Refusal {
  /** Until when other VMs are asked first, in milliseconds. */
  readonly untilMs: number;
  /** Whether the VM, or the host in place of it, has answered at once. */
  readonly isQuick: boolean;
}

/**
 * Outcomes that may say something about the worker. After two of them no further VM is asked; one alone may come from a VM
 * that does not know yet that its own links are lost.
 */
const ABOUT_WORKER: ReadonlySet<TunnelOutcome> = new Set([
  TunnelOutcome.Unreachable,
  TunnelOutcome.UnknownWorker,
]);
const MAX_ABOUT_WORKER = 2;

/** Opens connections to workers through other VMs, which pass on the bytes. */
export class TunnelClient {
  /** Address of this VM, from which other VMs recognise it; undefined until they are known. */
  #ownHost: string | undefined;
  #peers: readonly Peer[] = [];
  readonly #refusals = new Map<VmId, Refusal>();
  readonly #openCounts = new Map<VmId, number>();
  /** When each VM last opened a tunnel, in milliseconds. */
  readonly #openedAtMs = new Map<VmId, number>();

  /** @param options - dependencies */
  constructor(private readonly options: TunnelClientOptions) {}

  /** Replaces the list of the other VMs. */
  setPeers(ownHost: string, peers: readonly Peer[]): void {
    this.#ownHost = ownHost;
    this.#peers = peers;
    const listed = new Set(peers.map(({ vm }) => vm));
    for (const known of [this.#refusals, this.#openedAtMs]) {
      for (const vm of known.keys()) if (!listed.has(vm)) known.delete(vm);
    }
  }

  /** @returns whether a VM at this IP address is listed */
  hasPeer(host: string): boolean {
    return this.#peers.some(({ address }) => address.host === host);
  }

  /**
   * Opens a connection to a worker through one of the other VMs.
   *
   * @param address - `ip:port` of the worker
   * @returns the tunnel
   * @throws Error if no VM opens one
   */
  async open(address: string): Promise<Tunnel> {
    const search: TunnelSearch = {
      asked: new Set(),
      draining: [],
      aboutWorker: 0,
      last: TunnelOutcome.NoAnswer,
    };
    while (search.asked.size < MAX_TUNNEL_TRIES && search.aboutWorker < MAX_ABOUT_WORKER) {
      const peer = this.#choosePeer(search.asked);
      if (peer === undefined) break;
      search.asked.add(peer.vm);
      const tunnel = await this.#askPeer(search, peer, address, false);
      if (tunnel !== undefined) return tunnel;
    }
    for (const peer of search.draining) {
      if (search.aboutWorker >= MAX_ABOUT_WORKER) break;
      const tunnel = await this.#askPeer(search, peer, address, true);
      if (tunnel !== undefined) return tunnel;
    }
    throw new Error(`no tunnel to ${address}: ${search.last} (${search.asked.size} VMs asked)`);
  }

  /** Asks one VM, and records what it has answered. */
  async #askPeer(
    search: TunnelSearch,
    peer: Peer,
    address: string,
    isLastResort: boolean,
  ): Promise<Tunnel | undefined> {
    const result = await this.#ask(peer.address, address, isLastResort);
    const { outcome } = result;
    search.last = outcome;
    this.options.onOutcome(outcome);
    if (result.outcome === TunnelOutcome.Opened) {
      this.#track(peer.vm, result.tunnel.socket);
      return { ...result.tunnel, vm: peer.vm };
    }
    if (outcome === TunnelOutcome.Draining && !isLastResort) search.draining.push(peer);
    if (ABOUT_WORKER.has(outcome)) {
      search.aboutWorker += 1;
      return undefined;
    }
    const untilMs = this.options.getNowMs() + UNUSABLE_MS;
    const isQuick = outcome !== TunnelOutcome.NoAnswer || result.isRefused;
    this.#refusals.set(peer.vm, { untilMs, isQuick });
    return undefined;
  }

  /**
   * Chooses the VM with the fewest tunnels of this one, in the same data centre if possible. VMs that have just refused are
   * asked again only if no other is left: they answer at once. Those that did not answer cost time, and are asked only if
   * they have opened tunnels of late, so that they are rather busy than gone.
   */
  #choosePeer(asked: ReadonlySet<VmId>): Peer | undefined {
    const nowMs = this.options.getNowMs();
    const peers = this.#peers.filter(({ vm }) => !asked.has(vm));
    const getRefusal = ({ vm }: Peer): Refusal | undefined => {
      const refusal = this.#refusals.get(vm);
      return refusal !== undefined && refusal.untilMs > nowMs ? refusal : undefined;
    };
    return (
      this.#chooseLeastUsed(peers.filter((peer) => getRefusal(peer) === undefined)) ??
      this.#chooseLeastUsed(peers.filter((peer) => getRefusal(peer)?.isQuick === true)) ??
      this.#chooseLeastUsed(peers.filter(({ vm }) => this.#hasOpenedLately(vm, nowMs)))
    );
  }

  #chooseLeastUsed(peers: readonly Peer[]): Peer | undefined {
    const { dataCentre, random } = this.options;
    let best: { readonly peer: Peer; readonly cost: number } | undefined;
    for (const peer of peers) {
      const openCount = this.#openCounts.get(peer.vm) ?? 0;
      const cost = openCount + (peer.dataCentre === dataCentre ? 0 : REMOTE_COST) + random();
      if (best === undefined || cost < best.cost) best = { peer, cost };
    }
    return best?.peer;
  }

  #hasOpenedLately(vm: VmId, nowMs: number): boolean {
    return nowMs - (this.#openedAtMs.get(vm) ?? Number.NEGATIVE_INFINITY) < UNUSABLE_MS;
  }

  #track(vm: VmId, socket: WorkerSocket): void {
    this.#refusals.delete(vm);
    this.#openedAtMs.set(vm, this.options.getNowMs());
    this.#openCounts.set(vm, (this.#openCounts.get(vm) ?? 0) + 1);
    socket.once('close', () => {
      const left = (this.#openCounts.get(vm) ?? 1) - 1;
      if (left > 0) this.#openCounts.set(vm, left);
      else this.#openCounts.delete(vm);
    });
  }

  #ask(
    { host, port }: SocketAddress,
    address: string,
    isLastResort: boolean,
  ): Promise<TunnelResult> {
    return new Promise((resolve) => {
      const request = sendHttp({
        host,
        port,
        method: 'CONNECT',
        path: address,
        agent: false,
        timeout: TUNNEL_TIMEOUT_MS,
        headers: { [FRAMES_HEADER]: '1', ...(isLastResort ? { [LAST_RESORT_HEADER]: '1' } : {}) },
        ...(this.#ownHost === undefined ? {} : { localAddress: this.#ownHost }),
      });
      const timer = setTimeout(() => request.destroy(), TUNNEL_TIMEOUT_MS);
      request.once('connect', (response, socket, head) => {
        clearTimeout(timer);
        const outcome = toTunnelOutcome(response.statusCode);
        if (outcome === TunnelOutcome.Opened) {
          socket.setTimeout(0);
          socket.setNoDelay(true);
          const tunnel =
            response.headers[FRAMES_HEADER] === '1'
              ? { path: ConnectionPath.Tunnel as const, socket: new TunnelSocket(socket, head) }
              : { path: ConnectionPath.BareTunnel as const, socket };
          resolve({ outcome, tunnel });
          return;
        }
        socket.destroy();
        resolve({ outcome });
      });
      request.once('error', (error) => {
        const isRefused = 'code' in error && error.code === 'ECONNREFUSED';
        resolve({ outcome: TunnelOutcome.NoAnswer, isRefused });
      });
      request.once('close', () => {
        clearTimeout(timer);
        resolve({ outcome: TunnelOutcome.NoAnswer, isRefused: false });
      });
      request.end();
    });
  }
}
