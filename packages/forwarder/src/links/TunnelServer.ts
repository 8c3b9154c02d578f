import { connect } from 'node:net';
import { pipeline } from 'node:stream';

import { parseAddress } from '../connections/parseAddress.js';
import { MAX_PASSED_TUNNELS, PROBE_TIMEOUT_MS } from './constants.js';
import { TunnelOutcome } from './enums.js';
import { isReset } from './isReset.js';
import { createFrameEncoder } from './tunnelFrames.js';
import { FRAMES_HEADER, LAST_RESORT_HEADER, TUNNEL_STATUSES } from './tunnelStatus.js';

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** Why a tunnel is refused. */
type RefusedOutcome = Exclude<TunnelOutcome, TunnelOutcome.Opened | TunnelOutcome.NoAnswer>;

/** Dependencies of `TunnelServer`. */
export interface TunnelServerOptions {
  /** Whether this VM has its own links. */
  readonly isAvailable: () => boolean;
  /** Whether this VM is draining: it passes on only for VMs that find no other. */
  readonly isDraining: () => boolean;
  /** Whether the store knows a VM at this IP address. */
  readonly isKnownVm: (host: string) => boolean;
  /** Called when a worker could not be reached: this VM's own links may be lost. */
  readonly onUnreachable: () => void;
  /**
   * Called when a tunnel has ended before the worker has ended in order.
   *
   * @param address - address of the worker
   * @param error - how it has ended
   */
  readonly onBroken: (address: string, error: Error) => void;
  /** Whether a registered worker that accepts new requests has this address. */
  readonly isUsableWorker: (address: string) => boolean;
}

/**
 * Passes a worker's bytes on in frames. The end of them is told only if the worker has ended in order; otherwise both
 * connections are closed, and the other VM misses the end.
 */
const relayFrames = (
  workerSocket: Socket,
  vmSocket: Socket,
  onBroken: (error: Error) => void,
): void => {
  let isOrderly = false;
  workerSocket.once('end', () => (isOrderly = !isReset(workerSocket)));
  pipeline(
    workerSocket,
    createFrameEncoder(() => isOrderly),
    vmSocket,
    (error) => {
      if (error instanceof Error) onBroken(error);
    },
  );
};

/** Passes a worker's bytes on as they are, to a VM that knows no frames. A reset has to arrive as one. */
const relayBytes = (workerSocket: Socket, vmSocket: Socket): void => {
  workerSocket.once('end', () => {
    if (isReset(workerSocket)) vmSocket.resetAndDestroy();
  });
  workerSocket.once('error', () => vmSocket.resetAndDestroy());
  workerSocket.pipe(vmSocket);
};

const isSocket = (stream: Duplex): stream is Socket => 'remoteAddress' in stream;

/** Passes bytes between VMs that have lost their links and workers. It opens no tunnel through a further VM. */
export class TunnelServer {
  readonly #sockets = new Set<Socket>();
  #isEnding = false;

  /** @param options - dependencies */
  constructor(private readonly options: TunnelServerOptions) {}

  /** Number of open tunnels. */
  get count(): number {
    return this.#sockets.size;
  }

  /**
   * Handles a CONNECT request on the port for traffic between VMs.
   *
   * @param request - the request, whose target is the address of a worker
   * @param stream - its connection
   */
  readonly handleConnect = (request: IncomingMessage, stream: Duplex): void => {
    if (!isSocket(stream)) return;
    stream.on('error', () => stream.destroy());
    const address = request.url ?? '';
    const isLastResort = request.headers[LAST_RESORT_HEADER] === '1';
    const refusal = this.#findRefusal(stream.remoteAddress ?? '', address, isLastResort);
    const hasFrames = request.headers[FRAMES_HEADER] === '1';
    if (refusal === undefined) this.#open(stream, address, hasFrames);
    else this.#refuse(stream, refusal);
  };

  /** @returns a function that counts those of the tunnels open now that are still open */
  watchOpen(): () => number {
    const earlier = [...this.#sockets];
    return () => earlier.filter((socket) => this.#sockets.has(socket)).length;
  }

  /** Refuses new tunnels; those that are open go on. */
  stopAccepting(): void {
    this.#isEnding = true;
  }

  /** Closes all tunnels. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #findRefusal(host: string, address: string, isLastResort: boolean): RefusedOutcome | undefined {
    const { isAvailable, isDraining, isKnownVm, isUsableWorker } = this.options;
    if (!isKnownVm(host)) return TunnelOutcome.UnknownVm;
    if (this.#isEnding || !isAvailable() || this.#sockets.size >= MAX_PASSED_TUNNELS)
      return TunnelOutcome.Unavailable;
    if (isDraining() && !isLastResort) return TunnelOutcome.Draining;
    return isUsableWorker(address) ? undefined : TunnelOutcome.UnknownWorker;
  }

  #refuse(socket: Socket, outcome: RefusedOutcome): void {
    socket.end(`HTTP/1.1 ${TUNNEL_STATUSES[outcome]} ${outcome}\r\nconnection: close\r\n\r\n`);
  }

  #open(vmSocket: Socket, address: string, hasFrames: boolean): void {
    const target = parseAddress(address);
    if (target === undefined) {
      this.#refuse(vmSocket, TunnelOutcome.UnknownWorker);
      return;
    }
    const workerSocket = connect({ ...target, noDelay: true });
    this.#sockets.add(workerSocket);
    let isOpen = false;
    const onFailure = (): void => {
      if (isOpen) return;
      workerSocket.destroy();
      this.options.onUnreachable();
      this.#refuse(vmSocket, TunnelOutcome.Unreachable);
    };
    workerSocket.setTimeout(PROBE_TIMEOUT_MS, onFailure);
    workerSocket.once('connect', () => {
      isOpen = true;
      workerSocket.setTimeout(0);
      vmSocket.setNoDelay(true);
      const headers = hasFrames ? `${FRAMES_HEADER}: 1\r\n` : '';
      vmSocket.write(`HTTP/1.1 ${TUNNEL_STATUSES[TunnelOutcome.Opened]} opened\r\n${headers}\r\n`);
      const onBroken = (error: Error): void => this.options.onBroken(address, error);
      if (hasFrames) relayFrames(workerSocket, vmSocket, onBroken);
      else relayBytes(workerSocket, vmSocket);
      vmSocket.pipe(workerSocket);
    });
    workerSocket.once('error', onFailure);
    workerSocket.once('close', () => this.#sockets.delete(workerSocket));
    // A VM that ends its side has given the request up, and the worker has to stop.
    vmSocket.once('end', () => workerSocket.destroy());
    vmSocket.once('close', () => workerSocket.destroy());
  }
}
