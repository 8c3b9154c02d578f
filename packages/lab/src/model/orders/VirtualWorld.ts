import type { Clock } from '@sardinegrade/common';

/** A daemon as the world sees it: it may stand still or be gone. */
export interface Host {
  pausedUntilMs: number;
  isCrashed: boolean;
}

interface WorldEvent {
  readonly atMs: number;
  readonly order: number;
  readonly host: Host | undefined;
  readonly run: () => void;
}

const EVENT_LIMIT = 200_000;

const isBefore = (left: WorldEvent, right: WorldEvent): boolean =>
  left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs;

const waitForMicrotasks = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Virtual time with its events; everything that happens in a model happens through it. */
export class VirtualWorld {
  nowMs = 1_000_000;
  /** Asked before each event of a daemon. */
  onStep: (host: Host) => void = () => undefined;
  private readonly events: WorldEvent[] = [];
  private count = 0;
  private state: number;

  constructor(seed: number) {
    this.state = seed | 0;
  }

  readonly clock: Clock = { getNowMs: () => this.nowMs };

  /** Draws from a mulberry32 generator, between 0 and 1. */
  readonly getRandom = (): number => {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let bits = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    bits = (bits + Math.imul(bits ^ (bits >>> 7), 61 | bits)) ^ bits;
    return ((bits ^ (bits >>> 14)) >>> 0) / 2 ** 32;
  };

  pickBetween(lowest: number, highest: number): number {
    return lowest + this.getRandom() * (highest - lowest);
  }

  hasLuck(chance: number): boolean {
    return this.getRandom() < chance;
  }

  schedule(delayMs: number, run: () => void, host?: Host): void {
    if (delayMs === Infinity) return;
    this.count += 1;
    this.push({ atMs: this.nowMs + Math.max(0, delayMs), order: this.count, host, run });
  }

  /** Waits as the daemon's own timer would: it does not fire while the daemon stands still. */
  readonly sleep = (delayMs: number, host?: Host): Promise<void> =>
    new Promise((resolve) => this.schedule(delayMs, resolve, host));

  /** Runs events until a time, or until none is left. */
  async run(untilMs: number): Promise<void> {
    for (let steps = 0; steps < EVENT_LIMIT; steps += 1) {
      await waitForMicrotasks();
      const event = this.events[0];
      if (event === undefined || event.atMs > untilMs) {
        this.nowMs = Math.max(this.nowMs, untilMs);
        return;
      }
      this.pop();
      this.nowMs = Math.max(this.nowMs, event.atMs);
      this.perform(event);
    }
    throw new Error('The schedule does not come to rest.');
  }

  private perform(event: WorldEvent): void {
    const { host } = event;
    if (host !== undefined) {
      this.onStep(host);
      if (host.isCrashed) return;
      if (host.pausedUntilMs > this.nowMs) {
        this.schedule(host.pausedUntilMs - this.nowMs, event.run, host);
        return;
      }
    }
    event.run();
  }

  private push(event: WorldEvent): void {
    const { events } = this;
    let index = events.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = events[parent];
      if (above === undefined || !isBefore(event, above)) break;
      events[index] = above;
      index = parent;
    }
    events[index] = event;
  }

  private pop(): void {
    const { events } = this;
    const last = events.pop();
    if (last === undefined || events.length === 0) return;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const leftEvent = events[left];
      if (leftEvent === undefined) break;
      const rightEvent = events[right];
      const isRight = rightEvent !== undefined && isBefore(rightEvent, leftEvent);
      const least = isRight ? rightEvent : leftEvent;
      if (!isBefore(least, last)) break;
      events[index] = least;
      index = isRight ? right : left;
    }
    events[index] = last;
  }
}
