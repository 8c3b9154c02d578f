/** Builders of configurations, asks and events, and a simulated shard, for tests and benchmarks. */
export * from './builders.js';
export * from './createTestShard.js';
export * from './enums.js';
export * from './InvariantObserver.js';
export * from './SimulatedEngine.js';
export * from './SimulatedShard.js';
export {
  findNextRequestState,
  REQUEST_CHART,
  RequestEvent,
  RequestState,
} from '../charts/index.js';
export type * from './types.js';
