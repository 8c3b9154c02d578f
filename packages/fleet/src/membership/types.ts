import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { PartnerChoice } from '../enums.js';
import type { Member, MembershipChange, News } from '../types.js';
import type { MembershipActionKind, MembershipEventKind } from './enums.js';

/** How long ago a data centre was heard of. */
export interface Contact {
  readonly dataCentre: DataCentreName;
  readonly ageMs: number;
}

/** What rides on every ping and its reply. */
export interface Gossip {
  readonly members: readonly Member[];
  readonly news: readonly News[];
  readonly generation: number;
  readonly contacts: readonly Contact[];
}

/** A member with what this daemon notes about it. */
export interface MemberRecord {
  readonly member: Member;
  /** When its state was last changed here. */
  readonly changedAtMs: number;
  /** Messages that still carry the present state. */
  readonly sendsLeft: number;
}

/** News with the messages that still carry it. */
export interface NewsRecord {
  readonly news: News;
  readonly sendsLeft: number;
}

/** A ping that has not been answered yet. */
export interface Probe {
  readonly vm: VmId;
  /** Attempts under way: one at first, the indirect ones and the fresh one afterwards. */
  readonly attempts: number;
  readonly isDirect: boolean;
  /** The time to refute is over: if this probe fails too, the suspect is dead. */
  readonly isFinal: boolean;
}

/** When each periodic action is due. */
export interface Schedule {
  readonly pingAtMs: number;
  readonly remotePingAtMs: number;
  readonly syncAtMs: number;
  readonly listAtMs: number;
  readonly urgentAtMs: number;
}

/** All that the membership machine knows. */
export interface MembershipState {
  readonly self: Member;
  readonly selfSendsLeft: number;
  readonly partnerChoice: PartnerChoice;
  /** All other members, the dead of late included. */
  readonly records: ReadonlyMap<VmId, MemberRecord>;
  readonly news: ReadonlyMap<string, NewsRecord>;
  /** When each other data centre was last heard of. */
  readonly contacts: ReadonlyMap<DataCentreName, number>;
  readonly generation: number;
  readonly probes: ReadonlyMap<number, Probe>;
  readonly nextProbeId: number;
  /** Members still to be pinged in this round of `round_robin`. */
  readonly round: readonly VmId[];
  readonly pingCount: number;
  readonly schedule: Schedule;
  /** Grows while syncs find nobody new, so that a newcomer soon knows everyone. */
  readonly syncIntervalMs: number;
  /** An urgent fact waits to be spread out of turn. */
  readonly isUrgent: boolean;
  /** Another daemon has answered a sync, or there was none to ask. */
  readonly isJoined: boolean;
  readonly seeds: readonly string[];
  /** Addresses from the platform's list. */
  readonly listed: readonly string[];
}

/** What a decision may use besides the state. */
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
      /** The answering daemon does not know this one. */
      readonly isUnknown: boolean;
    }
  | { readonly kind: MembershipEventKind.PingFailed; readonly probeId: number }
  | {
      readonly kind: MembershipEventKind.Sync;
      readonly sender: Member;
      readonly members: readonly Member[];
      readonly generation: number;
      readonly digests: readonly number[];
    }
  | {
      readonly kind: MembershipEventKind.SyncAnswered;
      readonly address: string;
      readonly from: VmId;
      readonly members: readonly Member[];
      readonly news: readonly News[];
      readonly generation: number;
      /** Parts of the membership in which both differ. */
      readonly buckets: readonly number[];
      /** The request already carried what the other lacked. */
      readonly isPush: boolean;
    }
  | { readonly kind: MembershipEventKind.SyncFailed; readonly address: string }
  | { readonly kind: MembershipEventKind.VmsListed; readonly addresses: readonly string[] }
  | { readonly kind: MembershipEventKind.VmsUnlisted }
  | { readonly kind: MembershipEventKind.NewsFound; readonly news: News }
  | { readonly kind: MembershipEventKind.Configured; readonly generation: number }
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
      readonly isPush: boolean;
    }
  | {
      readonly kind: MembershipActionKind.ReplySync;
      readonly members: readonly Member[];
      readonly news: readonly News[];
      readonly buckets: readonly number[];
    }
  | { readonly kind: MembershipActionKind.ListVms }
  | { readonly kind: MembershipActionKind.ReportChange; readonly change: MembershipChange }
  | { readonly kind: MembershipActionKind.ReportNews; readonly news: News }
  | {
      readonly kind: MembershipActionKind.ReportGeneration;
      readonly from: VmId;
      readonly generation: number;
    };

/** A new state and what is to be done. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly actions: readonly MembershipAction[];
}
