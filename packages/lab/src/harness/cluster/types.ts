import type { Tier } from '@sardinegrade/common';
import type { DispatchPolicy } from '@sardinegrade/dispatch';
import type { IniSections } from '../formatIni.js';

/** A class of the service that a cluster serves. */
export interface ClusterClass {
  readonly name: string;
  readonly tier: Tier;
  /** Order within the tier; 0 is served first. */
  readonly priority?: number;
  readonly minimumShare?: number;
  readonly queueLimit?: number;
  readonly firstTokenTargetMs: number;
  readonly tokenIntervalTargetMs: number;
  readonly deadlineMs: number;
}

/** One engine of a cluster. */
export interface ClusterEngine {
  readonly slots: number;
  /** Further options of the stand-in, by their flags. */
  readonly flags?: Readonly<Record<string, string | number>>;
  /** Whether the daemons reach it through a fault proxy. */
  readonly hasProxy?: boolean;
}

/** One entry VM of a cluster. */
export interface ClusterVm {
  /** Whether the other daemons and it reach its peer port through a fault proxy. */
  readonly hasPeerProxy?: boolean;
}

/** What stands in one data centre. */
export interface ClusterDataCentre {
  readonly name: string;
  readonly vms: readonly ClusterVm[];
  readonly engines: readonly ClusterEngine[];
}

/** A cluster of real processes. */
export interface ClusterOptions {
  readonly dataCentres: readonly ClusterDataCentre[];
  readonly classes: readonly ClusterClass[];
  /** Names of the workspaces; the key of each is `key-` and its name. */
  readonly workspaces: readonly string[];
  readonly policy?: DispatchPolicy;
  readonly shardSize?: number;
  /** Further keys of the service's section. */
  readonly service?: Readonly<Record<string, string | number>>;
  /** Further sections of the configuration text. */
  readonly configuration?: IniSections;
  /** Whether each data centre reaches the platform through a fault proxy. */
  readonly hasPlatformProxies?: boolean;
}
