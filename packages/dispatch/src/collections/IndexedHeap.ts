/** A binary min-heap from which any item can be removed in logarithmic time. */
export class IndexedHeap<Item> {
  private readonly items: Item[] = [];
  private readonly positions = new Map<Item, number>();

  constructor(private readonly getKey: (item: Item) => number) {}

  get size(): number {
    return this.items.length;
  }

  /** @returns the item with the smallest key; undefined if the heap is empty */
  peek(): Item | undefined {
    return this.items[0];
  }

  /** Adds an item, which must not be in the heap yet. */
  add(item: Item): void {
    this.items.push(item);
    this.moveUp(this.items.length - 1, item);
  }

  /** Removes an item; does nothing if it is not in the heap. */
  remove(item: Item): void {
    const position = this.positions.get(item);
    if (position === undefined) return;
    this.positions.delete(item);
    const last = this.items.pop();
    if (last === undefined || last === item) return;
    const finalPosition = this.moveUp(position, last);
    if (finalPosition === position) this.moveDown(position, last);
  }

  private setAt(position: number, item: Item): void {
    this.items[position] = item;
    this.positions.set(item, position);
  }

  private moveUp(from: number, item: Item): number {
    const key = this.getKey(item);
    let position = from;
    while (position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parent = this.items[parentPosition];
      if (parent === undefined || this.getKey(parent) <= key) break;
      this.setAt(position, parent);
      position = parentPosition;
    }
    this.setAt(position, item);
    return position;
  }

  private moveDown(from: number, item: Item): void {
    const key = this.getKey(item);
    let position = from;
    for (;;) {
      const child = this.pickSmallerChild(position);
      const childItem = child === undefined ? undefined : this.items[child];
      if (child === undefined || childItem === undefined || this.getKey(childItem) >= key) break;
      this.setAt(position, childItem);
      position = child;
    }
    this.setAt(position, item);
  }

  private pickSmallerChild(position: number): number | undefined {
    const left = 2 * position + 1;
    const leftItem = this.items[left];
    if (leftItem === undefined) return undefined;
    const rightItem = this.items[left + 1];
    if (rightItem === undefined) return left;
    return this.getKey(rightItem) < this.getKey(leftItem) ? left + 1 : left;
  }
}
