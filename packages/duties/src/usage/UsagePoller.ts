import { buildUsagePage } from './buildUsagePage.js';
import { PollSchedule } from './PollSchedule.js';
import { UsageView } from './UsageView.js';

import type { Logger, LogLimit } from '@sardinegrade/common';
import type { Peer } from '@sardinegrade/routing';
import type { UsageSource } from './buildUsagePage.js';
import type { UsagePage, UsageRequest, WorkspaceCounts } from './types.js';

/** Fetches the page of another VM; rejects if the VM does not respond or its page is malformed. */
export type UsagePageFetcher = (peer: Peer, request: UsageRequest) => Promise<UsagePage>;

/** Counts of this VM, and the other VMs. */
export interface UsagePollerOptions extends UsageSource {
  readonly windowMs: number;
  readonly listPeers: () => readonly Peer[];
  readonly fetchPage: UsagePageFetcher;
  readonly logger: Logger;
  readonly logLimit: LogLimit;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/** Fetches in progress at most: more at once would delay requests of callers on a small VM. */
const MAX_FETCHES = 4;

/** Fetches of each VM in the length of a window. */
const FETCHES_PER_WINDOW = 2;

/** Time between two fetches of a VM, in milliseconds. */
export const computePollIntervalMs = (windowMs: number): number => windowMs / FETCHES_PER_WINDOW;

/** Fetches the counts and clocks of all VMs and merges them. */
export class UsagePoller {
  readonly #view: UsageView;
  readonly #schedule: PollSchedule;
  #fetches = 0;

  /** @param options - counts of this VM, and the other VMs */
  constructor(private readonly options: UsagePollerOptions) {
    this.#view = new UsageView(options.windowMs);
    this.#schedule = new PollSchedule(computePollIntervalMs(options.windowMs));
  }

  /**
   * Fetches the VMs that are due, a few at once; resolves when none is due any more.
   *
   * @param firstWindow - first window whose counts are wanted
   */
  async fetchDue(firstWindow: number): Promise<void> {
    const { listPeers, getNowMs, clock } = this.options;
    const peers = new Map(listPeers().map((peer) => [peer.vm, peer]));
    const vms = [...peers.keys()];
    for (;;) {
      const due = this.#schedule.takeDue(vms, getNowMs(), MAX_FETCHES - this.#fetches);
      if (due.length === 0) return;
      const request = { firstWindow, timeMs: clock.statedTimeMs };
      const fetches = due.flatMap((vm) => peers.get(vm) ?? []);
      await Promise.all(fetches.map((peer) => this.#fetch(peer, request, vms.length + 1)));
    }
  }

  /** Starts anew, with a first round. */
  reset(): void {
    this.#schedule.reset();
  }

  /**
   * Tells whether the final counts of all listed VMs are known up to a time.
   *
   * @param timeMs - fleet time, in milliseconds
   */
  hasAllCounts(timeMs: number): boolean {
    return this.options.listPeers().every(({ vm }) => this.#view.isFinal(vm, timeMs));
  }

  /**
   * Adds up the counts of windows, those of this VM included.
   *
   * @param windows - numbers of the windows
   * @returns the counts by workspace of each of them
   */
  computeTotals(windows: readonly number[]): ReadonlyMap<number, WorkspaceCounts> {
    const firstWindow = Math.min(...windows);
    this.#add(buildUsagePage(this.options, { firstWindow, timeMs: undefined }));
    return new Map(windows.map((window) => [window, this.#view.computeTotal(window)]));
  }

  /** Fetches the page of a VM; it counts for the time at which its response arrived. */
  async #fetch(peer: Peer, request: UsageRequest, vmCount: number): Promise<void> {
    const { fetchPage, clock, getNowMs } = this.options;
    this.#fetches += 1;
    const startedAtMs = getNowMs();
    try {
      const page = await fetchPage(peer, request);
      clock.addSample(peer.vm, page.wallMs, (startedAtMs + getNowMs()) / 2, vmCount);
      this.#add(page);
    } catch (error) {
      const count = this.options.logLimit.record('fetch');
      if (count !== undefined)
        this.options.logger.warn('counts of a VM were not fetched; the last known ones are used', {
          count,
          error,
          inputs: { peer: peer.vm },
        });
    } finally {
      this.#fetches -= 1;
    }
  }

  #add(page: UsagePage): void {
    const { timeMs } = this.options.clock;
    const ignored = this.#view.add(page, timeMs);
    this.#view.sweep(timeMs);
    if (ignored === 0) return;
    const count = this.options.logLimit.record('future');
    if (count !== undefined)
      this.options.logger.warn('counts of windows in the future were ignored', {
        count,
        inputs: { peer: page.process.vm, windows: ignored, vmTimeMs: page.timeMs, timeMs },
      });
  }
}
