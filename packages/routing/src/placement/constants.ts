/**
 * Prefill rate of an engine, in prompt tokens per millisecond: the value in the specifications of the two smaller sites.
 * A site is an installation of the router. The learned speed of an engine is a multiple of it.
 */
export const PREFILL_TOKENS_PER_MS = 56.6;

/**
 * Delay of the first event for each running request, in milliseconds. According to the sites' specifications each one
 * makes a decoding step 0.09 ms longer, and prefill takes place between steps. It is divided by the learned speed.
 */
export const DELAY_PER_RUN_MS = 2;
