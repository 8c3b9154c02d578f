import { Pipe } from './Pipe.js';
import { Direction } from './types.js';

import type { Socket } from 'node:net';
import type { DirectionFault } from './types.js';

/** Callbacks that a proxy passes to its links. */
export interface LinkOptions {
  readonly getFault: (direction: Direction) => DirectionFault;
  readonly onBytes: (direction: Direction, count: number) => void;
  readonly onClose: () => void;
}

/** A connection through the proxy, which consists of a client socket and a target socket. */
export class Link {
  private readonly sockets: readonly Socket[];
  private readonly pipes: Readonly<Record<Direction, Pipe>>;
  private readonly onClose: () => void;
  private isClosed = false;

  constructor(client: Socket, target: Socket, options: LinkOptions) {
    this.sockets = [client, target];
    this.onClose = options.onClose;
    const createPipe = (direction: Direction, source: Socket, sink: Socket): Pipe =>
      new Pipe(
        source,
        sink,
        () => options.getFault(direction),
        (count) => options.onBytes(direction, count),
      );
    this.pipes = {
      [Direction.Up]: createPipe(Direction.Up, client, target),
      [Direction.Down]: createPipe(Direction.Down, target, client),
    };
    for (const socket of this.sockets) {
      socket.setNoDelay(true);
      socket.on('error', () => this.handleEnd());
      socket.on('close', () => this.handleEnd());
    }
  }

  update(): void {
    for (const pipe of Object.values(this.pipes)) pipe.update();
  }

  /** Mutes directions of this connection permanently. */
  pausePermanently(directions: readonly Direction[]): void {
    for (const direction of directions) this.pipes[direction].pausePermanently();
  }

  /** Closes both sockets. */
  close(): void {
    this.closeSockets((socket) => socket.destroy());
  }

  /** Closes both sockets with a TCP reset. */
  reset(): void {
    this.closeSockets((socket) => socket.resetAndDestroy());
  }

  /** Closes both sockets when one ends, unless a muted direction has to hide the end from the other side. */
  private handleEnd(): void {
    if (Object.values(this.pipes).some((pipe) => pipe.isMuted)) return;
    this.close();
  }

  private closeSockets(endSocket: (socket: Socket) => void): void {
    if (this.isClosed) return;
    this.isClosed = true;
    for (const pipe of Object.values(this.pipes)) pipe.stop();
    for (const socket of this.sockets) endSocket(socket);
    this.onClose();
  }
}
