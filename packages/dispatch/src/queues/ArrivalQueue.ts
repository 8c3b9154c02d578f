import type { QueueItem } from './types.js';

const MIN_LENGTH_TO_COMPACT = 32;

const isAfter = (left: QueueItem, right: QueueItem): boolean =>
  left.ask.arrivedAtMs > right.ask.arrivedAtMs ||
  (left.ask.arrivedAtMs === right.ask.arrivedAtMs && left.sequence > right.sequence);

/**
 * A queue in order of first arrival. A removed item is only marked; marked items are skipped, and removed when they
 * make up half of the array.
 */
export class ArrivalQueue<Item extends QueueItem> {
  private items: Item[] = [];
  private head = 0;
  private queuedCount = 0;

  get size(): number {
    return this.queuedCount;
  }

  /** Inserts an item by its arrival time, which may be earlier than that of queued items. */
  add(item: Item): void {
    item.isQueued = true;
    this.queuedCount += 1;
    const last = this.items.at(-1);
    if (last === undefined || this.head >= this.items.length || isAfter(item, last)) {
      this.items.push(item);
      return;
    }
    this.items.splice(this.findPosition(item), 0, item);
  }

  /** Removes an item; does nothing if it is not queued. */
  remove(item: Item): void {
    if (!item.isQueued) return;
    item.isQueued = false;
    this.queuedCount -= 1;
    this.removeMarkedItems();
  }

  /** @returns the item that arrived first; undefined if the queue is empty */
  peekOldest(): Item | undefined {
    for (; this.head < this.items.length; this.head += 1) {
      const item = this.items[this.head];
      if (item?.isQueued === true) return item;
    }
    return undefined;
  }

  /** @returns the item that arrived last; undefined if the queue is empty */
  peekNewest(): Item | undefined {
    while (this.items.length > this.head) {
      const item = this.items.at(-1);
      if (item?.isQueued === true) return item;
      this.items.pop();
    }
    return undefined;
  }

  /** @returns all waiting items, oldest first */
  list(): readonly Item[] {
    return this.items.slice(this.head).filter((item) => item.isQueued);
  }

  private findPosition(item: Item): number {
    let low = this.head;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.items[middle];
      if (other !== undefined && isAfter(other, item)) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  private removeMarkedItems(): void {
    const length = this.items.length;
    if (length < MIN_LENGTH_TO_COMPACT || this.queuedCount * 2 > length) return;
    this.items = this.items.slice(this.head).filter((item) => item.isQueued);
    this.head = 0;
  }
}
