import { estimatePaces } from './estimatePaces.js';
import { SampleKind } from './enums.js';
import { PaceWindow } from './PaceWindow.js';
import { PRIOR_PACE } from './types.js';

import type { PaceSample, WorkerPace } from './types.js';

/** Time for which samples of instances are kept that this VM does not know, in milliseconds: it may hear of them soon. */
const UNKNOWN_KEPT_MS = 30_000;

const countAnswers = (samples: readonly PaceSample[]): number =>
  samples.filter(({ kind }) => kind !== SampleKind.StreamEnd).length;

/**
 * The paces of all workers, from the samples of all VMs. Estimates are computed in `update` only, so that a placement
 * costs one look-up for each worker.
 */
export class PaceTable {
  readonly #windows = new Map<number, PaceWindow>();
  #paces: ReadonlyMap<number, WorkerPace> = new Map();

  /** @returns the pace of a worker instance at the last update */
  get(instance: number): WorkerPace {
    return this.#paces.get(instance) ?? PRIOR_PACE;
  }

  /** Adds samples of this VM, or news of others, that have just become known. */
  apply(samples: readonly PaceSample[], nowMs: number): void {
    for (const sample of samples) this.#getWindow(sample.instance, nowMs).add(sample, nowMs);
  }

  /** Takes over what another VM knows of instances of which this VM knows less; called when this VM has started. */
  restore(samples: readonly PaceSample[], nowMs: number): void {
    const byInstance = new Map<number, PaceSample[]>();
    for (const sample of samples) {
      const group = byInstance.get(sample.instance) ?? [];
      group.push(sample);
      byInstance.set(sample.instance, group);
    }
    for (const [instance, group] of byInstance) {
      const own = this.#windows.get(instance)?.list() ?? [];
      if (countAnswers(own) >= countAnswers(group)) continue;
      this.#windows.delete(instance);
      this.apply(group, nowMs);
    }
  }

  /** @returns the samples of all instances, in groups of one instance each */
  list(): readonly (readonly PaceSample[])[] {
    return [...this.#windows.values()]
      .map((window) => window.list())
      .filter((samples) => samples.length > 0);
  }

  /**
   * Estimates all paces anew, and forgets instances that are gone.
   *
   * @param services - the instances of each service
   * @param nowMs - current time, in milliseconds
   */
  update(services: readonly (readonly number[])[], nowMs: number): void {
    const known = new Set(services.flat());
    for (const instance of known) this.#getWindow(instance, nowMs);
    for (const [instance, { changedAtMs }] of this.#windows) {
      if (!known.has(instance) && nowMs - changedAtMs > UNKNOWN_KEPT_MS)
        this.#windows.delete(instance);
    }
    const paces = services.flatMap((instances) => [
      ...estimatePaces(instances, this.#windows, nowMs),
    ]);
    this.#paces = new Map(paces);
  }

  #getWindow(instance: number, nowMs: number): PaceWindow {
    const existing = this.#windows.get(instance);
    if (existing !== undefined) return existing;
    const created = new PaceWindow(nowMs);
    this.#windows.set(instance, created);
    return created;
  }
}
