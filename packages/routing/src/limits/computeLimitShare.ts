/**
 * Number of VMs beyond the limit that share it. Each of them may send one request at once, and a small limit would
 * otherwise be used by one VM only.
 */
const EXTRA_OWNERS = 4;

/** Requests that the fleet may send at once, as seconds of the limit. */
const BURST_SECONDS = 1;

/** Minimum rate in requests a second: without any request it would not be noticed that a limit has ended. */
const MIN_PER_SECOND = 0.2;

/** Share of one VM in the limit of a worker. */
export interface LimitShare {
  /** Number of VMs that send requests to the worker. */
  readonly owners: number;
  /** Requests a second of each of them. */
  readonly perSecond: number;
  /** Maximum number of requests that each of them sends at once. */
  readonly burst: number;
}

/**
 * Divides the limit of a worker among VMs that decide alone.
 *
 * Load pattern: a worker in need names a limit that is small compared with the number of VMs. If each VM could send one
 * request at once, a large fleet would exceed the limit many times.
 *
 * @param perSecond - requests a second that the worker accepts from all VMs together
 * @param vmCount - number of VMs
 * @returns the share of each VM that sends requests to the worker
 */
export const computeLimitShare = (perSecond: number, vmCount: number): LimitShare => {
  const owners = Math.max(1, Math.min(vmCount, Math.floor(perSecond + EXTRA_OWNERS)));
  return {
    owners,
    perSecond: Math.max(perSecond, MIN_PER_SECOND) / owners,
    burst: Math.max(1, (perSecond * BURST_SECONDS) / owners),
  };
};
