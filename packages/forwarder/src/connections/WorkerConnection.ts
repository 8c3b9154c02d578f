import { Client } from 'undici';

import {
  HEAD_TIMEOUT_MS,
  MAX_BYTES_BEFORE_HEAD,
  MAX_BYTES_WITHOUT_BODY,
  PARSER_HEAD_LIMIT_BYTES,
} from '../constants.js';
import { ConnectionPath } from '../links/enums.js';
import { isReset } from '../links/isReset.js';

import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { DialedConnection, WorkerDialer, WorkerSocket } from '../links/index.js';

const MS_PER_DAY = 86_400_000;

/** Tells, at the end of a connection's bytes, whether the worker has ended in order, by the way that the connection goes. */
const END_CHECKS: Readonly<Record<ConnectionPath, (socket: WorkerSocket) => boolean>> = {
  [ConnectionPath.Direct]: (socket) => !isReset(socket as Socket),
  [ConnectionPath.Tunnel]: () => true,
  [ConnectionPath.BareTunnel]: () => false,
};

/** Callbacks for the head of an answer. */
export interface HeadObserver {
  /** Called with a reason if the head, or what stands between the bytes of the body, is too long. */
  readonly onTooLong: (reason: string) => void;
  /** Called if the head is incomplete for too long. It may still be completed. */
  readonly onTooSlow: () => void;
}

/** The head of an answer that is incomplete so far. */
interface PendingHead {
  readonly observer: HeadObserver;
  /** Bytes that the socket had received at the first read; undefined before it. */
  firstByte: number | undefined;
  timer: NodeJS.Timeout | undefined;
}

/** Decides about a request while it is sent. */
export interface SendGuard extends HeadObserver {
  /** Called when a new connection has opened: returns whether the request is still to be written. */
  readonly shouldWrite: () => boolean;
}

/**
 * A connection to a worker. It handles one request at a time. undici opens a new socket if the worker has closed the last one
 * before a request is written, so what is known of a socket does not hold for the next.
 */
export class WorkerConnection {
  #client: Client | undefined;
  #isOpen = true;
  #wasReset = false;
  #dialed: DialedConnection | undefined;
  #pendingHead: PendingHead | undefined;
  #observer: HeadObserver | undefined;
  /** Bytes that the socket had received when the last byte of a body was parsed; undefined while no body is received. */
  #bodyAtByte: number | undefined;
  #shouldWrite: () => boolean = () => true;
  /** When the last answer ended; undefined before the first one and while a request is in progress. */
  idleSinceMs: number | undefined;
  /** Whether the process at its other end has reported to be the registered one. */
  isVerified = false;

  /**
   * @param address - `ip:port` of the worker
   * @param dialer - opens the connection
   * @param onClose - called once, when the connection has been closed by the worker or has failed
   */
  constructor(
    private readonly address: string,
    private readonly dialer: WorkerDialer,
    private readonly onClose: () => void,
  ) {}

  #createClient(): Client {
    const client = new Client(`http://${this.address}`, {
      pipelining: 1,
      maxHeaderSize: PARSER_HEAD_LIMIT_BYTES,
      connect: (options, callback) => {
        this.dialer.connect(this.address, options, (error, dialed) => {
          if (dialed === undefined) {
            callback(error ?? new Error('no connection was opened'), null);
            return;
          }
          if (!this.#shouldWrite()) {
            dialed.socket.destroy();
            callback(new Error('the request was withdrawn before it was sent'), null);
            return;
          }
          const wasVerified = this.isVerified;
          this.#dialed = dialed;
          this.#wasReset = false;
          this.isVerified = false;
          if (wasVerified) {
            dialed.socket.destroy();
            callback(new Error('the verified process has closed the connection'), null);
            return;
          }
          // Must run before undici adds its listeners: undici treats a reset as the end of an answer without a length.
          this.#watchSocket(dialed);
          // undici uses the socket as a stream.
          callback(null, dialed.socket as Socket);
        });
      },
      // undici's timeouts are disabled: `Exchange` limits requests, and `ConnectionPool` limits idle times.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: MS_PER_DAY,
      keepAliveMaxTimeout: MS_PER_DAY,
      keepAliveTimeoutThreshold: 500,
    });
    const close = (): void => {
      if (!this.#isOpen) return;
      this.#isOpen = false;
      this.onClose();
    };
    client.on('disconnect', close);
    client.on('connectionError', close);
    return client;
  }

  /** Whether the connection is usable: it is established or has not been opened yet. */
  get isOpen(): boolean {
    const socket = this.#dialed?.socket;
    return this.#isOpen && socket?.readableEnded !== true && socket?.destroyed !== true;
  }

  /** Whether another VM passes on the bytes. Such a connection serves one request, so that the VM can refuse the next. */
  get isTunnel(): boolean {
    return this.#dialed !== undefined && this.#dialed.path !== ConnectionPath.Direct;
  }

  /** @returns the way that the connection goes, for logs; empty before it is established */
  describePath(): Readonly<Record<string, string>> {
    const dialed = this.#dialed;
    if (dialed === undefined) return {};
    return dialed.path === ConnectionPath.Direct
      ? { path: dialed.path }
      : { path: dialed.path, through: dialed.vm };
  }

  /** Whether the connection ended with an error, or in a way that does not tell whether the worker has ended in order. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  #watchSocket({ path, socket }: DialedConnection): void {
    socket.on('error', () => (this.#wasReset = true));
    socket.on('end', () => {
      if (!END_CHECKS[path](socket)) this.#wasReset = true;
    });
    socket.on('close', () => {
      if (!socket.readableEnded) this.#wasReset = true;
    });
    socket.on('readable', () => {
      this.#checkHead(socket);
      this.#checkBody(socket);
    });
  }

  /** undici limits headers, but neither the status line nor the number of informational answers. */
  #checkHead(socket: WorkerSocket): void {
    const head = this.#pendingHead;
    if (head === undefined) return;
    head.firstByte ??= socket.bytesRead;
    head.timer ??= setTimeout(head.observer.onTooSlow, HEAD_TIMEOUT_MS);
    if (socket.bytesRead - head.firstByte <= MAX_BYTES_BEFORE_HEAD) return;
    head.observer.onTooLong(`the answer's head exceeds ${MAX_BYTES_BEFORE_HEAD} bytes`);
    // Discards what undici would parse although the connection has been closed.
    socket.read();
  }

  /** undici limits neither the extensions of chunks nor, in a way that spares the process, the trailers. */
  #checkBody(socket: WorkerSocket): void {
    if (this.#bodyAtByte === undefined) return;
    if (socket.bytesRead - this.#bodyAtByte <= MAX_BYTES_WITHOUT_BODY) return;
    this.#observer?.onTooLong(`more than ${MAX_BYTES_WITHOUT_BODY} bytes hold no body`);
    socket.read();
  }

  /** Records that bytes of an answer's body were received, or that it is read again after a pause. */
  recordBody(): void {
    this.#bodyAtByte = this.#dialed?.socket.bytesRead;
  }

  /** Ends the limit on bytes between those of the body while the body is not read. */
  pauseBody(): void {
    this.#bodyAtByte = undefined;
  }

  /**
   * Sends a request.
   *
   * @param options - method, path, headers and body
   * @param handler - undici handler that receives the answer
   * @param guard - decides whether the request is written, and learns that the answer's head is too long or too slow
   * @throws undici's error if the address is not usable; nothing has been sent
   */
  send(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    guard: SendGuard,
  ): void {
    this.idleSinceMs = undefined;
    this.#shouldWrite = guard.shouldWrite;
    this.#observer = guard;
    this.#pendingHead = { observer: guard, firstByte: undefined, timer: undefined };
    this.#client ??= this.#createClient();
    this.#client.dispatch(options, handler);
  }

  /** Resets the time limit of the head after an informational answer; the limit in bytes counts on. */
  resetHeadTimeout(): void {
    if (this.#pendingHead === undefined) return;
    clearTimeout(this.#pendingHead.timer);
    this.#pendingHead.timer = undefined;
  }

  /** Ends the limits on the answer's head: the head is complete. */
  finishHead(): void {
    clearTimeout(this.#pendingHead?.timer);
    this.#pendingHead = undefined;
    this.recordBody();
  }

  /** Ends the limits on the answer: the request has ended. */
  finishAnswer(): void {
    this.finishHead();
    this.pauseBody();
    this.#observer = undefined;
  }

  /** Closes the connection and aborts the request in progress on it. */
  close(): void {
    this.#isOpen = false;
    void this.#client?.destroy();
  }
}
