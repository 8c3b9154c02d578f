import { request } from 'undici';

import type { FetchWeights } from './ModelManager.js';

/**
 * Creates the function by which an engine fetches model weights.
 *
 * @param address - base address of the weight store; if undefined, loading takes no time
 * @returns a function that resolves once the weights have been transferred
 */
export const createWeightFetcher =
  (address: string | undefined): FetchWeights =>
  async (model, signal) => {
    if (address === undefined) return;
    const url = `${address}/v1/weights/${encodeURIComponent(model)}`;
    const { statusCode, body } = await request(url, { signal, headersTimeout: 0, bodyTimeout: 0 });
    await body.dump({ limit: Infinity });
    if (statusCode !== 200) throw new Error(`the weight store answered ${statusCode}`);
  };
