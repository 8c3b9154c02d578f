import type { Clock } from '@sardinegrade/common';

/** Host of a simulated daemon; its events are deferred while it is paused and dropped after a crash. */
export interface SimulatedHost {
  pausedUntilMs: number;
  isCrashed: boolean;
}

interface SimulationEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly host: SimulatedHost | undefined;
  readonly run: () => void;
}

const MAX_EVENTS = 200_000;

const isBefore = (left: SimulationEvent, right: SimulationEvent): boolean =>
  left.atMs === right.atMs ? left.sequence < right.sequence : left.atMs < right.atMs;

const waitForMicrotasks = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Discrete-event simulation: runs scheduled events in the order of virtual time. */
export class Simulation {
  nowMs = 1_000_000;
  /** Called before each event of a host; may pause or crash the host. */
  onBeforeEvent: (host: SimulatedHost) => void = () => undefined;
  private readonly events: SimulationEvent[] = [];
  private eventCount = 0;
  private generatorState: number;

  constructor(seed: number) {
    this.generatorState = seed | 0;
  }

  readonly clock: Clock = { getNowMs: () => this.nowMs };

  /** Returns the next number of a mulberry32 generator: at least 0 and below 1. */
  readonly getRandom = (): number => {
    this.generatorState = (this.generatorState + 0x6d2b79f5) | 0;
    let bits = Math.imul(
      this.generatorState ^ (this.generatorState >>> 15),
      1 | this.generatorState,
    );
    bits = (bits + Math.imul(bits ^ (bits >>> 7), 61 | bits)) ^ bits;
    return ((bits ^ (bits >>> 14)) >>> 0) / 2 ** 32;
  };

  pickBetween(min: number, max: number): number {
    return min + this.getRandom() * (max - min);
  }

  pickBoolean(probability: number): boolean {
    return this.getRandom() < probability;
  }

  schedule(delayMs: number, run: () => void, host?: SimulatedHost): void {
    if (delayMs === Infinity) return;
    this.eventCount += 1;
    this.push({ atMs: this.nowMs + Math.max(0, delayMs), sequence: this.eventCount, host, run });
  }

  /** Waits like a timer of the host: it does not fire while the host is paused. */
  readonly sleep = (delayMs: number, host?: SimulatedHost): Promise<void> =>
    new Promise((resolve) => this.schedule(delayMs, resolve, host));

  /** Runs the events that are due up to a virtual time, then sets the clock to that time. */
  async run(untilMs: number): Promise<void> {
    for (let steps = 0; steps < MAX_EVENTS; steps += 1) {
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
    throw new Error('The simulation exceeded its limit of events before it reached its end time.');
  }

  private perform(event: SimulationEvent): void {
    const { host } = event;
    if (host !== undefined) {
      this.onBeforeEvent(host);
      if (host.isCrashed) return;
      if (host.pausedUntilMs > this.nowMs) {
        this.schedule(host.pausedUntilMs - this.nowMs, event.run, host);
        return;
      }
    }
    event.run();
  }

  private push(event: SimulationEvent): void {
    const { events } = this;
    let index = events.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEvent = events[parent];
      if (parentEvent === undefined || !isBefore(event, parentEvent)) break;
      events[index] = parentEvent;
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
      const earlierChild = isRight ? rightEvent : leftEvent;
      if (!isBefore(earlierChild, last)) break;
      events[index] = earlierChild;
      index = isRight ? right : left;
    }
    events[index] = last;
  }
}
