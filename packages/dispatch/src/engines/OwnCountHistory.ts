const BUCKET_MS = 100;
const RETENTION_MS = 15_000;
const TOLERANCE_MS = 500;

interface CountAt {
  readonly atMs: number;
  most: number;
  last: number;
}

/** The dispatcher's own grants on an engine over the last seconds, to compare late reports with. */
export class OwnCountHistory {
  private points: CountAt[] = [];

  /** Records the present number of grants. */
  record(count: number, nowMs: number): void {
    const last = this.points.at(-1);
    if (last !== undefined && nowMs - last.atMs < BUCKET_MS) {
      last.most = Math.max(last.most, count);
      last.last = count;
      return;
    }
    this.points.push({ atMs: nowMs, most: count, last: count });
    const first = this.points[0];
    if (first !== undefined && nowMs - first.atMs > 2 * RETENTION_MS) this.removeOld(nowMs);
  }

  /**
   * Finds the most grants that the engine may have seen around a time.
   *
   * @param atMs - when the engine made its report
   * @returns the count, with a tolerance for differences between clocks
   */
  findMost(atMs: number): number {
    let most = 0;
    for (let index = this.points.length - 1; index >= 0; index -= 1) {
      const point = this.points[index];
      if (point === undefined || point.atMs > atMs + TOLERANCE_MS) continue;
      const isBefore = point.atMs + BUCKET_MS < atMs - TOLERANCE_MS;
      most = Math.max(most, isBefore ? point.last : point.most);
      if (isBefore) break;
    }
    return most;
  }

  private removeOld(nowMs: number): void {
    const kept = this.points.findIndex((point) => nowMs - point.atMs <= RETENTION_MS);
    this.points = this.points.slice(Math.max(0, kept - 1));
  }
}
