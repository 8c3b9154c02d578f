import { rankByRendezvous } from '@sardinegrade/common';

import { LEAVING_NEWS_RENEWAL_MS, LEAVING_NEWS_TTL_MS, VM_LIST_INTERVAL_MS } from './constants.js';
import { ExpiringSet } from './ExpiringSet.js';

import type { Clock, Configuration, DataCentreName, UpstreamId, VmId } from '@sardinegrade/common';
import type { PlatformClient } from '@sardinegrade/platform';

/** Settings and dependencies of a `VmListWatcher`. */
export interface VmListWatcherOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  readonly platform: PlatformClient;
  readonly getConfiguration: () => Configuration | undefined;
  /** Lists the live daemons of this data centre, including this one. */
  readonly listLocalVms: () => readonly VmId[];
  /** Called when the platform lists the VM of an upstream as leaving, and again before that news expires. */
  readonly onLeaving: (upstream: UpstreamId) => void;
}

/**
 * Polls the platform's list of VMs for leaving upstreams. In each data centre one daemon, chosen by rendezvous hashing,
 * does this for all daemons. The list lags; the engine's own load report usually announces the leave earlier.
 */
export class VmListWatcher {
  readonly #options: VmListWatcherOptions;
  readonly #published = new ExpiringSet<UpstreamId>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: VmListWatcherOptions) {
    this.#options = options;
  }

  readonly start = (): void => {
    this.#timer ??= setInterval(() => void this.readList(), VM_LIST_INTERVAL_MS);
  };

  readonly stop = (): void => clearInterval(this.#timer);

  /** Reads the list once if this daemon is responsible for it. */
  readonly readList = async (): Promise<void> => {
    if (!this.#isResponsible()) return;
    try {
      for (const { id, isLeaving } of await this.#options.platform.listVms()) {
        if (isLeaving) this.#handleLeaving(id as UpstreamId);
      }
    } catch {
      // The list is only one of several sources, and it is read again after the next interval.
    }
  };

  readonly #isResponsible = (): boolean => {
    const { dataCentre, listLocalVms, vm } = this.#options;
    return rankByRendezvous(`vm-list/${dataCentre}`, listLocalVms())[0] === vm;
  };

  readonly #handleLeaving = (upstream: UpstreamId): void => {
    const { clock, dataCentre, getConfiguration, onLeaving } = this.#options;
    if (getConfiguration()?.upstreams.get(upstream)?.dataCentre !== dataCentre) return;
    const nowMs = clock.getNowMs();
    if (this.#published.has(upstream, nowMs)) return;
    this.#published.add(upstream, nowMs + LEAVING_NEWS_TTL_MS - LEAVING_NEWS_RENEWAL_MS);
    onLeaving(upstream);
  };
}
