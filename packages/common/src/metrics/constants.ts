import { MetricKind, MetricName } from './enums.js';

import type { MetricDefinition } from './types.js';

const { Counter, Gauge, Summary } = MetricKind;

const TRAFFIC_LABELS = ['service', 'class'];

/** Kind, help text and labels of each metric. */
export const METRIC_DEFINITIONS: Readonly<Record<MetricName, MetricDefinition>> = {
  [MetricName.Requests]: {
    kind: Counter,
    help: 'Requests that ended, by outcome (whole, invalid, refused, failed).',
    labels: [...TRAFFIC_LABELS, 'outcome'],
  },
  [MetricName.WorkspaceRequests]: {
    kind: Counter,
    help: 'Requests that ended, by workspace and outcome.',
    labels: ['workspace', 'outcome'],
  },
  [MetricName.Refusals]: {
    kind: Counter,
    help: 'Requests that ended without a whole answer, by result code.',
    labels: [...TRAFFIC_LABELS, 'code'],
  },
  [MetricName.Attained]: {
    kind: Counter,
    help: 'Whole answers that met each latency target of their class.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.WorkspaceAttained]: {
    kind: Counter,
    help: 'Whole answers that met each latency target, by workspace.',
    labels: ['workspace'],
  },
  [MetricName.GoodTokens]: {
    kind: Counter,
    help: 'Tokens of whole answers that met each target: the goodput.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.WorkspaceTokens]: {
    kind: Counter,
    help: 'Tokens of whole answers, by workspace.',
    labels: ['workspace'],
  },
  [MetricName.WastedTokens]: {
    kind: Counter,
    help: 'Tokens made by engines that were of no use to any caller, by cause.',
    labels: ['service', 'cause'],
  },
  [MetricName.Grants]: {
    kind: Counter,
    help: 'Asks of this daemon for an engine, by decision (granted, refused).',
    labels: [...TRAFFIC_LABELS, 'decision'],
  },
  [MetricName.Preemptions]: {
    kind: Counter,
    help: 'Running requests made to give way, by mode (pause, cancel).',
    labels: [...TRAFFIC_LABELS, 'mode'],
  },
  [MetricName.Retries]: {
    kind: Counter,
    help: 'Asks after the first, by cause (retried, resumed).',
    labels: ['service', 'cause'],
  },
  [MetricName.ResumedStreams]: {
    kind: Counter,
    help: 'Streams that callers resumed, by how their origin was found (known, only_build, table, unknown).',
    labels: ['origin'],
  },
  [MetricName.UpstreamAttempts]: {
    kind: Counter,
    help: 'Attempts at upstreams, by outcome.',
    labels: ['upstream', 'outcome'],
  },
  [MetricName.OrderWrites]: {
    kind: Counter,
    help: 'Conditional writes of order records, by outcome.',
    labels: ['outcome'],
  },
  [MetricName.PlatformCalls]: {
    kind: Counter,
    help: 'Calls to the platform, by method and outcome.',
    labels: ['method', 'outcome'],
  },
  [MetricName.FirstToken]: {
    kind: Summary,
    help: 'Time from arrival to the first token.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.TokenInterval]: {
    kind: Summary,
    help: 'Mean interval between the tokens of an answer.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.QueueWait]: {
    kind: Summary,
    help: 'Time from arrival to the grant.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.RequestDuration]: {
    kind: Summary,
    help: 'Time from arrival to the last byte.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.Attainment]: {
    kind: Gauge,
    help: 'Part of the requests of the last minutes that met their targets.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.Queued]: {
    kind: Gauge,
    help: 'Requests that wait at dispatchers of this daemon.',
    labels: TRAFFIC_LABELS,
  },
  [MetricName.LimitedWorkers]: {
    kind: Gauge,
    help: 'Workers that name a limit for the requests of all daemons together.',
    labels: [],
  },
  [MetricName.RefusedParts]: {
    kind: Gauge,
    help: 'Prompt parts whose requests are refused because workers crashed on them.',
    labels: [],
  },
  [MetricName.Generation]: {
    kind: Gauge,
    help: 'Configuration generation in force.',
    labels: [],
  },
  [MetricName.ConfigurationAge]: {
    kind: Gauge,
    help: 'Time since the active configuration was applied.',
    labels: [],
  },
  [MetricName.StoreAnswerAge]: {
    kind: Gauge,
    help: 'Time since the store last answered a list or watch, by kind of objects.',
    labels: ['kind'],
  },
  [MetricName.WorkerSpeed]: {
    kind: Gauge,
    help: 'Learned speed of an upstream as a multiple of the median of its service.',
    labels: ['service', 'upstream'],
  },
  [MetricName.LinksLost]: {
    kind: Gauge,
    help: 'Whether this daemon has lost its links to all upstreams (1) or not (0).',
    labels: [],
  },
  [MetricName.Tunnels]: {
    kind: Counter,
    help: 'Attempts to open a connection to an upstream through another daemon, by outcome.',
    labels: ['outcome'],
  },
  [MetricName.DutyHolder]: {
    kind: Gauge,
    help: "Whether this daemon makes the calls to the host platform's API for all (1) or not (0).",
    labels: [],
  },
  [MetricName.DutyCalls]: {
    kind: Counter,
    help: "Calls to the host platform's API, by duty and outcome.",
    labels: ['duty', 'outcome'],
  },
  [MetricName.StoreEra]: {
    kind: Gauge,
    help: 'Number of times that the store has been restored from an older copy.',
    labels: [],
  },
  [MetricName.Members]: {
    kind: Gauge,
    help: 'Daemons known to this one, by state.',
    labels: ['state'],
  },
  [MetricName.Upstreams]: {
    kind: Gauge,
    help: 'Upstreams by pool and health.',
    labels: ['pool', 'health'],
  },
  [MetricName.UsageReports]: {
    kind: Counter,
    help: 'Usage reports sent to the host platform, by outcome.',
    labels: ['outcome'],
  },
  [MetricName.UsageReportAge]: {
    kind: Gauge,
    help: 'Time since a usage report of the holder was last accepted; none at other daemons.',
    labels: [],
  },
  [MetricName.OrderedWorkers]: {
    kind: Gauge,
    help: 'Workers last ordered by this daemon while it holds the duty, by data centre and kind.',
    labels: ['service', 'data_centre', 'kind'],
  },
  [MetricName.WorkerOrders]: {
    kind: Counter,
    help: 'Orders of workers, by outcome.',
    labels: ['outcome'],
  },
  [MetricName.DemandEngines]: {
    kind: Gauge,
    help: 'Demand in fully used engines, at the daemon that holds the duty.',
    labels: ['service'],
  },
  [MetricName.ClientLimits]: {
    kind: Counter,
    help: 'Times that clients exceeded a limit of this daemon, by limit.',
    labels: ['limit'],
  },
  [MetricName.WorkspaceLimits]: {
    kind: Counter,
    help: 'Times that clients exceeded a limit of this daemon, by workspace.',
    labels: ['workspace'],
  },
  [MetricName.DroppedLabels]: {
    kind: Counter,
    help: 'Label sets counted under other because a metric had reached its bound.',
    labels: ['metric'],
  },
};

/** Maximum series of one counter; further label sets share the series of OTHER_LABEL. */
export const COUNTER_SERIES_LIMIT = 1_024;

/** Maximum series of one summary; further label sets share the series of OTHER_LABEL. */
export const SUMMARY_SERIES_LIMIT = 64;

/** Maximum classes, and maximum workspaces, with an attainment window of their own. */
export const ATTAINMENT_SERIES_LIMIT = 512;

/** Label value of the series that is shared by all label sets beyond the limit. */
export const OTHER_LABEL = 'other';

/** Length of each half of the sliding window for percentiles and attainment. */
export const WINDOW_HALF_MS = 60_000;

/** Quantiles that summaries report. */
export const SUMMARY_QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;

/**
 * Upper limit of recorded durations, in histogram units of 0.01 ms (one hour); longer ones are
 * recorded as this value.
 */
export const HISTOGRAM_MAXIMUM_UNITS = 360_000_000;

/** Histogram units in a millisecond. */
export const HISTOGRAM_UNITS_PER_MS = 100;
