import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { PartnerChoice } from '../enums.js';
import type { Member, MembershipChange, News } from '../types.js';
import type { MembershipActionKind, MembershipEventKind } from './enums.js';

/** Time since the last contact with a data centre. */
export interface Contact {
  readonly dataCentre: DataCentreName;
  readonly ageMs: number;
}

/** Data that is piggybacked on every ping and ping reply. */
export interface Gossip {
  readonly members: readonly Member[];
  readonly news: readonly News[];
  readonly generation: number;
  readonly contacts: readonly Contact[];
}

/** A member and this daemon's local bookkeeping about it. */
export interface MemberRecord {
  readonly member: Member;
  /** Local time of the last change to the member. */
  readonly changedAtMs: number;
  /** Number of further messages that carry the current state. */
  readonly sendsLeft: number;
}

/** A news item and the number of further messages that carry it. */
export interface NewsRecord {
  readonly news: News;
  readonly sendsLeft: number;
}

/**
 * A check of one member that is still pending: a direct ping, then, if it fails, indirect pings and a ping over
 * a new connection.
 */
export interface Probe {
  readonly vm: VmId;
  /** Pending attempts: first the direct ping alone, then the indirect pings and the one over a new connection. */
  readonly attempts: number;
  readonly isDirect: boolean;
  /** The suspicion timeout has passed: if this probe fails as well, the suspect is declared dead. */
  readonly isFinal: boolean;
}

/** Next due time of each periodic action. */
export interface Schedule {
  readonly pingAtMs: number;
  readonly remotePingAtMs: number;
  readonly syncAtMs: number;
  readonly listVmsAtMs: number;
  readonly urgentAtMs: number;
}

/** State of the membership state machine. */
export interface MembershipState {
  readonly self: Member;
  readonly selfSendsLeft: number;
  readonly partnerChoice: PartnerChoice;
  /** All other members, including recently dead ones. */
  readonly records: ReadonlyMap<VmId, MemberRecord>;
  readonly news: ReadonlyMap<string, NewsRecord>;
  /** Time of the last contact with each other data centre, in milliseconds. */
  readonly contacts: ReadonlyMap<DataCentreName, number>;
  readonly generation: number;
  readonly probes: ReadonlyMap<number, Probe>;
  readonly nextProbeId: number;
  /** Members not yet pinged in the current `round_robin` round. */
  readonly round: readonly VmId[];
  readonly pingCount: number;
  readonly schedule: Schedule;
  /**
   * Doubles, up to `MAX_SYNC_INTERVAL_MS`, after each sync that failed or found no new member. Starts short, so
   * that a new daemon soon has records of all members.
   */
  readonly syncIntervalMs: number;
  /** An urgent update is pending and should be sent before the next regular ping. */
  readonly isUrgent: boolean;
  /** Another daemon has answered a sync, or no other daemon exists. */
  readonly isJoined: boolean;
  readonly seeds: readonly string[];
  /** Addresses from the platform's VM list. */
  readonly listedAddresses: readonly string[];
}

/** Inputs of the state machine besides state and event. */
export interface MembershipContext {
  readonly nowMs: number;
  readonly random: () => number;
}

export type MembershipEvent =
  | { readonly kind: MembershipEventKind.Tick }
  | { readonly kind: MembershipEventKind.Ping; readonly from: VmId; readonly gossip: Gossip }
  | {
      readonly kind: MembershipEventKind.PingAnswered;
      readonly probeId: number;
      /** The VM that answered. */
      readonly from: VmId;
      readonly gossip: Gossip;
      /** The answering daemon has no record of this daemon. */
      readonly isUnknown: boolean;
    }
  | { readonly kind: MembershipEventKind.PingFailed; readonly probeId: number }
  | {
      readonly kind: MembershipEventKind.Sync;
      readonly sender: Member;
      readonly members: readonly Member[];
      readonly generation: number;
      readonly digests: readonly number[];
      readonly news: readonly News[];
      /** Empty from a daemon that compares no news. */
      readonly newsDigests: readonly number[];
    }
  | {
      readonly kind: MembershipEventKind.SyncAnswered;
      readonly address: string;
      readonly from: VmId;
      readonly members: readonly Member[];
      readonly news: readonly News[];
      readonly generation: number;
      /** Buckets in which the two memberships differ. */
      readonly buckets: readonly number[];
      /** Buckets in which the known news differs. */
      readonly newsBuckets: readonly number[];
      /** The request itself carried what the other daemon was missing. */
      readonly isPush: boolean;
    }
  | { readonly kind: MembershipEventKind.SyncFailed; readonly address: string }
  | { readonly kind: MembershipEventKind.VmsListed; readonly addresses: readonly string[] }
  | { readonly kind: MembershipEventKind.ListVmsFailed }
  | { readonly kind: MembershipEventKind.NewsFound; readonly news: News }
  | { readonly kind: MembershipEventKind.ConfigurationInstalled; readonly generation: number }
  | { readonly kind: MembershipEventKind.Leave };

export type MembershipAction =
  | {
      readonly kind: MembershipActionKind.Ping | MembershipActionKind.PingFresh;
      readonly probeId: number;
      readonly target: Member;
      readonly gossip: Gossip;
    }
  | {
      readonly kind: MembershipActionKind.PingIndirect;
      readonly probeId: number;
      readonly helper: Member;
      readonly target: Member;
      readonly gossip: Gossip;
    }
  | {
      readonly kind: MembershipActionKind.ReplyPing;
      readonly gossip: Gossip;
      readonly isUnknown: boolean;
    }
  | {
      readonly kind: MembershipActionKind.Sync;
      readonly address: string;
      readonly members: readonly Member[];
      readonly digests: readonly number[];
      readonly news: readonly News[];
      readonly newsDigests: readonly number[];
      readonly isPush: boolean;
    }
  | {
      readonly kind: MembershipActionKind.ReplySync;
      readonly members: readonly Member[];
      readonly news: readonly News[];
      readonly buckets: readonly number[];
      readonly newsBuckets: readonly number[];
    }
  | { readonly kind: MembershipActionKind.ListVms }
  | { readonly kind: MembershipActionKind.ReportChange; readonly change: MembershipChange }
  | { readonly kind: MembershipActionKind.ReportNews; readonly news: News }
  | {
      readonly kind: MembershipActionKind.ReportGeneration;
      readonly from: VmId;
      readonly generation: number;
    };

/** The next state and the actions to perform. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly actions: readonly MembershipAction[];
}
