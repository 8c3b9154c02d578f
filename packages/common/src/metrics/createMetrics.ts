import { SYSTEM_CLOCK } from '../time/index.js';
import { AttainmentWindow } from './AttainmentWindow.js';
import { ATTAINMENT_SERIES_LIMIT } from './constants.js';
import { MetricName, RequestOutcome } from './enums.js';
import { MetricStore } from './MetricStore.js';
import { isCountedInAttainment, toOutcome } from './outcome.js';
import { SeriesMap } from './SeriesMap.js';

import type { Clock } from '../time/index.js';
import type { LabelValues } from './SeriesMap.js';
import type {
  AnswerObservation,
  Attainment,
  FailureObservation,
  MetricLabels,
  Metrics,
  TrafficLabels,
} from './types.js';

const NO_ATTAINMENT: Attainment = { requests: 0, attained: 0, share: undefined };

const toClassLabels = ({ service, className }: TrafficLabels): MetricLabels => ({
  service,
  class: className,
});

/** Tracks recent attainment by class and by workspace. */
class AttainmentTracker {
  readonly #classes: SeriesMap<AttainmentWindow>;
  readonly #workspaces: SeriesMap<AttainmentWindow>;

  constructor(clock: Clock, onDropped: () => void) {
    const createWindow = (): AttainmentWindow => new AttainmentWindow(clock);
    this.#classes = new SeriesMap(ATTAINMENT_SERIES_LIMIT, createWindow, onDropped);
    this.#workspaces = new SeriesMap(ATTAINMENT_SERIES_LIMIT, createWindow, onDropped);
  }

  record(traffic: TrafficLabels, isAttained: boolean): void {
    this.#classes.get([traffic.service, traffic.className]).record(isAttained);
    this.#workspaces.get([traffic.workspace]).record(isAttained);
  }

  getClass(values: LabelValues): Attainment {
    return this.#classes.find(values)?.describe() ?? NO_ATTAINMENT;
  }

  getWorkspace(workspace: string): Attainment {
    return this.#workspaces.find([workspace])?.describe() ?? NO_ATTAINMENT;
  }

  listShares(): readonly { readonly labels: MetricLabels; readonly value: number }[] {
    return [...this.#classes.list()].flatMap(({ values, state }) => {
      const { share } = state.describe();
      if (share === undefined) return [];
      return [{ labels: { service: values[0] ?? '', class: values[1] ?? '' }, value: share }];
    });
  }
}

const recordOutcome = (
  store: MetricStore,
  traffic: TrafficLabels,
  outcome: RequestOutcome,
): void => {
  store.addCount(MetricName.Requests, { ...toClassLabels(traffic), outcome }, 1);
  store.addCount(MetricName.WorkspaceRequests, { workspace: traffic.workspace, outcome }, 1);
};

const recordAttained = (store: MetricStore, answer: AnswerObservation): void => {
  if (!answer.isAttained) return;
  const labels = toClassLabels(answer);
  store.addCount(MetricName.Attained, labels, 1);
  store.addCount(MetricName.WorkspaceAttained, { workspace: answer.workspace }, 1);
  store.addCount(MetricName.GoodTokens, labels, answer.tokens);
};

const recordDurations = (store: MetricStore, answer: AnswerObservation): void => {
  const labels = toClassLabels(answer);
  store.recordDuration(MetricName.RequestDuration, labels, answer.durationMs);
  if (answer.firstTokenMs !== undefined) {
    store.recordDuration(MetricName.FirstToken, labels, answer.firstTokenMs);
  }
  if (answer.tokenIntervalMs !== undefined) {
    store.recordDuration(MetricName.TokenInterval, labels, answer.tokenIntervalMs);
  }
};

const createAnswerRecorder =
  (store: MetricStore, tracker: AttainmentTracker) =>
  (answer: AnswerObservation): void => {
    recordOutcome(store, answer, RequestOutcome.Whole);
    recordAttained(store, answer);
    recordDurations(store, answer);
    store.addCount(MetricName.WorkspaceTokens, { workspace: answer.workspace }, answer.tokens);
    tracker.record(answer, answer.isAttained);
  };

const createFailureRecorder =
  (store: MetricStore, tracker: AttainmentTracker) =>
  (failure: FailureObservation): void => {
    const { code } = failure;
    recordOutcome(store, failure, toOutcome(code));
    store.addCount(MetricName.Refusals, { ...toClassLabels(failure), code: String(code) }, 1);
    if (isCountedInAttainment(code)) tracker.record(failure, false);
  };

/**
 * Creates the metrics of one daemon.
 *
 * @param clock - clock that the sliding windows use
 * @returns functions that record, read and render the metrics
 */
export const createMetrics = (clock: Clock = SYSTEM_CLOCK): Metrics => {
  const store = new MetricStore(clock);
  const tracker = new AttainmentTracker(clock, () =>
    store.addCount(MetricName.DroppedLabels, { metric: MetricName.Attainment }, 1),
  );
  store.registerGauge(MetricName.Attainment, () => tracker.listShares());
  return {
    recordAnswer: createAnswerRecorder(store, tracker),
    recordFailure: createFailureRecorder(store, tracker),
    recordWastedTokens: (service, cause, tokens) =>
      store.addCount(MetricName.WastedTokens, { service, cause }, tokens),
    recordQueueWait: (service, className, waitMs) =>
      store.recordDuration(MetricName.QueueWait, { service, class: className }, waitMs),
    addCount: (name, labels, count = 1) => store.addCount(name, labels, count),
    registerGauge: (name, read) => store.registerGauge(name, read),
    getCount: (name, labels) => store.getCount(name, labels),
    getClassAttainment: (service, className) => tracker.getClass([service, className]),
    getWorkspaceAttainment: (workspace) => tracker.getWorkspace(workspace),
    getLatency: (name, service, className) =>
      store.findSummary(name, { service, class: className })?.describe(),
    renderPrometheus: () => store.render(),
  };
};
