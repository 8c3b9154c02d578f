import { rankByRendezvous } from '@sardinegrade/common';

import { LEAVING_NEWS_RENEWAL_MS, LEAVING_NEWS_TTL_MS, VM_LIST_INTERVAL_MS } from './constants.js';
import { FactTable } from './FactTable.js';

import type { Clock, Configuration, DataCentreName, UpstreamId, VmId } from '@sardinegrade/common';
import type { PlatformClient } from '@sardinegrade/platform';

/** What the watcher needs of its daemon. */
export interface VmListWatcherOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  readonly platform: PlatformClient;
  readonly getConfiguration: () => Configuration | undefined;
  /** The live daemons of this data centre, this one among them. */
  readonly listLocalVms: () => readonly VmId[];
  /** Called for an upstream whose VM the platform lists as leaving. */
  readonly onLeaving: (upstream: UpstreamId) => void;
}

/**
 * Reads the platform's list of VMs for upstreams that leave. In each data centre one daemon, picked by rendezvous
 * hashing, does so for all. The list lags; an engine's own word usually comes first.
 */
export class VmListWatcher {
  readonly #options: VmListWatcherOptions;
  readonly #spread = new FactTable<UpstreamId>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: VmListWatcherOptions) {
    this.#options = options;
  }

  readonly start = (): void => {
    this.#timer ??= setInterval(() => void this.readList(), VM_LIST_INTERVAL_MS);
  };

  readonly stop = (): void => clearInterval(this.#timer);

  /** Reads the list once, if it is this daemon's turn. */
  readonly readList = async (): Promise<void> => {
    if (!this.#isOnDuty()) return;
    try {
      for (const { id, isLeaving } of await this.#options.platform.listVms()) {
        if (isLeaving) this.#handleLeaving(id as UpstreamId);
      }
    } catch {
      // The list is one source of several; the next reading may succeed.
    }
  };

  readonly #isOnDuty = (): boolean => {
    const { dataCentre, listLocalVms, vm } = this.#options;
    return rankByRendezvous(`vm-list/${dataCentre}`, listLocalVms())[0] === vm;
  };

  readonly #handleLeaving = (upstream: UpstreamId): void => {
    const { clock, dataCentre, getConfiguration, onLeaving } = this.#options;
    if (getConfiguration()?.upstreams.get(upstream)?.dataCentre !== dataCentre) return;
    const nowMs = clock.getNowMs();
    if (this.#spread.has(upstream, nowMs)) return;
    this.#spread.add(upstream, nowMs + LEAVING_NEWS_TTL_MS - LEAVING_NEWS_RENEWAL_MS);
    onLeaving(upstream);
  };
}
