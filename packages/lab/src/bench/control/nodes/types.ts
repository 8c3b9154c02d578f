import type { PartnerChoice } from '@sardinegrade/fleet';

/** The options of a process of fleet agents, passed as JSON on its command line. */
export interface NodeOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly agents: number;
  readonly seeds: readonly string[];
  /** Base address of the platform. */
  readonly platform: string;
  readonly partnerChoice: PartnerChoice;
}

/** The resources that a process of fleet agents has used so far. */
export interface NodeStatus {
  /** Bytes read since the start of the process. */
  readonly received: number;
  /** Bytes written since the start of the process. */
  readonly sent: number;
  readonly cpuMicroseconds: number;
  readonly heapBytes: number;
  readonly rssBytes: number;
  /** Number of members that each agent lists, itself included. */
  readonly members: readonly number[];
  /** Active configuration generation of each agent. */
  readonly generations: readonly number[];
}
