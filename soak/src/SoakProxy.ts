import { connect, createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** What the proxy does to the connections of one worker. */
export enum LinkFault {
  None = 'none',
  /** Each piece is late. */
  Delay = 'delay',
  /** Open connections are reset, new ones too. */
  Reset = 'reset',
  /** Nothing passes in either direction, and nothing is closed; open connections stay so for good. */
  Silent = 'silent',
  /** What callers send arrives; answers do not, on open connections for good. */
  OneWay = 'one_way',
}

const DELAY_MS = 120;

const passLater = async (piece: Buffer, to: Socket, delayMs: number): Promise<void> => {
  if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
  if (to.writable) to.write(piece);
};

/** A loopback proxy in front of one worker, which harms what passes. */
export class SoakProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #fault = LinkFault.None;

  /** @param targetPort - where the worker listens */
  constructor(private readonly targetPort: number) {
    this.#server = createServer((caller) => this.#accept(caller));
  }

  /** `ip:port` that callers are told. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Starts to listen on a free port. */
  listen(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  /** Changes what is done to connections. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault !== LinkFault.Reset) return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Closes the proxy and all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(caller: Socket): void {
    if (this.#fault === LinkFault.Reset) {
      caller.resetAndDestroy();
      return;
    }
    const worker = connect(this.targetPort, '127.0.0.1');
    this.#join(caller, worker, false);
    this.#join(worker, caller, true);
  }

  /** Passes what comes from one end to the other, in order. */
  #join(from: Socket, to: Socket, isAnswer: boolean): void {
    let isMuted = false;
    let passed = Promise.resolve();
    this.#sockets.add(from);
    from.on('data', (piece: Buffer) => {
      isMuted ||=
        this.#fault === LinkFault.Silent || (this.#fault === LinkFault.OneWay && isAnswer);
      if (isMuted) return;
      const delayMs = this.#fault === LinkFault.Delay ? DELAY_MS : 0;
      // Bytes of a connection never overtake each other.
      passed = passed.then(() => passLater(piece, to, delayMs));
    });
    from.on('end', () => {
      void passed.then(() => to.end());
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.#sockets.delete(from);
      void passed.then(() => to.destroy());
    });
  }
}
