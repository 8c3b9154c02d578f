import { createRouter, sendJson, startHttpServer } from '../http/index.js';

import type { RoutedCall, StandIn } from '../http/index.js';

/** Options of a weight store stand-in. */
export interface WeightStoreOptions {
  readonly listen?: string;
  /** Size of every model's weights. */
  readonly modelMegabytes?: number;
  /** Total rate of all transfers. */
  readonly megabytesPerSecond?: number;
  /** Number of transfers in progress at which further ones are refused. */
  readonly transferLimit?: number;
}

const DEFAULT_MODEL_MEGABYTES = 100;
const DEFAULT_MEGABYTES_PER_SECOND = 1_000;
const DEFAULT_TRANSFER_LIMIT = 2;

/** Runs the transfers of a weight store one after the other, each at the full rate. */
class TransferQueue {
  active = 0;
  transfers = 0;
  refused = 0;
  private freeAtMs = 0;

  /** Waits until the earlier transfers have finished and this one has taken its duration. */
  async run(durationMs: number): Promise<void> {
    this.active += 1;
    this.transfers += 1;
    const nowMs = Date.now();
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + durationMs;
    await new Promise((resolve) => setTimeout(resolve, this.freeAtMs - nowMs));
    this.active -= 1;
  }
}

/**
 * Starts a stand-in for the rate-limited weight store. `GET /v1/weights/{model}` responds when the
 * transfer would have finished, or with 429 if too many transfers are in progress.
 *
 * @param options - listen address, sizes, rates and transfer limit
 * @returns the stand-in, once it is listening
 */
export const startWeightStore = async (options: WeightStoreOptions = {}): Promise<StandIn> => {
  const queue = new TransferQueue();
  const megabytes = options.modelMegabytes ?? DEFAULT_MODEL_MEGABYTES;
  const rate = options.megabytesPerSecond ?? DEFAULT_MEGABYTES_PER_SECOND;
  const limit = options.transferLimit ?? DEFAULT_TRANSFER_LIMIT;
  const handleTransfer = async ({ response }: RoutedCall): Promise<void> => {
    if (queue.active >= limit) {
      queue.refused += 1;
      sendJson(response, 429, { error: 'Too many transfers.' });
      return;
    }
    await queue.run((megabytes / rate) * 1_000);
    sendJson(response, 200, { megabytes });
  };
  const router = createRouter([
    { method: 'GET', pattern: /^\/v1\/weights\/([^/]+)$/, handle: handleTransfer },
    {
      method: 'GET',
      pattern: /^\/control$/,
      handle: ({ response }) =>
        sendJson(response, 200, { transfers: queue.transfers, refused: queue.refused }),
    },
  ]);
  const server = await startHttpServer(options.listen ?? '127.0.0.1:0', router);
  return { address: server.address, stop: server.stop };
};
