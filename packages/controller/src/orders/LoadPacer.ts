const MS_PER_MINUTE = 60_000;

/** Limits of the weight store, as far as one data centre may use it. */
export interface LoadLimits {
  readonly parallelLoads: number;
  readonly loadsPerMinute: number;
}

/** Spaces loads out, so that the weight store's rate limit is kept. */
export class LoadPacer {
  private readonly limits: LoadLimits;
  private underWay = 0;
  private nextAtMs = -Infinity;

  constructor(limits: LoadLimits) {
    this.limits = limits;
  }

  /**
   * Takes leave to start a load.
   *
   * @param nowMs - the present
   * @returns whether it may start; if so `finish` has to follow
   */
  start(nowMs: number): boolean {
    if (this.underWay >= this.limits.parallelLoads || nowMs < this.nextAtMs) return false;
    this.underWay += 1;
    this.nextAtMs = nowMs + MS_PER_MINUTE / this.limits.loadsPerMinute;
    return true;
  }

  /** Notes that a load has ended, well or not. */
  finish(): void {
    this.underWay -= 1;
  }
}
