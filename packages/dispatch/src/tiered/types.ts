import type {
  ClassConfiguration,
  Configuration,
  Fingerprint,
  PoolName,
  ServiceName,
  UpstreamId,
} from '@sardinegrade/common';
import type { RequestState } from '../charts/index.js';
import type { Average, IndexedHeap } from '../collections/index.js';
import type { EngineState } from '../engines/index.js';
import type { SuspicionTable } from '../quarantine/index.js';
import type { ClassQueue } from '../queues/index.js';
import type { DispatchAction, DispatcherTuning, GrantRequest, RandomSource } from '../types.js';

/** State of one class of one service at this dispatcher. */
export interface ClassState {
  readonly key: string;
  readonly service: ServiceName;
  pool: PoolName;
  definition: ClassConfiguration;
  tierRank: number;
  isPaying: boolean;
  /** False once the class is removed from the configuration; it is kept while it has running or paused requests. */
  isConfigured: boolean;
  readonly queue: ClassQueue<RequestRecord>;
  /** Waiting requests that are served first: answers to resume, and requests that only some engines may run. */
  readonly constrained: Set<RequestRecord>;
  readonly running: Set<RequestRecord>;
  readonly paused: Set<RequestRecord>;
  /** Number of running requests whose slot the guaranteed share protects from preemption. */
  guaranteedCount: number;
  /** Tokens that the guaranteed share has earned and the class has not used; negative if it used more. */
  creditTokens: number;
  /** How long its requests occupy a slot, in milliseconds. */
  readonly holdMs: Average;
  readonly outputTokens: Average;
}

/** An engine with its running and paused requests. */
export type TieredEngine = EngineState<RequestRecord>;

/** A request for a grant, from its arrival to its end. */
export interface RequestRecord {
  readonly ask: GrantRequest;
  readonly classState: ClassState;
  /** Order of arrival at this dispatcher. */
  readonly sequence: number;
  /** Estimated tokens that are charged to the workspace. */
  readonly cost: number;
  readonly expectedTokens: number;
  /**
   * Latest time at which it may be granted, in milliseconds since the epoch: the deadline minus the grant delivery
   * margin and, for a first attempt, minus the estimated run time (at most half of the time left).
   */
  readonly latestStartMs: number;
  isQueued: boolean;
  state: RequestState;
  /** Whether it was granted while its fingerprint was a suspect, so that it is the suspect's retry. */
  isSuspectRetry: boolean;
  engine: TieredEngine | undefined;
  priority: number;
  /** Tokens received since the grant. */
  tokens: number;
  /** Whether it was granted by the guaranteed share of its class. */
  isGuaranteed: boolean;
  /** Expected tokens that were charged to the class and have not been received yet. */
  outstandingTokens: number;
  /** When it acquired its current slot. */
  slotAcquiredAtMs: number;
  /** How long it occupied slots before the current one. */
  earlierHoldMs: number;
  /** Whether it was ever paused; the token interval that its daemon reports then includes the pause. */
  wasPaused: boolean;
  /** When its latest token arrived; undefined before the first and after a resume. */
  progressAtMs: number | undefined;
}

/** A request that ended recently, kept to answer repeated messages. */
export interface EndedRequest {
  readonly atMs: number;
  /** The refusal that is sent again if the ask is repeated; undefined after a release or withdrawal. */
  readonly refusal: DispatchAction | undefined;
}

/** State of the tiered dispatcher. */
export interface TieredState {
  readonly tuning: DispatcherTuning;
  readonly random: RandomSource;
  configuration: Configuration | undefined;
  /** Configured classes, in the order in which they are served. */
  classes: readonly ClassState[];
  readonly classByKey: Map<string, ClassState>;
  engines: readonly TieredEngine[];
  readonly engineById: Map<UpstreamId, TieredEngine>;
  /** Pools with at least one available engine. */
  availablePools: ReadonlySet<PoolName>;
  /** Sum of the engines' limits in each pool; cached while one event is handled. */
  readonly capacityByPool: Map<PoolName, number>;
  readonly records: Map<string, RequestRecord>;
  readonly deadlines: IndexedHeap<RequestRecord>;
  readonly recentlyEnded: Map<string, EndedRequest>;
  readonly suspicions: SuspicionTable;
  readonly runningSuspects: Map<Fingerprint, RequestRecord>;
  /** How long requests of all classes occupy a slot, in milliseconds. */
  readonly holdMs: Average;
  /** Time to the first token over all classes, in milliseconds. */
  readonly firstTokenMs: Average;
  /** Median token interval of the shard's engines; undefined before the first measurements. */
  medianIntervalMs: number | undefined;
  nextSequence: number;
  /** When the periodic checks last ran. */
  checkedAtMs: number;
  /** Actions of the event that is being handled. */
  actions: DispatchAction[];
}
