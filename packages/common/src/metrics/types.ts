import type { ResultCode } from '../errors/index.js';
import type { MetricKind, MetricName, WasteCause } from './enums.js';

/** Label values of one series, by label name. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Definition of a metric, used for its documentation and output. */
export interface MetricDefinition {
  readonly kind: MetricKind;
  readonly help: string;
  readonly labels: readonly string[];
}

/** Current value of one series of a gauge. */
export interface GaugeSample {
  readonly labels: MetricLabels;
  readonly value: number;
}

/** Service, class and workspace that an observation belongs to. */
export interface TrafficLabels {
  readonly service: string;
  readonly className: string;
  readonly workspace: string;
}

/** A request that received a complete answer. */
export interface AnswerObservation extends TrafficLabels {
  /** Undefined for plain services. */
  readonly firstTokenMs: number | undefined;
  /** Mean interval between tokens; undefined if there were fewer than two tokens. */
  readonly tokenIntervalMs: number | undefined;
  readonly durationMs: number;
  readonly tokens: number;
  /** Whether the answer met all latency targets of its class. */
  readonly isAttained: boolean;
}

/** A request that ended without a complete answer. */
export interface FailureObservation extends TrafficLabels {
  readonly code: ResultCode;
}

/** How many recent requests of a class or workspace met their latency targets on this daemon. */
export interface Attainment {
  /** Requests that ended within the recent window. */
  readonly requests: number;
  readonly attained: number;
  /** Ratio of `attained` to `requests`, between 0 and 1; undefined if no request ended. */
  readonly share: number | undefined;
}

/** Latency percentiles of a class within the recent window. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Metrics of a daemon, with a limit on the number of series. */
export interface Metrics {
  readonly recordAnswer: (answer: AnswerObservation) => void;
  readonly recordFailure: (failure: FailureObservation) => void;
  readonly recordWastedTokens: (service: string, cause: WasteCause, tokens: number) => void;
  readonly recordQueueWait: (service: string, className: string, waitMs: number) => void;
  /** Increases a counter; by 1 unless `count` is given. */
  readonly addCount: (name: MetricName, labels: MetricLabels, count?: number) => void;
  /** Registers a function that returns the current values of a gauge; called on each rendering. */
  readonly registerGauge: (name: MetricName, read: () => Iterable<GaugeSample>) => void;
  readonly getCount: (name: MetricName, labels: MetricLabels) => number;
  readonly getClassAttainment: (service: string, className: string) => Attainment;
  readonly getWorkspaceAttainment: (workspace: string) => Attainment;
  /** Percentiles of a summary; undefined if nothing was recorded within the recent window. */
  readonly getLatency: (
    name: MetricName,
    service: string,
    className: string,
  ) => LatencySummary | undefined;
  /** Renders all metrics in the Prometheus text format. */
  readonly renderPrometheus: () => string;
}
