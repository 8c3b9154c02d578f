import type { Tier } from '@sardinegrade/common';
import type { DispatchPolicy } from '@sardinegrade/dispatch';
import type { IniSections } from '../formatIni.js';

/** A class of the cluster's model service. */
export interface ClusterClass {
  readonly name: string;
  readonly tier: Tier;
  /** Priority within the tier; 0 is served first. */
  readonly priority?: number;
  readonly minimumShare?: number;
  readonly queueLimit?: number;
  readonly firstTokenTargetMs: number;
  readonly tokenIntervalTargetMs: number;
  readonly deadlineMs: number;
}

/** An engine of a cluster. */
export interface ClusterEngine {
  readonly slots: number;
  /** Further command-line options of the stand-in, by flag name without dashes. */
  readonly flags?: Readonly<Record<string, string | number>>;
  /** Whether the daemons connect to it through a fault proxy. */
  readonly hasProxy?: boolean;
}

/** An entry VM of a cluster. */
export interface ClusterVm {
  /** Whether all daemons, including this one, connect to its peer port through a fault proxy. */
  readonly hasPeerProxy?: boolean;
}

/** Entry VMs and engines of a data centre. */
export interface ClusterDataCentre {
  readonly name: string;
  readonly vms: readonly ClusterVm[];
  readonly engines: readonly ClusterEngine[];
}

/** Options of a cluster of real processes. */
export interface ClusterOptions {
  readonly dataCentres: readonly ClusterDataCentre[];
  readonly classes: readonly ClusterClass[];
  /** Names of the workspaces; the key of each is `key-` followed by its name. */
  readonly workspaces: readonly string[];
  readonly policy?: DispatchPolicy;
  readonly shardSize?: number;
  /** Additional keys of the service's section in the configuration. */
  readonly service?: Readonly<Record<string, string | number>>;
  /** Additional sections of the configuration. */
  readonly configuration?: IniSections;
  /** Whether each data centre connects to the platform through its own fault proxy. */
  readonly hasPlatformProxies?: boolean;
}
