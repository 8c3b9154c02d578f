import type { ResultCode } from '../errors/index.js';
import type { MetricKind, MetricName, WasteCause } from './enums.js';

/** The label values of one series, in any order. */
export type MetricLabels = Readonly<Record<string, string>>;

/** What a metric is, for its documentation and its output. */
export interface MetricDefinition {
  readonly kind: MetricKind;
  readonly help: string;
  readonly labels: readonly string[];
}

/** One value of a gauge at the time of reading. */
export interface GaugeSample {
  readonly labels: MetricLabels;
  readonly value: number;
}

/** What names the traffic that a figure belongs to. */
export interface TrafficLabels {
  readonly service: string;
  readonly className: string;
  readonly workspace: string;
}

/** A request that got its whole answer. */
export interface AnswerObservation extends TrafficLabels {
  /** Undefined for plain services. */
  readonly firstTokenMs: number | undefined;
  /** Mean interval between tokens; undefined where there were fewer than two. */
  readonly tokenIntervalMs: number | undefined;
  readonly durationMs: number;
  readonly tokens: number;
  /** Whether the answer met each latency target of its class. */
  readonly isAttained: boolean;
}

/** A request that ended without a whole answer. */
export interface FailureObservation extends TrafficLabels {
  readonly code: ResultCode;
}

/** How well a class or workspace was served lately on this daemon. */
export interface Attainment {
  /** Requests that ended within the window. */
  readonly requests: number;
  readonly attained: number;
  /** Between 0 and 1; undefined where no request ended. */
  readonly share: number | undefined;
}

/** Latency percentiles of a class within the window. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Records what the daemon does, with a bound on the number of series. */
export interface Metrics {
  readonly recordAnswer: (answer: AnswerObservation) => void;
  readonly recordFailure: (failure: FailureObservation) => void;
  readonly recordWaste: (service: string, cause: WasteCause, tokens: number) => void;
  readonly recordQueueWait: (service: string, className: string, waitMs: number) => void;
  /** Adds to any counter. */
  readonly addCount: (name: MetricName, labels: MetricLabels, count?: number) => void;
  /** Registers what reads a gauge's values whenever the metrics are rendered. */
  readonly registerGauge: (name: MetricName, read: () => Iterable<GaugeSample>) => void;
  readonly getCount: (name: MetricName, labels: MetricLabels) => number;
  readonly getClassAttainment: (service: string, className: string) => Attainment;
  readonly getWorkspaceAttainment: (workspace: string) => Attainment;
  /** Percentiles of one of the duration metrics; undefined where nothing was recorded. */
  readonly getLatency: (
    name: MetricName,
    service: string,
    className: string,
  ) => LatencySummary | undefined;
  /** Renders all metrics as Prometheus text. */
  readonly renderPrometheus: () => string;
}
