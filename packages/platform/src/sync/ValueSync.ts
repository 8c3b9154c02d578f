import { SyncSource } from './enums.js';
import { toSyncError } from './toSyncError.js';

import type { FailedSyncCall, FeedSnapshot, SyncReceipt } from './types.js';

/** A VM and the generation of the value that it has in force. */
export interface ValuePeer {
  readonly generation: number;
  /** Fetches the object with the value. Rejects with PlatformError. */
  readonly fetchSnapshot: () => Promise<FeedSnapshot>;
}

/** The value in force on this VM, and the delay before it is fetched from a peer. */
export interface ValueSyncOptions {
  /** Returns the generation of the value in force on this VM; 0 without one. */
  readonly getGeneration: () => number;
  /** Time in which the store returns a value that peers have, in milliseconds. */
  readonly delayMs: number;
  readonly getNowMs: () => number;
  readonly onSnapshot: (snapshot: FeedSnapshot, receipt: SyncReceipt) => void;
  readonly onCallFailed: (call: FailedSyncCall) => void;
}

/**
 * Fetches a value that numbers its own generations from a peer that has a later one in force. A store that was restored from
 * an older copy does not have the value until its writer has written it again.
 */
export class ValueSync {
  #peer: ValuePeer | undefined;

  /** @param options - the value in force on this VM, and the delay before it is fetched from a peer */
  constructor(private readonly options: ValueSyncOptions) {}

  /** Compares the generation that a peer has in force with the own one. */
  addPeerReport(peer: ValuePeer): void {
    if (peer.generation <= this.options.getGeneration()) return;
    const isWaiting = this.#peer !== undefined;
    if (peer.generation > (this.#peer?.generation ?? 0)) this.#peer = peer;
    if (isWaiting) return;
    setTimeout(() => void this.#fetchIfBehind(), this.options.delayMs).unref();
  }

  async #fetchIfBehind(): Promise<void> {
    const { getGeneration, getNowMs, onSnapshot, onCallFailed } = this.options;
    const peer = this.#peer;
    const startedAtMs = getNowMs();
    try {
      if (peer === undefined || peer.generation <= getGeneration()) return;
      const snapshot = await peer.fetchSnapshot();
      const { version } = snapshot;
      onSnapshot(snapshot, { source: SyncSource.Peer, version, silentMs: 0 });
    } catch (thrown) {
      const error = toSyncError(thrown);
      const durationMs = getNowMs() - startedAtMs;
      onCallFailed({ source: SyncSource.Peer, version: undefined, durationMs, error });
    } finally {
      // Another peer may respond: the next report of any peer that is ahead starts again.
      this.#peer = undefined;
    }
  }
}
