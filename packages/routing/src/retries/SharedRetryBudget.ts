/** Limits of the retries of one service, summed over all VMs. */
export interface SharedRetryLimits {
  /** Maximum ratio of retries to callers' requests. */
  readonly share: number;
  /** Number of additional retries within the window. */
  readonly slack: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/**
 * Share of the allowed retries that the VMs use. The rest allows for requests in flight at a window's boundary, which the
 * operators' check may count in the adjacent window.
 */
const USABLE_SHARE = 0.8;

/** Time between the decision to retry and the arrival at a worker that a window allows for, in milliseconds. */
const ARRIVAL_MARGIN_MS = 1_000;

/** Removes the times before a moment from an ascending list. */
const removeBefore = (timesMs: number[], fromMs: number): void => {
  const first = timesMs.findIndex((atMs) => atMs > fromMs);
  timesMs.splice(0, first < 0 ? timesMs.length : first);
};

/**
 * This VM's part of the retries of one service: a ratio of its own requests, and an equal share of what the fleet may use in
 * addition.
 *
 * Load pattern: workers fail while hundreds of VMs have one or two requests a second each. The equal share of a VM is less
 * than one retry then, so that a VM can retry only if its share and its ratio count together, over the whole window.
 */
export class SharedRetryBudget {
  readonly #requestsMs: number[] = [];
  readonly #retriesMs: number[] = [];

  /**
   * @param limits - limits of the retries of all VMs
   * @param getVmCount - returns the number of VMs that share them; undefined if it is not known
   */
  constructor(
    private readonly limits: SharedRetryLimits,
    private readonly getVmCount: () => number | undefined,
  ) {}

  /** Records a request of a caller, which raises the number of allowed retries for one window. */
  recordRequest(nowMs: number): void {
    this.#requestsMs.push(nowMs);
    removeBefore(this.#requestsMs, nowMs - this.limits.windowMs);
  }

  /** @returns whether at least one retry is available */
  hasRetry(nowMs: number): boolean {
    const { share, slack, windowMs } = this.limits;
    removeBefore(this.#requestsMs, nowMs - windowMs);
    removeBefore(this.#retriesMs, nowMs - windowMs - ARRIVAL_MARGIN_MS);
    const vmCount = this.getVmCount();
    const vmSlack = vmCount === undefined ? 0 : slack / vmCount;
    const allowed = USABLE_SHARE * (share * this.#requestsMs.length + vmSlack);
    return this.#retriesMs.length + 1 <= allowed;
  }

  /**
   * Claims one retry.
   *
   * @returns whether a retry was available
   */
  claim(nowMs: number): boolean {
    if (!this.hasRetry(nowMs)) return false;
    this.#retriesMs.push(nowMs);
    return true;
  }
}
