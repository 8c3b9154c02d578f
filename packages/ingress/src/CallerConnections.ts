import { STATUS_CODES } from 'node:http';
import { Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';

import { ClientLimit } from './types.js';

import type { Server, ServerResponse } from 'node:http';
import type { TLSSocket } from 'node:tls';
import type { LimitListener } from './types.js';

/** Limits of connections; each is unlimited if it is missing. */
export interface CallerConnectionLimits {
  /** Maximum number of connections. A new one replaces that which has waited longest for a request or its head. */
  readonly maxConnections?: number;
  /** Maximum memory of heads that are not whole, in bytes; the connections that have waited longest for theirs are closed. */
  readonly partialHeadBytes?: number;
  /** Maximum number of answers that are owed on a connection; one that asks for more is closed. */
  readonly maxPipelined?: number;
  /** Time without progress after which a connection with an unread answer is closed, in milliseconds. */
  readonly unreadTimeoutMs?: number;
  /** Called when a connection exceeds a limit. */
  readonly onLimit?: LimitListener;
  /** Called with the memory that is released with a connection that is closed for one of these limits, in bytes. */
  readonly onReleased?: (bytes: number) => void;
}

/** What is known of one connection of a caller. */
interface CallerConnection {
  /** Answers that are not sent completely, in the order of their requests. */
  readonly owed: Set<ServerResponse>;
  /** Bytes that had been received when the connection was added, those of a TLS handshake. */
  readonly startBytes: number;
  /** Whether the caller was told that the connection closes after an answer. */
  isClosing: boolean;
  /** Bytes that are still to be written because what follows the last request is malformed; then the connection ends. */
  refusal: string | undefined;
  /** Bytes that had been received when the last answer was sent; undefined before the first one. */
  idleAtBytes: number | undefined;
}

/** Status codes for malformed bytes, by the error that the parser reports; 400 for others. */
const PARSER_ERROR_STATUS: ReadonlyMap<string | undefined, number> = new Map([
  ['HPE_HEADER_OVERFLOW', 431],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

const BAD_REQUEST = 400;

/** Memory of the requests that one read of 64 KiB may hold, in bytes: some 600 with some 4 KiB of objects each. */
const READ_REQUESTS_BYTES = 2_500_000;

/** Number of new connections that are read at once in one iteration; others wait as if they had been paused. */
const FREE_CONNECTIONS = 16;

/** Bytes of a head up to which it does not count as partial: most heads come whole. */
const SPARED_HEAD_BYTES = 1_024;

/** Memory of a head of short lines, as a multiple of its bytes. */
const HEAD_MEMORY_FACTOR = 8;

/** Number of connections that are read again in one iteration after all have been paused. */
const RESUMED_CONNECTIONS = 4;

/** The parser reports the end of the caller's stream in the middle of a request by this code. */
const CALLER_ENDED = 'HPE_INVALID_EOF_STATE';

const formatRefusal = (code: string | undefined): string => {
  const status = PARSER_ERROR_STATUS.get(code) ?? BAD_REQUEST;
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`;
};

/** Connections of callers, and the answers that are owed on them. */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>();
  /** Connections on which no answer is owed; those that wait longest for a request come first. */
  readonly #waiting = new Set<Socket>();

  /** Connections in a TLS handshake, by their remote address and port. */
  readonly #handshakes = new Map<string, Socket>();

  /** Connections that are read again in one of the next iterations of the event loop. */
  readonly #paused = new Set<Socket>();

  /** Number of connections that were added in the current iteration. */
  #added = 0;

  /** Memory of connections that were closed in the current iteration, in bytes. */
  #releasedBytes = 0;

  /** @param limits - limits of the connections */
  constructor(private readonly limits: CallerConnectionLimits = {}) {}

  /** Number of open connections. */
  get count(): number {
    return this.#connections.size;
  }

  /**
   * Tracks the connections of a server. Node would close a connection as idle as soon as its answer has ended, although
   * the caller may not have read it yet.
   *
   * @param server - server of the callers
   */
  attach(server: Server): void {
    const isTls = server instanceof TlsServer;
    server.on('connection', (socket: Socket) => {
      this.#add(socket);
      if (socket.destroyed) return;
      if (isTls) this.#addHandshake(socket);
      else this.#paceNew(socket);
    });
    server.on('secureConnection', (socket: TLSSocket) => this.#replaceHandshake(socket));
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (socket instanceof Socket) this.#refuse(socket, error.code);
      else socket.destroy();
    });
    server.closeIdleConnections = () => this.#closeIdle();
  }

  /**
   * Adds an answer that is owed until it is sent completely or its connection has closed.
   *
   * @param response - response to a request that was received
   * @returns false if the caller knows that it gets no answer: the connection closes after an earlier one
   */
  addAnswer(response: ServerResponse): boolean {
    const { socket } = response.req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return true;
    const { owed, isClosing } = connection;
    if (isClosing) return false;
    if (owed.size >= (this.limits.maxPipelined ?? Infinity)) {
      // Node would go on reading requests for which there is no answer.
      connection.isClosing = true;
      this.limits.onLimit?.(ClientLimit.PipelinedRequests);
      this.#recordReleased(READ_REQUESTS_BYTES);
      socket.destroy();
      this.#pauseAll();
      return false;
    }
    owed.add(response);
    this.#waiting.delete(socket);
    response.once('close', () => {
      owed.delete(response);
      connection.idleAtBytes = socket.bytesRead;
      if (owed.size === 0 && !socket.destroyed) this.#waiting.add(socket);
      finishRefused(socket, connection);
    });
    return true;
  }

  /**
   * Closes the connection after an answer and tells the caller so, unless another answer is owed behind it.
   *
   * @param response - the answer, of which nothing has been sent
   */
  closeAfter(response: ServerResponse): void {
    const connection = this.#connections.get(response.req.socket);
    if (connection !== undefined && [...connection.owed].at(-1) !== response) return;
    if (connection !== undefined) connection.isClosing = true;
    response.shouldKeepAlive = false;
  }

  /** Limits the time in which callers read answers that have ended, and the heads that are not whole; called every second. */
  sweep(): void {
    this.#closePartialHeads();
    const { unreadTimeoutMs } = this.limits;
    if (unreadTimeoutMs === undefined) return;
    for (const [socket, { owed }] of this.#connections) {
      const [first] = owed;
      // A socket's timeout begins again whenever the system takes bytes; Node replaces it when the answer is sent.
      if (first?.writableEnded === true && socket.timeout !== unreadTimeoutMs)
        socket.setTimeout(unreadTimeoutMs);
    }
  }

  /**
   * Pauses all connections, of which some are then read in each iteration of the event loop. What one read of a connection
   * brings is held until the end of the iteration, also if the connection is closed.
   */
  #pauseAll(): void {
    const isScheduled = this.#paused.size > 0;
    for (const socket of this.#connections.keys()) {
      if (socket.destroyed || socket.isPaused()) continue;
      socket.pause();
      this.#paused.add(socket);
    }
    if (!isScheduled && this.#paused.size > 0) setImmediate(() => this.#resumeSome());
  }

  /** Lets new connections take turns once there are many in one iteration. */
  #paceNew(socket: Socket): void {
    if (this.#added === 0) setImmediate(() => (this.#added = 0));
    this.#added += 1;
    if (this.#added <= FREE_CONNECTIONS && this.#paused.size === 0) return;
    const isScheduled = this.#paused.size > 0;
    this.#paused.add(socket);
    // Node begins to read a new connection in the next tick.
    process.nextTick(() => {
      if (this.#paused.has(socket)) socket.pause();
    });
    if (!isScheduled) setImmediate(() => this.#resumeSome());
  }

  /** Closes the connections that have waited longest for the rest of a head while all such heads need too much memory. */
  #closePartialHeads(): void {
    const { partialHeadBytes = Infinity, onLimit } = this.limits;
    const partial: (readonly [Socket, number])[] = [];
    let heldBytes = 0;
    for (const socket of this.#waiting) {
      const bytes = this.#measurePartialHead(socket);
      if (bytes <= HEAD_MEMORY_FACTOR * SPARED_HEAD_BYTES) continue;
      partial.push([socket, bytes]);
      heldBytes += bytes;
    }
    for (const [socket, bytes] of partial) {
      if (heldBytes <= partialHeadBytes) return;
      heldBytes -= bytes;
      onLimit?.(ClientLimit.PartialHeads);
      this.#recordReleased(bytes);
      this.#remove(socket);
      socket.destroy();
    }
  }

  #resumeSome(): void {
    this.#closePartialHeads();
    let resumed = 0;
    for (const socket of this.#paused) {
      this.#paused.delete(socket);
      if (socket.destroyed) continue;
      socket.resume();
      resumed += 1;
      if (resumed >= RESUMED_CONNECTIONS) break;
    }
    if (this.#paused.size > 0) setImmediate(() => this.#resumeSome());
  }

  /** Makes room for a new connection. Returns whether there is any. */
  #makeRoom(): boolean {
    if (this.#connections.size < (this.limits.maxConnections ?? Infinity)) return true;
    this.limits.onLimit?.(ClientLimit.Connections);
    const [longest] = this.#waiting;
    if (longest === undefined) return false;
    this.#recordReleased(this.#measurePartialHead(longest));
    this.#remove(longest);
    longest.destroy();
    return true;
  }

  /** Reports the memory of closed connections once it has become garbage. */
  #recordReleased(bytes: number): void {
    if (this.#releasedBytes === 0) {
      setImmediate(() => {
        // Connections are released at the end of an iteration.
        setImmediate(() => {
          this.limits.onReleased?.(this.#releasedBytes);
          this.#releasedBytes = 0;
        });
      });
    }
    this.#releasedBytes += bytes;
  }

  /** Estimates the memory of what was received of a request's head. */
  #measurePartialHead(socket: Socket): number {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return 0;
    const { startBytes, idleAtBytes = startBytes } = connection;
    return HEAD_MEMORY_FACTOR * (socket.bytesRead - idleAtBytes);
  }

  #remove(socket: Socket): void {
    this.#waiting.delete(socket);
    this.#connections.delete(socket);
  }

  #addHandshake(socket: Socket): void {
    const remote = formatRemote(socket);
    this.#handshakes.set(remote, socket);
    socket.once('close', () => {
      if (this.#handshakes.get(remote) === socket) this.#handshakes.delete(remote);
    });
  }

  /** Tracks the connection that a TLS handshake has led to in place of the one on which it took place: they are one. */
  #replaceHandshake(socket: TLSSocket): void {
    const handshake = this.#handshakes.get(formatRemote(socket));
    if (handshake !== undefined) this.#remove(handshake);
    this.#add(socket);
  }

  #add(socket: Socket): void {
    if (!this.#makeRoom()) {
      socket.destroy();
      return;
    }
    const owed = new Set<ServerResponse>();
    const connection: CallerConnection = {
      owed,
      startBytes: socket.bytesRead,
      isClosing: false,
      refusal: undefined,
      idleAtBytes: undefined,
    };
    this.#connections.set(socket, connection);
    this.#waiting.add(socket);
    socket.once('close', () => {
      this.#remove(socket);
      closeQueued(owed);
    });
  }

  /** Refuses malformed bytes after the answers that are owed. Node would answer them in place of those. */
  #refuse(socket: Socket, code: string | undefined): void {
    const connection = this.#connections.get(socket);
    const hasLeft =
      code === CALLER_ENDED && connection !== undefined && hasWholeRequest(connection);
    if (connection === undefined || !socket.writable || hasLeft) {
      socket.destroy();
      return;
    }
    connection.isClosing = true;
    connection.refusal ??= formatRefusal(code);
    finishRefused(socket, connection);
  }

  /** Closes connections on which no answer is owed and nothing of a further request was received. */
  #closeIdle(): void {
    for (const [socket, { owed, idleAtBytes }] of this.#connections)
      if (owed.size === 0 && socket.bytesRead === idleAtBytes) socket.destroy();
  }
}

const formatRemote = ({ remoteAddress = '', remotePort = 0 }: Socket): string =>
  `${remoteAddress} ${remotePort}`;

/** Whether an answer is owed to a request that was read whole; a refusal is the answer to one whose body is malformed. */
const hasWholeRequest = ({ owed }: CallerConnection): boolean =>
  [...owed].some(({ req }) => req.complete);

/** Writes the refusal of malformed bytes and ends the connection, unless an answer is owed before it. */
const finishRefused = (socket: Socket, connection: CallerConnection): void => {
  const { owed, refusal } = connection;
  if (refusal === undefined || !socket.writable || hasWholeRequest(connection)) return;
  if ([...owed].every(({ headersSent }) => !headersSent)) socket.write(refusal);
  socket.destroySoon();
};

/** Node reports the end of the connection only to the answer that is being sent, not to those that wait for it. */
const closeQueued = (owed: ReadonlySet<ServerResponse>): void => {
  for (const response of [...owed]) {
    if (response.socket !== null) continue;
    response.destroy();
    response.emit('close');
  }
};
