import type { Clock, DataCentreName, VmId } from '@sardinegrade/common';
import type { FleetProtocol, PeerCredentials } from '@sardinegrade/peer';
import type { PlatformClient } from '@sardinegrade/platform';
import type { Stream } from 'most';
import type { Drain, FleetConfiguration } from './configuration/types.js';
import type { NewsKind, PartnerChoice } from './enums.js';
import type { MemberState } from './membership/enums.js';

/** A daemon of the fleet, as another sees it. */
export interface Member {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  /** Address of its peer port, `host:port`. */
  readonly address: string;
  /** Grows when the daemon restarts or refutes a suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A member that appeared or changed its state or address. */
export interface MembershipChange {
  readonly member: Member;
  /** Undefined where the member was not known before. */
  readonly previous: Member | undefined;
}

/** A small fact that every daemon is to know for a while. */
export interface News {
  readonly kind: NewsKind;
  /** A fingerprint or an upstream's id. */
  readonly subject: string;
  readonly expiresAtMs: number;
  /** Of two facts of one kind on one subject the one with the higher count holds. */
  readonly count: number;
}

/** Paths of the files for mutual TLS between daemons. */
export interface PeerTls {
  readonly certificate: string;
  readonly key: string;
  /** Certificate of the authority that signs every daemon's certificate. */
  readonly authority: string;
}

/** What a daemon's settings say about the fleet. */
export interface FleetSettings {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  /** Peer addresses, `host:port`, to join by, besides those that the platform lists. */
  readonly seeds: readonly string[];
  /** Plain connections where undefined. */
  readonly tls?: PeerTls | undefined;
  readonly partnerChoice?: PartnerChoice | undefined;
}

/** What the fleet agent needs from the daemon. */
export interface FleetAgentOptions {
  readonly settings: FleetSettings;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  /** Uniform numbers from 0 up to but without 1. */
  readonly random: () => number;
  /** Credentials shared with the daemon's gRPC server; made from the settings where left out. */
  readonly credentials?: PeerCredentials | undefined;
}

/** A text that an operator wants in force. */
export interface ConfigurationChange {
  /** The generation that the operator started from. */
  readonly baseGeneration: number;
  readonly author: string;
  /** Unique per intended change; a resend with the same id has no second effect. */
  readonly changeId: string;
  readonly text: string;
}

/** A request to set or clear a drain mark. */
export interface DrainChange {
  readonly drain: Drain;
  readonly isDraining: boolean;
  readonly changeId: string;
}

/** One generation of the configuration as the platform keeps it. */
export interface ConfigurationRecord {
  readonly generation: number;
  readonly text: string;
  /** The generation that brought the text; drain marks change without the text. */
  readonly textGeneration: number;
  readonly drains: readonly Drain[];
  readonly author: string;
  readonly changeId: string;
  readonly atMs: number;
}

/** Where the fleet agent's knowledge of the configuration stands. */
export interface ConfigurationStatus {
  /** The generation in force at this daemon; 0 for none. */
  readonly generation: number;
  /** The highest generation that this daemon has heard of. */
  readonly highestHeard: number;
  readonly isWatcher: boolean;
}

/**
 * The daemon's part in the fleet: membership, configuration and news.
 *
 * The daemon adds `handlers` to its gRPC server as `FleetProtocol.FleetService`, listens, and calls
 * `start` with the address that others reach it by.
 */
export interface FleetAgent {
  readonly handlers: FleetProtocol.FleetServer;
  /**
   * Joins the fleet.
   *
   * @param address - `host:port` of this daemon's peer port, as others reach it
   */
  readonly start: (address: string) => void;
  /** Tells the others that this daemon leaves; resolves once some have heard, or after a bounded time. */
  readonly leave: () => Promise<void>;
  /** Ends timers, watches and connections. */
  readonly stop: () => void;

  /** @returns all known members but the dead, this daemon among them */
  readonly getMembers: () => readonly Member[];
  /**
   * @param vm - another daemon
   * @returns the generation that it had in force when last heard of; undefined where never
   */
  readonly getMemberGeneration: (vm: VmId) => number | undefined;
  /**
   * @param dataCentre - a data centre's name
   * @returns whether a daemon there has been heard of lately
   */
  readonly isReachable: (dataCentre: DataCentreName) => boolean;
  readonly memberChanges: Stream<MembershipChange>;

  /** @returns the configuration in force; undefined until one has been found */
  readonly getConfiguration: () => FleetConfiguration | undefined;
  readonly getConfigurationStatus: () => ConfigurationStatus;
  /** Each configuration that comes into force, in order, beginning with the present one if any. */
  readonly configurations: Stream<FleetConfiguration>;
  /**
   * Checks a text and makes it the next generation.
   *
   * @throws ConfigurationError for a faulty text, ConfigurationConflictError for a lost race,
   * PlatformError where the platform is down
   */
  readonly applyConfiguration: (change: ConfigurationChange) => Promise<ConfigurationRecord>;
  /** Makes the text of an old generation the next generation. */
  readonly restoreConfiguration: (
    generation: number,
    change: Omit<ConfigurationChange, 'text'>,
  ) => Promise<ConfigurationRecord>;
  /** @returns kept generations, newest first, at most `limit`, all below `before` */
  readonly listHistory: (before: number, limit: number) => Promise<readonly ConfigurationRecord[]>;
  /** Sets or clears a drain mark; it comes into force like a configuration. */
  readonly setDrain: (change: DrainChange) => Promise<ConfigurationRecord>;

  /** Tells the whole fleet a fact; it also appears in this daemon's own `news`. */
  readonly spreadNews: (news: News) => void;
  /** @returns the facts that have not expired */
  readonly getNews: () => readonly News[];
  /** Each fact when this daemon first learns it. */
  readonly news: Stream<News>;
}
