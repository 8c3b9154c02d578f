import { MAX_DRIFT_MS } from '../constants.js';

import type { VmId } from '@sardinegrade/common';

/** Clocks of this VM, in milliseconds. */
export interface FleetClockOptions {
  /** Reads the monotonic clock. */
  readonly getNowMs: () => number;
  /** Reads the wall clock. */
  readonly getWallMs: () => number;
  /** Time in which the holder reads the clocks of all VMs once, in milliseconds. */
  readonly roundMs: number;
}

/** Wall clock of another VM, relative to the monotonic clock of this one. */
interface ClockSample {
  readonly offsetMs: number;
  readonly readAtMs: number;
}

/** Clocks that are needed at least for a median that one wrong clock does not change. */
export const MIN_CLOCKS = 3;

/**
 * Part of the VMs whose clocks are needed at least: wall clocks have been seen to jump on up to 28 % of all VMs, which has to
 * be less than half of those that are read.
 */
const MIN_CLOCK_SHARE = 2 / 3;

/** By how much this VM's own wall clock may be wrong, in milliseconds: it may have jumped by some seconds. */
export const OWN_CLOCK_ERROR_MS = 10_000;

/** Samples are used for this number of rounds: some VMs do not respond in each. */
const SAMPLE_ROUNDS = 4;

const computeMedian = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length / 2;
  const [low, high] = [sorted[Math.ceil(middle) - 1], sorted[Math.floor(middle)]];
  if (low === undefined || high === undefined) throw new RangeError('no values for a median');
  return (low + high) / 2;
};

/**
 * Fleet time: the monotonic clock of this VM plus an offset, which is the median of the wall clocks of the VMs. The holder
 * computes the median from the clocks that it has read and states it to the others. Until this VM has heard of others, its own
 * wall clock is used.
 */
export class FleetClock {
  readonly #samples = new Map<VmId, ClockSample>();
  #offsetMs: number | undefined;
  #ownOffsetMs: number;
  /** Offset of this VM's wall clock when the fleet time was set last. */
  #ownOffsetAtSetMs: number;
  #disturbedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - clocks of this VM */
  constructor(private readonly options: FleetClockOptions) {
    this.#ownOffsetMs = this.#readOwnOffsetMs();
    this.#ownOffsetAtSetMs = this.#ownOffsetMs;
  }

  /** Fleet time, in milliseconds since the start of 1970. */
  get timeMs(): number {
    return this.options.getNowMs() + (this.#offsetMs ?? this.#readOwnOffsetMs());
  }

  /** Whether this VM has heard of others, so that the time does not jump with its own wall clock. */
  get isSynced(): boolean {
    return this.#offsetMs !== undefined;
  }

  /**
   * Fleet time to state to others, in milliseconds; undefined if this VM has not heard of others, or if its clocks have just
   * moved against each other, or have done so since the time was set: a suspension stops the monotonic clock, and until enough
   * clocks of the others have been read again this VM would pass the lost time on.
   */
  get statedTimeMs(): number | undefined {
    this.#checkOwnClocks();
    const isDisturbed = this.options.getNowMs() - this.#disturbedAtMs <= this.options.roundMs;
    const hasMoved = Math.abs(this.#moveMs) > MAX_DRIFT_MS;
    return this.#offsetMs === undefined || isDisturbed || hasMoved ? undefined : this.timeMs;
  }

  /**
   * Latest time that it may be in truth, in milliseconds. If the clocks of this VM have moved against each other since the
   * fleet time was set, the VM may have been suspended, and the fleet time is behind by as much.
   */
  get latestTimeMs(): number {
    if (this.#offsetMs === undefined) return this.timeMs + OWN_CLOCK_ERROR_MS;
    const moveMs = this.#moveMs;
    if (Math.abs(moveMs) <= MAX_DRIFT_MS) return this.timeMs;
    return this.timeMs + Math.max(0, moveMs + OWN_CLOCK_ERROR_MS);
  }

  /** Sets the fleet time that the holder has stated. */
  setTime(timeMs: number): void {
    this.#checkOwnClocks();
    this.#setOffset(timeMs - this.options.getNowMs());
  }

  /**
   * Adds the wall clock of another VM. The offset changes once enough of the VMs have been read.
   *
   * @param vm - the VM
   * @param wallMs - its wall clock, in milliseconds
   * @param readAtMs - monotonic time of this VM at which it was read, in milliseconds
   * @param vmCount - number of VMs, this one included
   */
  addSample(vm: VmId, wallMs: number, readAtMs: number, vmCount: number): void {
    this.#checkOwnClocks();
    this.#samples.set(vm, { offsetMs: wallMs - readAtMs, readAtMs });
    const oldestMs = readAtMs - SAMPLE_ROUNDS * this.options.roundMs;
    for (const [name, sample] of this.#samples)
      if (sample.readAtMs < oldestMs) this.#samples.delete(name);
    const offsetsMs = [...this.#samples.values()].map(({ offsetMs }) => offsetMs);
    const clockCount = offsetsMs.length + 1;
    if (clockCount < MIN_CLOCKS || clockCount < vmCount * MIN_CLOCK_SHARE) return;
    this.#setOffset(computeMedian([...offsetsMs, this.#ownOffsetMs]));
  }

  /** Difference by which the clocks of this VM have moved against each other since the fleet time was set, in milliseconds. */
  get #moveMs(): number {
    return this.#readOwnOffsetMs() - this.#ownOffsetAtSetMs;
  }

  #setOffset(offsetMs: number): void {
    this.#offsetMs = offsetMs;
    this.#ownOffsetAtSetMs = this.#ownOffsetMs;
  }

  #readOwnOffsetMs(): number {
    return this.options.getWallMs() - this.options.getNowMs();
  }

  #checkOwnClocks(): void {
    const offsetMs = this.#readOwnOffsetMs();
    if (Math.abs(offsetMs - this.#ownOffsetMs) > MAX_DRIFT_MS) {
      this.#disturbedAtMs = this.options.getNowMs();
      // They are relative to the monotonic clock, which a suspension has stopped since they were read.
      this.#samples.clear();
    }
    this.#ownOffsetMs = offsetMs;
  }
}
