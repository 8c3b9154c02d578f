const MS_PER_MINUTE = 60_000;

/**
 * Limits on how engines of one data centre load models from the weight store, the server from which they
 * fetch model weights.
 */
export interface LoadLimits {
  readonly parallelLoads: number;
  readonly loadsPerMinute: number;
}

/** Limits the number and the rate of model loads, to stay within the limits of the weight store. */
export class LoadLimiter {
  private readonly limits: LoadLimits;
  private activeLoads = 0;
  private nextStartAtMs = -Infinity;

  constructor(limits: LoadLimits) {
    this.limits = limits;
  }

  /**
   * Claims permission to start a load.
   *
   * @param nowMs - current time, in milliseconds
   * @returns whether the load may start; if so, `release` must be called when it ends
   */
  acquire(nowMs: number): boolean {
    if (this.activeLoads >= this.limits.parallelLoads || nowMs < this.nextStartAtMs) return false;
    this.activeLoads += 1;
    this.nextStartAtMs = nowMs + MS_PER_MINUTE / this.limits.loadsPerMinute;
    return true;
  }

  /** Records that a load has ended, whether it succeeded or not. */
  release(): void {
    this.activeLoads -= 1;
  }
}
