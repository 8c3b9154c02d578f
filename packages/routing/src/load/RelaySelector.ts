import { rankByRendezvous } from '@sardinegrade/common';

import type { VmId } from '@sardinegrade/common';
import type { Peer, VmIdentity } from './types.js';

/** Time without a digest after which a relay is replaced, in milliseconds: three digests were lost. */
export const RELAY_TIMEOUT_MS = 600;

/** Interval at which the preferred relay is probed while another one is in use, in milliseconds. */
const PROBE_INTERVAL_MS = 2_000;

/**
 * Selects the relay to which a VM reports: one of its own data centre as long as any of them responds. Rendezvous
 * hashing distributes the VMs evenly over the relays.
 */
export class RelaySelector {
  /** Relays in order of preference. */
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
   * Lists the relays to which the VM reports now. Switches to the next relay if the current one has timed out.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the relay in use, and at the probe interval also the preferred one, which may have recovered
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
   * Records that a digest was received.
   *
   * @param vm - the relay that sent it
   * @param nowMs - current time, in milliseconds
   * @returns whether to apply it: it came from the relay in use, or from a preferred one, which is used from now on
   */
  recordDigest(vm: VmId, nowMs: number): boolean {
    const rank = this.#relays.findIndex((relay) => relay.vm === vm);
    if (rank < 0 || rank > this.#currentIndex) return false;
    this.#currentIndex = rank;
    this.#digestAtMs = nowMs;
    return true;
  }
}
