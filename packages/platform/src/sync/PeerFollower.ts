import { compareVersions } from './compareVersions.js';

import type { StoreVersion, SyncPeer } from './types.js';

/** Whether this VM may follow peers, and for how long an answer that a peer has received counts. */
export interface FollowOptions {
  /** Returns whether this VM hears regularly of a peer that watches the store for others. */
  readonly isFollower: () => boolean;
  /** Returns whether this VM watches the store for others. */
  readonly isWatcher: () => boolean;
  /**
   * Time after the store's last answer to a peer until which the peer replaces the own watch, in milliseconds. The rest of
   * the time within which a change has to be applied must suffice for a list.
   */
  readonly trustMs: number;
  /**
   * How long a watch for others waits for a change, and the delay after one that returned changes, in milliseconds. Together
   * they must be shorter than `trustMs`.
   */
  readonly watchWaitMs: number;
  readonly watchCoalesceMs: number;
}

/**
 * Decides whether the watch of a peer replaces the own one, and waits for a newer version there. A peer counts only as long
 * as the store answers it.
 *
 * Load pattern: a change in the store while hundreds of VMs watch it. Each change would wake all of them, and each would
 * call the store again.
 */
export class PeerFollower {
  #leader: SyncPeer | undefined;
  #trustedUntilMs = Number.NEGATIVE_INFINITY;
  #endWait: () => void = () => undefined;

  /**
   * @param options - role of this VM, and time limits
   * @param getNowMs - reads a monotonic clock, in milliseconds
   */
  constructor(
    private readonly options: FollowOptions,
    private readonly getNowMs: () => number,
  ) {}

  /** Whether a peer replaces the own watch now. */
  get isFollowing(): boolean {
    return this.options.isFollower() && this.getNowMs() < this.#trustedUntilMs;
  }

  /**
   * Takes note of what a peer tells of its watch.
   *
   * @param peer - the peer
   * @param era - era of the store, as far as this VM knows
   * @returns whether the peer replaces the own watch
   */
  addReport(peer: SyncPeer, era: number): boolean {
    const { watch } = peer;
    const { isFollower, trustMs } = this.options;
    if (watch?.version.era !== era || !isFollower()) return false;
    const trustedUntilMs = this.getNowMs() + trustMs - watch.answerAgeMs;
    if (trustedUntilMs <= this.getNowMs()) return false;
    this.#trustedUntilMs = Math.max(this.#trustedUntilMs, trustedUntilMs);
    const leaderVersion = this.#leader?.watch?.version;
    if (leaderVersion === undefined || compareVersions(watch.version, leaderVersion) >= 0) {
      this.#leader = peer;
      this.#endWait();
    }
    return true;
  }

  /**
   * Waits until a peer has a newer version than this VM.
   *
   * @param version - version of this VM
   * @param signal - ends the wait
   * @returns the peer; undefined if the wait was ended, or no peer replaces the own watch any more
   */
  async waitForNewer(version: StoreVersion, signal: AbortSignal): Promise<SyncPeer | undefined> {
    while (this.isFollowing && !signal.aborted) {
      const leader = this.#leader;
      if (leader?.watch !== undefined && compareVersions(leader.watch.version, version) > 0)
        return leader;
      await this.#waitForReport(signal);
    }
    return undefined;
  }

  /** Waits for a report, but no longer than the last one counts. */
  #waitForReport(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, this.#trustedUntilMs - this.getNowMs());
      signal.addEventListener('abort', finish);
      this.#endWait = finish;
    });
  }
}
