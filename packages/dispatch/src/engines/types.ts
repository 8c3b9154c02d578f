import type { Fingerprint, PoolName, UpstreamId } from '@sardinegrade/common';
import type { EngineHealth } from '../charts/index.js';
import type { Average } from '../collections/index.js';
import type { GrantCountHistory } from './GrantCountHistory.js';
import type { PrefixCache } from './PrefixCache.js';

/** A request whose connection to the engine failed. */
export interface ConnectionFailure {
  readonly fingerprint: Fingerprint;
  /** Whether the request ran as a suspect's retry. */
  readonly wasSuspect: boolean;
  readonly atMs: number;
}

/** The fields of a running request that engine measurements need. */
export interface EngineRequest {
  /** When its latest token arrived; undefined before the first. */
  readonly progressAtMs: number | undefined;
  readonly classState: { readonly definition: { readonly tokenIntervalTargetMs: number } };
}

/** State of one engine of the shard. */
export interface EngineState<Request extends EngineRequest = EngineRequest> {
  readonly id: UpstreamId;
  pool: PoolName;
  slots: number;
  /** Whether the shard still contains the engine; a removed engine is kept while it has grants. */
  isMember: boolean;
  isDraining: boolean;
  health: EngineHealth;
  /** When the health last changed. */
  healthSinceMs: number;
  readonly running: Set<Request>;
  readonly paused: Set<Request>;
  /** Adaptive concurrency limit between 1 and the slots; not rounded, since it grows in fractions. */
  limit: number;
  limitReducedAtMs: number;
  /** The engine receives no grants until this time, after it refused one or a connection to it failed. */
  blockedUntilMs: number;
  /** Average token interval of single streams, in milliseconds. */
  readonly tokenIntervalMs: Average;
  /** Average time between two progress reports of a stream, in milliseconds. */
  readonly progressGapMs: Average;
  /** Requests on the engine that were not granted by this dispatcher, from its load reports. */
  externalLoad: number;
  externalLoadExpiresAtMs: number;
  readonly grantCounts: GrantCountHistory;
  /** Time of the latest load report. */
  reportAtMs: number;
  /** Share of the engine's cache memory in use, between 0 and 1. */
  cacheUse: number;
  readonly prefixes: PrefixCache;
  recentConnectionFailures: readonly ConnectionFailure[];
  probeAtMs: number;
  probeDelayMs: number;
  probeSentAtMs: number;
}
