import { IDLE_CLOSE_MS, REPEATABLE_REUSE_MS, UNREPEATABLE_REUSE_MS } from '../constants.js';
import { WorkerConnection } from './WorkerConnection.js';

import type { WorkerDialer } from '../links/index.js';

/** A connection that was claimed for a request. */
export interface ClaimedConnection {
  readonly connection: WorkerConnection;
  /** Whether it has carried a request before. */
  readonly isReused: boolean;
}

/** Pool of this VM's connections to one worker. */
export class ConnectionPool {
  readonly #idle: WorkerConnection[] = [];
  readonly #busy = new Set<WorkerConnection>();

  /**
   * @param address - `ip:port` of the worker
   * @param dialer - opens connections
   */
  constructor(
    readonly address: string,
    private readonly dialer: WorkerDialer,
  ) {}

  /** Number of connections with a request in progress. */
  get busyCount(): number {
    return this.#busy.size;
  }

  /**
   * Claims the connection with the shortest idle time, or a new one if all have been idle for too long.
   *
   * @param nowMs - current time, in milliseconds
   * @param isRepeatable - whether the request may be sent again if the worker has closed the connection
   * @returns the connection, to be returned with `release` or `abort`
   */
  claim(nowMs: number, isRepeatable: boolean): ClaimedConnection {
    // Open connections may hang while the links are lost.
    if (this.dialer.usesTunnels) this.closeIdle();
    const oldestMs = nowMs - (isRepeatable ? REPEATABLE_REUSE_MS : UNREPEATABLE_REUSE_MS);
    for (
      let connection = this.#idle.pop();
      connection !== undefined;
      connection = this.#idle.pop()
    ) {
      if (!connection.isOpen) continue;
      if ((connection.idleSinceMs ?? 0) < oldestMs) {
        this.#idle.push(connection);
        break;
      }
      this.#busy.add(connection);
      return { connection, isReused: true };
    }
    const opened: WorkerConnection = new WorkerConnection(this.address, this.dialer, () =>
      this.#remove(opened),
    );
    this.#busy.add(opened);
    return { connection: opened, isReused: false };
  }

  /**
   * Returns a connection to the pool after a complete answer.
   *
   * @param connection - the claimed connection
   * @param nowMs - current time, in milliseconds
   */
  release(connection: WorkerConnection, nowMs: number): void {
    this.#busy.delete(connection);
    if (!connection.isOpen) return;
    if (connection.isTunnel) {
      connection.close();
      return;
    }
    connection.idleSinceMs = nowMs;
    this.#idle.push(connection);
  }

  /** Closes a claimed connection that cannot be reused because its state is unknown. */
  abort(connection: WorkerConnection): void {
    this.#remove(connection);
    connection.close();
  }

  /** Closes connections that have been idle for too long. */
  sweep(nowMs: number): void {
    for (let first = this.#idle[0]; first !== undefined; first = this.#idle[0]) {
      if (first.isOpen && nowMs - (first.idleSinceMs ?? 0) < IDLE_CLOSE_MS) return;
      this.#idle.shift();
      first.close();
    }
  }

  /** Closes all idle connections. */
  closeIdle(): void {
    for (const connection of this.#idle.splice(0)) connection.close();
  }

  #remove(connection: WorkerConnection): void {
    this.#busy.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
  }
}
