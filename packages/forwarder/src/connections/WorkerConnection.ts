import { buildConnector, Client } from 'undici';

import { CONNECT_TIMEOUT_MS, MAX_ANSWER_HEAD_BYTES } from '../constants.js';

import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';

const MS_PER_DAY = 86_400_000;

const openSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** One connection to a worker, which carries one request at a time. */
export class WorkerConnection {
  readonly #client: Client;
  #isOpen = true;
  #wasReset = false;
  /** When the last answer ended; undefined until then. */
  idleSinceMs: number | undefined;

  /**
   * @param address - `ip:port` of the worker
   * @param onClose - called once, when the connection is gone
   */
  constructor(address: string, onClose: () => void) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      connect: (options, callback) => {
        openSocket(options, (...result) => {
          // Before the library's own listeners: it takes a reset for the end of an answer without length.
          if (result[0] === null) this.#watchReset(result[1]);
          callback(...result);
        });
      },
      // The exchange has time limits of its own, and the pool its own limits of age.
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

  /** Whether the connection stands, or has not been opened yet. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether the connection ended by an error instead of an orderly close. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  #watchReset(socket: Socket): void {
    socket.on('error', () => (this.#wasReset = true));
    // libuv reports a reset that comes together with the last bytes as an orderly end. The operating system
    // tells them apart: a connection that was reset has no peer any more. Node asks it at the first look only.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) this.#wasReset = true;
    });
  }

  /**
   * Sends a request.
   *
   * @param options - method, path, headers and body
   * @param handler - receives the answer
   */
  send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.idleSinceMs = undefined;
    this.#client.dispatch(options, handler);
  }

  /** Closes the connection, with whatever runs on it. */
  close(): void {
    this.#isOpen = false;
    void this.#client.destroy();
  }
}
