import { connect, createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** Fault that the proxy injects into the connections of one worker. */
export enum LinkFault {
  None = 'none',
  /** Each chunk is delayed by DELAY_MS. */
  Delay = 'delay',
  /** Open and new connections are reset. */
  Reset = 'reset',
  /**
   * Data is dropped in both directions without closing connections. Affected connections stay
   * blocked after the fault ends.
   */
  Silent = 'silent',
  /** Requests are forwarded but answers are dropped. Affected connections stay blocked after the fault ends. */
  OneWay = 'one_way',
}

const DELAY_MS = 120;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

/** Writes a chunk after a delay. Returns whether the socket was still open. */
const writeDelayed = async (chunk: Buffer, to: Socket, delayMs: number): Promise<boolean> => {
  if (delayMs > 0) await sleep(delayMs);
  if (to.writable) to.write(chunk);
  return to.writable;
};

/** A loopback TCP proxy in front of one worker that injects faults into its connections. */
export class SoakProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #fault = LinkFault.None;
  /** Settles once answers may pass. */
  #passage = Promise.resolve();

  /**
   * @param targetPort - port that the worker listens on
   * @param onAnswer - called with the bytes of answers that are passed on
   */
  constructor(
    private readonly targetPort: number,
    private readonly onAnswer: (chunk: Buffer) => void = () => undefined,
  ) {
    this.#server = createServer((vmSocket) => this.#accept(vmSocket));
  }

  /** `ip:port` of the proxy, registered as the address of the worker. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Port that the proxy listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Starts listening on a free port. */
  listen(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  /** Sets the fault that applies from now on. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault !== LinkFault.Reset) return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Holds back the worker's answers, which later arrive whole and in order, on connections that stay open. */
  async pauseAnswers(durationMs: number): Promise<void> {
    this.#passage = sleep(durationMs);
    await this.#passage;
  }

  /** Closes the proxy and all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(vmSocket: Socket): void {
    if (this.#fault === LinkFault.Reset) {
      vmSocket.resetAndDestroy();
      return;
    }
    const workerSocket = connect(this.targetPort, '127.0.0.1');
    this.#forward(vmSocket, workerSocket, false);
    this.#forward(workerSocket, vmSocket, true);
  }

  /** Forwards data from one socket to the other, in order. */
  #forward(from: Socket, to: Socket, isAnswer: boolean): void {
    let isBlocked = false;
    let pendingWrites = Promise.resolve();
    this.#sockets.add(from);
    from.on('data', (chunk: Buffer) => {
      isBlocked ||=
        this.#fault === LinkFault.Silent || (this.#fault === LinkFault.OneWay && isAnswer);
      if (isBlocked) return;
      const delayMs = this.#fault === LinkFault.Delay ? DELAY_MS : 0;
      // Chunks are written one after another, so that a delayed chunk is not overtaken by a later one.
      pendingWrites = pendingWrites.then(async () => {
        if (isAnswer) await this.#passage;
        const isPassed = await writeDelayed(chunk, to, delayMs);
        if (isAnswer && isPassed) this.onAnswer(chunk);
      });
    });
    from.on('end', () => {
      void pendingWrites.then(() => to.end());
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.#sockets.delete(from);
      void pendingWrites.then(() => to.destroy());
    });
  }
}
