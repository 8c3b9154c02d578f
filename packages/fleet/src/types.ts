import type { Clock, DataCentreName, VmId } from '@sardinegrade/common';
import type { FleetProtocol, PeerCredentials } from '@sardinegrade/peer';
import type { PlatformClient } from '@sardinegrade/platform';
import type { Stream } from 'most';
import type { Drain, FleetConfiguration } from './configuration/types.js';
import type { NewsKind, PartnerChoice } from './enums.js';
import type { MemberState } from './membership/enums.js';

/** A daemon of the fleet, as recorded in the membership of another daemon. */
export interface Member {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  /** Address of its peer port, `host:port`. */
  readonly address: string;
  /** Increases when the daemon restarts or refutes a suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A member that appeared or changed its state or address. */
export interface MembershipChange {
  readonly member: Member;
  /** Undefined if the member was unknown before. */
  readonly previous: Member | undefined;
}

/** A short-lived fact that is spread to every daemon by gossip. */
export interface News {
  readonly kind: NewsKind;
  /** Fingerprint of a request or id of an upstream. */
  readonly subject: string;
  readonly expiresAtMs: number;
  /**
   * Order of items of the same kind and subject: the one with the higher value overrides the other; if equal,
   * the one that expires later does. Daemons use the current time, in seconds.
   */
  readonly count: number;
}

/** Paths of the files for mutual TLS between daemons. */
export interface PeerTls {
  readonly certificate: string;
  readonly key: string;
  /** Certificate of the authority that signs every daemon's certificate. */
  readonly authority: string;
}

/** Fleet settings of a daemon. */
export interface FleetSettings {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  /** Peer addresses, `host:port`, to join the fleet through, in addition to the platform's VM list. */
  readonly seeds: readonly string[];
  /** Connections are unencrypted if undefined. */
  readonly tls?: PeerTls | undefined;
  readonly partnerChoice?: PartnerChoice | undefined;
}

/** Dependencies of the fleet agent. */
export interface FleetAgentOptions {
  readonly settings: FleetSettings;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  /** Returns uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Credentials shared with the daemon's gRPC server; created from the settings if omitted. */
  readonly credentials?: PeerCredentials | undefined;
}

/** A configuration text submitted by an operator. */
export interface ConfigurationChange {
  /** Generation that the change is based on. */
  readonly baseGeneration: number;
  readonly author: string;
  /** Unique per change; sending a change again with the same id has no further effect. */
  readonly changeId: string;
  readonly text: string;
}

/** A request to set or clear a drain mark. */
export interface DrainChange {
  readonly drain: Drain;
  readonly isDraining: boolean;
  readonly changeId: string;
}

/** One generation of the configuration, as stored in the platform. */
export interface ConfigurationRecord {
  readonly generation: number;
  readonly text: string;
  /** Generation that introduced the text; a change of drain marks keeps it. */
  readonly textGeneration: number;
  readonly drains: readonly Drain[];
  readonly author: string;
  readonly changeId: string;
  readonly atMs: number;
}

/** Status of the configuration at this daemon. */
export interface ConfigurationStatus {
  /** Active generation of this daemon; 0 if there is none. */
  readonly generation: number;
  /** Highest generation that this daemon has received from the platform or from a peer's report. */
  readonly highestKnownGeneration: number;
  readonly isWatcher: boolean;
}

/**
 * Membership, configuration and news of a daemon.
 *
 * The daemon adds `handlers` to its gRPC server as `FleetProtocol.FleetService`, listens, and calls
 * `start` with the address at which peers reach it.
 */
export interface FleetAgent {
  readonly handlers: FleetProtocol.FleetServer;
  /**
   * Joins the fleet.
   *
   * @param address - `host:port` at which peers reach this daemon's peer port
   */
  readonly start: (address: string) => void;
  /** Announces that this daemon is leaving; resolves once a peer has acknowledged it, or after a timeout. */
  readonly leave: () => Promise<void>;
  /** Stops all timers and watches and closes all connections. */
  readonly stop: () => void;

  /** @returns all known members that are not dead, including this daemon */
  readonly getMembers: () => readonly Member[];
  /**
   * @param vm - VM of another daemon
   * @returns the active generation that it last reported, or undefined if it has reported none
   */
  readonly getMemberGeneration: (vm: VmId) => number | undefined;
  /**
   * @param dataCentre - name of a data centre
   * @returns whether there has been recent contact with a daemon of the data centre
   */
  readonly isReachable: (dataCentre: DataCentreName) => boolean;
  readonly memberChanges: Stream<MembershipChange>;

  /** @returns the active configuration, or undefined until one has been found */
  readonly getConfiguration: () => FleetConfiguration | undefined;
  readonly getConfigurationStatus: () => ConfigurationStatus;
  /** Each configuration that becomes active, in order, starting with the current one if there is one. */
  readonly configurations: Stream<FleetConfiguration>;
  /**
   * Validates a text and stores it as the next generation.
   *
   * @throws ConfigurationError if the text is invalid, ConfigurationConflictError if the text has changed
   * since the base generation, PlatformError if the platform is unavailable
   */
  readonly applyConfiguration: (change: ConfigurationChange) => Promise<ConfigurationRecord>;
  /** Stores the text of an old generation as the next generation. */
  readonly restoreConfiguration: (
    generation: number,
    change: Omit<ConfigurationChange, 'text'>,
  ) => Promise<ConfigurationRecord>;
  /** @returns at most `limit` generations of the history below `before`, newest first */
  readonly listHistory: (before: number, limit: number) => Promise<readonly ConfigurationRecord[]>;
  /** Sets or clears a drain mark by creating a new generation. */
  readonly setDrain: (change: DrainChange) => Promise<ConfigurationRecord>;

  /** Spreads a news item to the whole fleet; it is also emitted on this daemon's own `news` stream. */
  readonly publishNews: (news: News) => void;
  /** @returns the news items that have not expired */
  readonly getNews: () => readonly News[];
  /** Each news item, when this daemon first receives it. */
  readonly news: Stream<News>;
}
