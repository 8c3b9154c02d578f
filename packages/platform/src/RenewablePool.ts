import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher, Pool } from 'undici';

/** Status, headers and body of an HTTP answer. */
export interface TextResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/**
 * Pool of connections that is replaced after a call without an answer. Connections that stop responding without a reset
 * mostly do so together, and an idle one would be noticed only by the timeout of a call.
 */
export class RenewablePool {
  #pool: Pool;

  /** @param createPool - creates the pool, and each one that replaces it */
  constructor(private readonly createPool: () => Pool) {
    this.#pool = createPool();
  }

  /**
   * Performs a call.
   *
   * @param options - method, path, headers, body and signal of the call
   * @returns the answer
   * @throws undici's error if there is no answer
   */
  async request(options: Dispatcher.RequestOptions): Promise<TextResponse> {
    const pool = this.#pool;
    try {
      const { statusCode, headers, body } = await pool.request(options);
      return { status: statusCode, headers, text: await body.text() };
    } catch (error) {
      this.#replace(pool);
      throw error;
    }
  }

  /** Closes the connections; calls in progress fail. */
  close(): Promise<void> {
    return this.#pool.destroy();
  }

  #replace(failedPool: Pool): void {
    if (this.#pool !== failedPool || failedPool.destroyed) return;
    this.#pool = this.createPool();
    // Resolves once the calls in progress on the other connections have ended.
    void failedPool.close();
  }
}
