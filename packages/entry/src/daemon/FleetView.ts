import { createFleetAgent, DrainScope, MemberState } from '@sardinegrade/fleet';

import type { VmId } from '@sardinegrade/common';
import type { FleetAgent } from '@sardinegrade/fleet';
import type { DispatchMember } from '../grants/index.js';
import type { DaemonBase } from './daemonBase.js';

/** Provides the fleet agent and the members that are relevant to the components of this daemon. */
export class FleetView {
  readonly agent: FleetAgent;
  readonly #base: DaemonBase;

  constructor(base: DaemonBase) {
    const { vm, dataCentre, settings, platform, clock, random, credentials } = base;
    this.#base = base;
    this.agent = createFleetAgent({
      settings: { vm, dataCentre, seeds: settings.peer.seeds },
      platform,
      clock,
      random,
      credentials,
    });
  }

  /** Lists the daemons that can run dispatchers; a daemon that is leaving is excluded, so its shards move to others. */
  readonly listDispatchMembers = (): readonly DispatchMember[] =>
    this.agent
      .getMembers()
      .filter(({ state }) => state === MemberState.Alive || state === MemberState.Suspect)
      .map(({ vm, dataCentre, address }) => ({ vm, dataCentre, address }));

  /** Lists the daemons of this data centre, including this one. */
  readonly listLocalVms = (): readonly VmId[] =>
    this.listDispatchMembers()
      .filter(({ dataCentre }) => dataCentre === this.#base.dataCentre)
      .map(({ vm }) => vm);

  /** Whether there is an active configuration and it does not drain this VM. */
  readonly isServing = (): boolean => {
    const { vm, dataCentre } = this.#base;
    const configuration = this.agent.getConfiguration();
    if (configuration === undefined) return false;
    return !configuration.drains.some(
      ({ scope, name }) =>
        (scope === DrainScope.Vm && name === vm) ||
        (scope === DrainScope.DataCentre && name === dataCentre),
    );
  };
}
