const BUCKET_MS = 100;
const RETENTION_MS = 15_000;

/** Allowed difference between the engine's clock and the dispatcher's. */
const CLOCK_TOLERANCE_MS = 500;

interface GrantCountSample {
  readonly atMs: number;
  maxCount: number;
  lastCount: number;
}

/**
 * Keeps how many grants the dispatcher had on an engine over the last seconds, so that a delayed load report can be
 * compared with the grants at the time of the report.
 */
export class GrantCountHistory {
  private samples: GrantCountSample[] = [];

  /** Records the current number of grants. */
  record(count: number, nowMs: number): void {
    const last = this.samples.at(-1);
    if (last !== undefined && nowMs - last.atMs < BUCKET_MS) {
      last.maxCount = Math.max(last.maxCount, count);
      last.lastCount = count;
      return;
    }
    this.samples.push({ atMs: nowMs, maxCount: count, lastCount: count });
    const first = this.samples[0];
    if (first !== undefined && nowMs - first.atMs > 2 * RETENTION_MS) this.removeExpired(nowMs);
  }

  /**
   * Finds the largest number of grants that the engine may have counted around a time.
   *
   * @param atMs - when the engine made its report, in milliseconds
   * @returns the largest count within the tolerance for clock differences
   */
  findMaxCount(atMs: number): number {
    let maxCount = 0;
    for (let index = this.samples.length - 1; index >= 0; index -= 1) {
      const sample = this.samples[index];
      if (sample === undefined || sample.atMs > atMs + CLOCK_TOLERANCE_MS) continue;
      const isBefore = sample.atMs + BUCKET_MS < atMs - CLOCK_TOLERANCE_MS;
      maxCount = Math.max(maxCount, isBefore ? sample.lastCount : sample.maxCount);
      if (isBefore) break;
    }
    return maxCount;
  }

  private removeExpired(nowMs: number): void {
    const firstKept = this.samples.findIndex((sample) => nowMs - sample.atMs <= RETENTION_MS);
    this.samples = this.samples.slice(Math.max(0, firstKept - 1));
  }
}
