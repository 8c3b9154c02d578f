import { MAX_DIRECT_VMS } from './listRelays.js';

/** Time between two reports where each VM tells all others, in milliseconds: an engine reads 2,800 tokens meanwhile. */
const DIRECT_INTERVAL_MS = 50;

/**
 * Time between two reports where relays pass them on, in milliseconds: a digest of 63 engines, some 600 bytes, then
 * stays within the 5 KB a second that a daemon may spend.
 */
export const RELAYED_INTERVAL_MS = 150;

/**
 * Tells how long a VM waits between two reports of its load.
 *
 * Load pattern: a burst at a few VMs, each of which places many prompts before it hears of those of the others: the
 * longer the interval, the more of them meet at one engine.
 *
 * @param vmCount - VMs in the fleet
 * @returns the interval in milliseconds
 */
export const computeReportInterval = (vmCount: number): number =>
  vmCount <= MAX_DIRECT_VMS ? DIRECT_INTERVAL_MS : RELAYED_INTERVAL_MS;
