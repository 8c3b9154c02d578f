interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** Scheduled events in order of virtual time, in a binary heap. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private scheduledCount = 0;
  /** Current virtual time, in milliseconds. */
  nowMs = 0;

  /** Schedules an event; events due at the same time run in the order in which they were scheduled. */
  schedule(delayMs: number, run: () => void): void {
    this.scheduledCount += 1;
    this.heap.push({ atMs: this.nowMs + delayMs, order: this.scheduledCount, run });
    this.moveUp(this.heap.length - 1);
  }

  /** Advances virtual time and runs every event that is due by then. */
  advance(untilMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.atMs > untilMs) break;
      this.removeFirst();
      this.nowMs = first.atMs;
      first.run();
    }
    this.nowMs = untilMs;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.moveDown(0);
  }

  private moveUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.swapIfBefore(index, parent)) return;
      index = parent;
    }
  }

  private moveDown(start: number): void {
    let index = start;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      const [a, b] = [this.heap[left], this.heap[right]];
      if (a === undefined) return;
      const child = b !== undefined && isBefore(b, a) ? right : left;
      if (!this.swapIfBefore(child, index)) return;
      index = child;
    }
  }

  private swapIfBefore(lower: number, upper: number): boolean {
    const [a, b] = [this.heap[lower], this.heap[upper]];
    if (a === undefined || b === undefined || !isBefore(a, b)) return false;
    this.heap[lower] = b;
    this.heap[upper] = a;
    return true;
  }
}
