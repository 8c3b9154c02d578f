import { CHECK_INTERVAL_MS, MIN_REACHED, QUIET_MS, RECHECK_INTERVAL_MS } from './constants.js';
import { LinkSign } from './enums.js';
import { selectSamples } from './selectSamples.js';

import type { Logger } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { Worker } from '@sardinegrade/routing';

/** Resolves to true as soon as enough checks have succeeded, to false once all have ended without. */
const hasEnoughSuccesses = (
  checks: readonly Promise<boolean>[],
  neededCount: number,
): Promise<boolean> =>
  new Promise((resolve) => {
    let successes = 0;
    let pending = checks.length;
    const count = (isSuccess: boolean): void => {
      pending -= 1;
      if (isSuccess) successes += 1;
      if (successes >= neededCount) resolve(true);
      else if (pending === 0) resolve(false);
    };
    for (const check of checks) void check.then(count);
  });

/** Dependencies of `LinkMonitor`. */
export interface LinkMonitorOptions {
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  readonly listWorkers: () => readonly Worker[];
  /** Checks whether a connection to a worker can be established. */
  readonly isConnectable: (address: string) => Promise<boolean>;
  /** Called when the links are lost: open connections and what failures said about workers are no longer valid. */
  readonly onLost: () => void;
}

/**
 * Tells whether this VM has lost its links to all workers, while each of them may be sound. A failed send alone does not
 * show it, so a failure causes bare connections to workers of all data centres; only if none is established, the links
 * count as lost. They are checked at intervals until some workers are reached again.
 */
export class LinkMonitor {
  #isLost = false;
  #lostAtMs = 0;
  #checkedAtMs = Number.NEGATIVE_INFINITY;
  #activeAtMs = Number.NEGATIVE_INFINITY;
  #checking: Promise<void> | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** @param options - dependencies */
  constructor(private readonly options: LinkMonitorOptions) {}

  /** Whether no worker can be reached from this VM. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Records that a worker has sent data over a connection of this VM. */
  recordActivity(nowMs: number): void {
    this.#activeAtMs = nowMs;
  }

  /**
   * Checks the links after a sign that they may be lost.
   *
   * @param sign - the sign
   * @returns resolves when `isLost` is up to date; at once if they have just been checked
   */
  check(sign: LinkSign): Promise<void> {
    if (this.#checking !== undefined) return this.#checking;
    const nowMs = this.options.getNowMs();
    if (nowMs - this.#checkedAtMs < CHECK_INTERVAL_MS) return Promise.resolve();
    // Slow workers are silent, too, and a connection for each would slow them down further.
    if (sign === LinkSign.Silent && nowMs - this.#activeAtMs < QUIET_MS) return Promise.resolve();
    this.#checking = this.#performCheck(sign).finally(() => (this.#checking = undefined));
    return this.#checking;
  }

  /** Stops checking. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  async #performCheck(sign: LinkSign): Promise<void> {
    const { listWorkers, random, getNowMs } = this.options;
    this.#checkedAtMs = getNowMs();
    const samples = selectSamples(listWorkers(), random);
    await this.#checkSamples(samples, sign);
    if (this.#isLost) this.#scheduleCheck();
  }

  async #checkSamples(samples: readonly Worker[], sign: LinkSign): Promise<void> {
    const { isConnectable } = this.options;
    const [first] = samples;
    if (first === undefined) return;
    const isSuspected = sign === LinkSign.NotConnected || sign === LinkSign.Lost;
    if (!isSuspected && (await isConnectable(first.address))) return;
    const neededCount = this.#isLost ? Math.min(MIN_REACHED, samples.length) : 1;
    const checks = samples.map(({ address }) => isConnectable(address));
    const hasLinks = await hasEnoughSuccesses(checks, neededCount);
    if (hasLinks) this.#recordReturn();
    else this.#recordLoss(samples.length);
  }

  #scheduleCheck(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.check(LinkSign.Lost), RECHECK_INTERVAL_MS).unref();
  }

  #recordLoss(count: number): void {
    if (this.#isLost) return;
    this.#isLost = true;
    this.#lostAtMs = this.options.getNowMs();
    this.options.logger.warn('links to all workers are lost; requests go through other VMs', {
      count,
    });
    this.options.onLost();
  }

  #recordReturn(): void {
    if (!this.#isLost) return;
    this.#isLost = false;
    const durationMs = Math.round(this.options.getNowMs() - this.#lostAtMs);
    this.options.logger.info('links to workers are back', { durationMs });
  }
}
