import { MAX_DIRECT_VMS } from './listRelays.js';

/** Interval of direct reports to all other VMs, in milliseconds; an engine prefills 2,800 tokens in this time. */
const DIRECT_INTERVAL_MS = 50;

/**
 * Interval of load reports through relays, in milliseconds. A digest of 63 engines, some 600 bytes, then stays within
 * the bandwidth limit of a router process, 5 KB per second.
 */
export const RELAYED_INTERVAL_MS = 150;

/**
 * Computes the interval between two load reports of a VM.
 *
 * Load pattern: a burst at a few VMs, each of which places many prompts before it receives the reports of the others.
 * The longer the interval, the more of these prompts collide on one engine.
 *
 * @param vmCount - number of VMs in the fleet, including this one
 * @returns the interval, in milliseconds
 */
export const computeReportInterval = (vmCount: number): number =>
  vmCount <= MAX_DIRECT_VMS ? DIRECT_INTERVAL_MS : RELAYED_INTERVAL_MS;
