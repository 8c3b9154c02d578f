import { buildConnector, Client } from 'undici';

import { CONNECT_TIMEOUT_MS, MAX_ANSWER_HEAD_BYTES } from '../constants.js';

import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';

const MS_PER_DAY = 86_400_000;

const openSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** A connection to a worker. It handles one request at a time. */
export class WorkerConnection {
  readonly #client: Client;
  #isOpen = true;
  #wasReset = false;
  /** When the last answer ended; undefined before the first one and while a request is in progress. */
  idleSinceMs: number | undefined;

  /**
   * @param address - `ip:port` of the worker
   * @param onClose - called once, when the connection has been closed by the worker or has failed
   */
  constructor(address: string, onClose: () => void) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      connect: (options, callback) => {
        openSocket(options, (...result) => {
          // Must run before undici adds its listeners: undici treats a reset as the end of an answer without a length.
          if (result[0] === null) this.#watchReset(result[1]);
          callback(...result);
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
      onClose();
    };
    this.#client.on('disconnect', close);
    this.#client.on('connectionError', close);
  }

  /** Whether the connection is usable: it is established or has not been opened yet. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether the connection ended with an error instead of an orderly close. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  #watchReset(socket: Socket): void {
    socket.on('error', () => (this.#wasReset = true));
    // libuv reports a reset that arrives together with the last bytes as an orderly end. The operating system still
    // distinguishes them: a reset connection has no peer address. Node caches the address once it has been read, so
    // nothing may read it earlier.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) this.#wasReset = true;
    });
  }

  /**
   * Sends a request.
   *
   * @param options - method, path, headers and body
   * @param handler - undici handler that receives the answer
   */
  send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.idleSinceMs = undefined;
    this.#client.dispatch(options, handler);
  }

  /** Closes the connection and aborts the request in progress on it. */
  close(): void {
    this.#isOpen = false;
    void this.#client.destroy();
  }
}
