import { ERA_SPREAD_MS } from './constants.js';

import type { EraSource } from './enums.js';

/** A store that was restored from an older copy since the previous answer. */
export interface EraRise {
  readonly era: number;
  readonly previousEra: number;
  readonly source: EraSource;
}

/**
 * The highest era of the store that this VM knows of. An era is the store's history between two restores from an older
 * copy; a store that was never restored may be in era 0.
 */
export class StoreEra {
  #current: number | undefined;
  readonly #listeners: ((rise: EraRise) => void)[] = [];

  /** Highest known era; 0 before the first answer. */
  get current(): number {
    return this.#current ?? 0;
  }

  /** Adds a function that is called whenever a higher era becomes known, except for the first one. */
  addListener(listener: (rise: EraRise) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Adds a function that calls the store after a restore. The VMs of a fleet learn of it together, so each waits for a
   * part of ERA_SPREAD_MS first.
   *
   * @param listener - called after the wait, once for each higher era
   * @param random - returns the part to wait for, from 0 up to 1
   */
  addSpreadListener(listener: (rise: EraRise) => void, random: () => number): void {
    this.addListener((rise) => {
      setTimeout(() => listener(rise), random() * ERA_SPREAD_MS).unref();
    });
  }

  /**
   * Records the era of an answer of the store or of a peer's report. A lower era than the known one comes from a late
   * answer and changes nothing.
   */
  observe(era: number, source: EraSource): void {
    const previousEra = this.#current;
    if (previousEra !== undefined && era <= previousEra) return;
    this.#current = era;
    if (previousEra === undefined) return;
    for (const listener of this.#listeners) listener({ era, previousEra, source });
  }
}
