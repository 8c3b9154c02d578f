import { ArrivalQueue } from './ArrivalQueue.js';

import type { WorkspaceName } from '@sardinegrade/common';
import type { QueueItem } from './types.js';

/** Tokens that a workspace of weight 1 gains in one round. */
const QUANTUM_TOKENS = 512;

/** The most that a workspace may owe, so that one long answer does not shut it out for long. */
const DEBT_LIMIT_TOKENS = 64 * QUANTUM_TOKENS;

const MINIMUM_WEIGHT = 0.01;

/** Tolerance for deficits that are sums of fractions. */
const ROUNDING_TOKENS = 0.001;

interface WorkspaceQueue<Item extends QueueItem> {
  readonly arrivals: ArrivalQueue<Item>;
  weight: number;
  /** Tokens that the workspace may take before the turn passes on; below 0 it owes. */
  deficit: number;
}

/** The waiting asks of one class: deficit round robin between its workspaces by estimated tokens. */
export class ClassQueue<Item extends QueueItem> {
  private readonly workspaces = new Map<WorkspaceName, WorkspaceQueue<Item>>();
  /** Workspaces with waiting asks, in the order of their turns. */
  private readonly ring: WorkspaceQueue<Item>[] = [];
  private turn = 0;
  private queued = 0;

  constructor(private getWeight: (workspace: WorkspaceName) => number) {}

  get size(): number {
    return this.queued;
  }

  /** Takes new weights into account. */
  setWeights(getWeight: (workspace: WorkspaceName) => number): void {
    this.getWeight = getWeight;
    for (const [name, queue] of this.workspaces) queue.weight = this.getWeightOf(name);
  }

  /** Adds an ask to its workspace's queue. */
  add(item: Item): void {
    const queue = this.requireQueue(item.ask.workspace);
    if (queue.arrivals.size === 0) this.ring.push(queue);
    queue.arrivals.add(item);
    this.queued += 1;
  }

  /** Removes a waiting ask, without charge. */
  remove(item: Item): void {
    if (!item.isQueued) return;
    const queue = this.requireQueue(item.ask.workspace);
    queue.arrivals.remove(item);
    this.queued -= 1;
    if (queue.arrivals.size === 0) this.removeFromRing(queue);
  }

  /** @returns the ask whose turn it is; the same one until it is taken or removed */
  peekNext(): Item | undefined {
    if (this.ring.length === 0) return undefined;
    const next = this.findAffordable();
    if (next !== undefined) return next;
    this.startRounds();
    return this.findAffordable();
  }

  /** Charges a workspace for tokens beyond the estimate, or refunds it with a negative number. */
  applyCharge(workspace: WorkspaceName, tokens: number): void {
    const queue = this.requireQueue(workspace);
    queue.deficit = Math.max(-DEBT_LIMIT_TOKENS, queue.deficit - tokens);
    if (queue.arrivals.size === 0) queue.deficit = Math.min(0, queue.deficit);
  }

  /** @returns the newest ask of the workspace that holds most of the queue for its weight */
  peekExcess(): Item | undefined {
    let longest: WorkspaceQueue<Item> | undefined;
    let most = 0;
    for (const queue of this.ring) {
      const length = queue.arrivals.size / queue.weight;
      if (length <= most) continue;
      most = length;
      longest = queue;
    }
    return longest?.arrivals.peekNewest();
  }

  /** @returns all waiting asks */
  list(): readonly Item[] {
    return this.ring.flatMap((queue) => queue.arrivals.list());
  }

  private findAffordable(): Item | undefined {
    const count = this.ring.length;
    for (let step = 0; step < count; step += 1) {
      const position = (this.turn + step) % count;
      const queue = this.ring[position];
      const head = queue?.arrivals.peekOldest();
      if (queue === undefined || head === undefined || queue.deficit + ROUNDING_TOKENS < head.cost)
        continue;
      this.turn = position;
      return head;
    }
    return undefined;
  }

  /** Adds as many rounds as it takes until one workspace can afford its oldest ask. */
  private startRounds(): void {
    let rounds = Infinity;
    for (const queue of this.ring) {
      const missing = (queue.arrivals.peekOldest()?.cost ?? 0) - queue.deficit;
      rounds = Math.min(rounds, Math.ceil(missing / (QUANTUM_TOKENS * queue.weight)));
    }
    for (const queue of this.ring) queue.deficit += rounds * QUANTUM_TOKENS * queue.weight;
  }

  private removeFromRing(queue: WorkspaceQueue<Item>): void {
    const position = this.ring.indexOf(queue);
    if (position < 0) return;
    this.ring.splice(position, 1);
    if (position < this.turn) this.turn -= 1;
    if (this.turn >= this.ring.length) this.turn = 0;
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
    return Math.max(MINIMUM_WEIGHT, this.getWeight(workspace));
  }
}
