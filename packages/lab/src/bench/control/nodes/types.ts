import type { PartnerChoice } from '@sardinegrade/fleet';

/** What a process of fleet agents is told at its start. */
export interface NodeOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly agents: number;
  readonly seeds: readonly string[];
  /** Base address of the platform. */
  readonly platform: string;
  readonly partnerChoice: PartnerChoice;
}

/** What a process of fleet agents has spent so far. */
export interface NodeStatus {
  readonly received: number;
  readonly sent: number;
  readonly cpuMicroseconds: number;
  readonly heapBytes: number;
  readonly rssBytes: number;
  /** Members that each agent knows, itself included. */
  readonly members: readonly number[];
  readonly generations: readonly number[];
}
