import { rankByRendezvous } from '@sardinegrade/common';

import type { VmId } from '@sardinegrade/common';
import type { Peer, VmIdentity } from './types.js';

/** A relay that sent no digest for this long is replaced, in milliseconds: three were lost. */
export const RELAY_TIMEOUT_MS = 600;

/** How often a relay that fell silent is tried again, in milliseconds. */
const PROBE_INTERVAL_MS = 2_000;

/** Chooses the relay to which a VM reports: one of its data centre while any answers, spread evenly. */
export class RelaySelector {
  /** Relays, the preferred first. */
  #relays: readonly Peer[] = [];
  #currentIndex = 0;
  #digestAtMs = Number.NEGATIVE_INFINITY;
  #probedAtMs = Number.NEGATIVE_INFINITY;

  /** @param identity - the VM that reports */
  constructor(private readonly identity: VmIdentity) {}

  /** Replaces the relays. */
  setRelays(relays: readonly Peer[]): void {
    const { vm, dataCentre } = this.identity;
    const current = this.#relays[this.#currentIndex]?.vm;
    const ranked = rankByRendezvous(
      `relay of ${vm}`,
      relays.map((relay) => relay.vm),
    ).flatMap((name) => relays.find((relay) => relay.vm === name) ?? []);
    this.#relays = [
      ...ranked.filter((relay) => relay.dataCentre === dataCentre),
      ...ranked.filter((relay) => relay.dataCentre !== dataCentre),
    ];
    this.#currentIndex = Math.max(
      0,
      this.#relays.findIndex(({ vm: name }) => name === current),
    );
  }

  /**
   * Tells to whom the VM reports now.
   *
   * @param nowMs - the present
   * @returns the relay in use; beside it, at times, the preferred one, which may be back
   */
  listTargets(nowMs: number): readonly Peer[] {
    if (this.#digestAtMs === Number.NEGATIVE_INFINITY) this.#digestAtMs = nowMs;
    if (nowMs - this.#digestAtMs > RELAY_TIMEOUT_MS) {
      this.#currentIndex = (this.#currentIndex + 1) % Math.max(1, this.#relays.length);
      this.#digestAtMs = nowMs;
    }
    const current = this.#relays[this.#currentIndex];
    if (current === undefined) return [];
    const [preferred] = this.#relays;
    const isProbe = preferred !== current && nowMs - this.#probedAtMs >= PROBE_INTERVAL_MS;
    if (!isProbe || preferred === undefined) return [current];
    this.#probedAtMs = nowMs;
    return [current, preferred];
  }

  /**
   * Records a digest.
   *
   * @param vm - the relay that sent it
   * @param nowMs - the present
   * @returns whether it counts: that of the relay in use, or of a preferred one, which is used from now on
   */
  recordDigest(vm: VmId, nowMs: number): boolean {
    const rank = this.#relays.findIndex((relay) => relay.vm === vm);
    if (rank < 0 || rank > this.#currentIndex) return false;
    this.#currentIndex = rank;
    this.#digestAtMs = nowMs;
    return true;
  }
}
