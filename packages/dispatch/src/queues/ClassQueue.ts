import { ArrivalQueue } from './ArrivalQueue.js';

import type { WorkspaceName } from '@sardinegrade/common';
import type { QueueItem } from './types.js';

/** Tokens that are added to the deficit of a workspace of weight 1 in each round. */
const QUANTUM_TOKENS = 512;

/** Limit of a negative deficit, so that one long answer does not block a workspace for a long time. */
const MAX_DEBT_TOKENS = 64 * QUANTUM_TOKENS;

const MIN_WEIGHT = 0.01;

/** Tolerance for rounding errors in deficits, which are sums of fractions. */
const ROUNDING_TOLERANCE_TOKENS = 0.001;

interface WorkspaceQueue<Item extends QueueItem> {
  readonly arrivals: ArrivalQueue<Item>;
  weight: number;
  /** Tokens that the workspace may use before the next workspace is served; negative if it used more. */
  deficit: number;
}

/** The waiting requests of one class, served by deficit round robin between workspaces, by estimated tokens. */
export class ClassQueue<Item extends QueueItem> {
  private readonly workspaces = new Map<WorkspaceName, WorkspaceQueue<Item>>();
  /** Queues of the workspaces with waiting requests, in round-robin order. */
  private readonly activeQueues: WorkspaceQueue<Item>[] = [];
  private nextPosition = 0;
  private queuedCount = 0;

  constructor(private getWeight: (workspace: WorkspaceName) => number) {}

  get size(): number {
    return this.queuedCount;
  }

  /** Applies new workspace weights. */
  setWeights(getWeight: (workspace: WorkspaceName) => number): void {
    this.getWeight = getWeight;
    for (const [name, queue] of this.workspaces) queue.weight = this.getWeightOf(name);
  }

  /** Adds a request to the queue of its workspace. */
  add(item: Item): void {
    const queue = this.requireQueue(item.ask.workspace);
    if (queue.arrivals.size === 0) this.activeQueues.push(queue);
    queue.arrivals.add(item);
    this.queuedCount += 1;
  }

  /** Removes a waiting request without charging its workspace; does nothing if it is not queued. */
  remove(item: Item): void {
    if (!item.isQueued) return;
    const queue = this.requireQueue(item.ask.workspace);
    queue.arrivals.remove(item);
    this.queuedCount -= 1;
    if (queue.arrivals.size === 0) this.removeActiveQueue(queue);
  }

  /** @returns the request to serve next, which stays the same until it is removed; undefined if none waits */
  peekNext(): Item | undefined {
    if (this.activeQueues.length === 0) return undefined;
    const next = this.findAffordable();
    if (next !== undefined) return next;
    this.addRounds();
    return this.findAffordable();
  }

  /** Charges tokens to a workspace; a negative number is a refund. */
  applyCharge(workspace: WorkspaceName, tokens: number): void {
    const queue = this.requireQueue(workspace);
    queue.deficit = Math.max(-MAX_DEBT_TOKENS, queue.deficit - tokens);
    if (queue.arrivals.size === 0) queue.deficit = Math.min(0, queue.deficit);
  }

  /** @returns the newest request of the workspace with the longest queue relative to its weight */
  peekNewestOfLargest(): Item | undefined {
    let longest: WorkspaceQueue<Item> | undefined;
    let maxLength = 0;
    for (const queue of this.activeQueues) {
      const length = queue.arrivals.size / queue.weight;
      if (length <= maxLength) continue;
      maxLength = length;
      longest = queue;
    }
    return longest?.arrivals.peekNewest();
  }

  /** @returns all waiting requests, grouped by workspace */
  list(): readonly Item[] {
    return this.activeQueues.flatMap((queue) => queue.arrivals.list());
  }

  private findAffordable(): Item | undefined {
    const count = this.activeQueues.length;
    for (let step = 0; step < count; step += 1) {
      const position = (this.nextPosition + step) % count;
      const queue = this.activeQueues[position];
      const head = queue?.arrivals.peekOldest();
      if (
        queue === undefined ||
        head === undefined ||
        queue.deficit + ROUNDING_TOLERANCE_TOKENS < head.cost
      )
        continue;
      this.nextPosition = position;
      return head;
    }
    return undefined;
  }

  /** Adds the smallest number of rounds after which a workspace has enough deficit for its oldest request. */
  private addRounds(): void {
    let rounds = Infinity;
    for (const queue of this.activeQueues) {
      const missingTokens = (queue.arrivals.peekOldest()?.cost ?? 0) - queue.deficit;
      rounds = Math.min(rounds, Math.ceil(missingTokens / (QUANTUM_TOKENS * queue.weight)));
    }
    for (const queue of this.activeQueues) queue.deficit += rounds * QUANTUM_TOKENS * queue.weight;
  }

  private removeActiveQueue(queue: WorkspaceQueue<Item>): void {
    const position = this.activeQueues.indexOf(queue);
    if (position < 0) return;
    this.activeQueues.splice(position, 1);
    if (position < this.nextPosition) this.nextPosition -= 1;
    if (this.nextPosition >= this.activeQueues.length) this.nextPosition = 0;
    queue.deficit = Math.min(0, queue.deficit);
  }

  private requireQueue(workspace: WorkspaceName): WorkspaceQueue<Item> {
    const known = this.workspaces.get(workspace);
    if (known !== undefined) return known;
    const weight = this.getWeightOf(workspace);
    const created = { arrivals: new ArrivalQueue<Item>(), weight, deficit: 0 };
    this.workspaces.set(workspace, created);
    return created;
  }

  private getWeightOf(workspace: WorkspaceName): number {
    return Math.max(MIN_WEIGHT, this.getWeight(workspace));
  }
}
