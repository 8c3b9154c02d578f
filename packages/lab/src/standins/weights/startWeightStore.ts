import { createRouter, sendJson, startHttpServer } from '../http/index.js';

import type { RoutedCall, StandIn } from '../http/index.js';

/** How a weight store stand-in is started. */
export interface WeightStoreOptions {
  readonly listen?: string;
  /** Size of every model's weights. */
  readonly modelMegabytes?: number;
  /** Rate that all transfers share. */
  readonly megabytesPerSecond?: number;
  /** Transfers in progress above which further ones are refused. */
  readonly transferLimit?: number;
}

const MODEL_MEGABYTES = 100;
const MEGABYTES_PER_SECOND = 1_000;
const TRANSFER_LIMIT = 2;

/** Transfers of a weight store, which share its rate one after the other. */
class TransferQueue {
  active = 0;
  transfers = 0;
  refused = 0;
  private freeAtMs = 0;

  /** Waits for a transfer's turn and its duration. */
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
 * Starts a stand-in of the rate-limited weight store: `GET /v1/weights/{model}` answers when the
 * weights would be there, 429 when too many transfers are in progress.
 *
 * @param options - where to listen, sizes and rates
 * @returns the stand-in once it listens
 */
export const startWeightStore = async (options: WeightStoreOptions = {}): Promise<StandIn> => {
  const queue = new TransferQueue();
  const megabytes = options.modelMegabytes ?? MODEL_MEGABYTES;
  const rate = options.megabytesPerSecond ?? MEGABYTES_PER_SECOND;
  const limit = options.transferLimit ?? TRANSFER_LIMIT;
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
