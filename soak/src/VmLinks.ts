import { Socket } from 'node:net';

/** Fault of all connections from one VM to workers. */
export enum VmLinkFault {
  None = 'none',
  /** Open connections are reset and new ones are refused. */
  Reset = 'reset',
  /** Open connections pass no data and new ones do not open. Affected connections stay blocked after the fault ends. */
  Hang = 'hang',
  /** Open connections keep working and new ones are refused. */
  RefuseNew = 'refuse_new',
}

/** Tells the process of a VM the ports of the workers and the fault of its connections to them. */
export interface VmLinkMessage {
  readonly fault: VmLinkFault;
  readonly workerPorts: readonly number[];
}

type Connect = (this: Socket, ...args: unknown[]) => Socket;

const buildError = (code: string, syscall: string): Error =>
  Object.assign(new Error(`${syscall} ${code}`), { code, syscall });

/** Discards what a connection sends and receives from now on. */
const stopTraffic = (socket: Socket): void => {
  socket._write = (_chunk, _encoding, callback) => callback();
  socket._writev = (_chunks, callback) => callback();
  socket.push = () => true;
};

/** Reads the port from the arguments of `connect`: `net.connect` passes an array that holds the options. */
const findPort = ([first]: readonly unknown[]): number => {
  const target: unknown = Array.isArray(first) ? first[0] : first;
  const isObject = typeof target === 'object' && target !== null;
  return Number(isObject && 'port' in target ? target.port : target);
};

/** The connections that this process opens, and the fault of those to workers. */
export class VmLinks {
  /** Open connections, and the port that each is connected to. */
  readonly #ports = new Map<Socket, number>();
  #message: VmLinkMessage = { fault: VmLinkFault.None, workerPorts: [] };

  /** Has all sockets of this process connect through this object. */
  attach(): void {
    const connect = Reflect.get(Socket.prototype, 'connect') as Connect;
    Socket.prototype.connect = new Proxy(connect, {
      apply: (_connect, socket: Socket, args: unknown[]) => this.#connect(connect, socket, args),
    });
  }

  /** Applies a fault to the open connections to workers and to those that are opened from now on. */
  apply(message: VmLinkMessage): void {
    this.#message = message;
    for (const [socket, port] of this.#ports) {
      if (message.workerPorts.includes(port)) this.#openSocketFaults[message.fault](socket);
    }
  }

  readonly #openSocketFaults: Readonly<Record<VmLinkFault, (socket: Socket) => void>> = {
    [VmLinkFault.None]: () => undefined,
    [VmLinkFault.Reset]: (socket) => socket.destroy(buildError('ECONNRESET', 'read')),
    [VmLinkFault.Hang]: stopTraffic,
    [VmLinkFault.RefuseNew]: () => undefined,
  };

  #connect(connect: Connect, socket: Socket, args: unknown[]): Socket {
    const port = findPort(args);
    const { fault, workerPorts } = this.#message;
    if (fault !== VmLinkFault.None && workerPorts.includes(port)) {
      if (fault !== VmLinkFault.Hang)
        process.nextTick(() => socket.destroy(buildError('ECONNREFUSED', 'connect')));
      return socket;
    }
    this.#ports.set(socket, port);
    socket.once('close', () => this.#ports.delete(socket));
    return Reflect.apply(connect, socket, args);
  }
}
