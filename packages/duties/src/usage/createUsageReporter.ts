import { LogLimit, MetricName } from '@sardinegrade/common';

import { DutyOutcome } from '../enums.js';
import { MIN_CLOCKS, OWN_CLOCK_ERROR_MS } from './FleetClock.js';
import { PacedStep } from './PacedStep.js';
import { ReportRecorder } from './ReportRecorder.js';
import {
  isReportReady,
  isStillReported,
  LATEST_REPORT_MS,
  listReadyWindows,
} from './selectWindows.js';
import { UsagePoller } from './UsagePoller.js';
import { computeWindow, computeWindowEndMs } from './windows.js';

import type { Logger, Metrics } from '@sardinegrade/common';
import type { Peer } from '@sardinegrade/routing';
import type { DutyClient, DutyHolder, DutySettings, DutyStore, UsageReport } from '../types.js';
import type { UsageSource } from './buildUsagePage.js';
import type { UsagePageFetcher } from './UsagePoller.js';

/** What the reporter needs. */
export interface UsageReporterOptions extends UsageSource {
  readonly settings: DutySettings;
  readonly holder: DutyHolder;
  readonly client: DutyClient;
  readonly store: DutyStore;
  /** Lists all other VMs. */
  readonly listPeers: () => readonly Peer[];
  readonly fetchPage: UsagePageFetcher;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/** Reports the usage while this VM is the holder. */
export interface UsageReporter {
  /** Does what is due; resolves when that has ended. It does not reject. */
  readonly tick: () => Promise<void>;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Interval of ticks, in milliseconds: fetches are spread with this precision. */
const TICK_MS = 100;

const MS_PER_SECOND = 1_000;

/** Outcomes after which a report is not sent again. */
const FINAL_OUTCOMES: ReadonlySet<DutyOutcome> = new Set([
  DutyOutcome.Accepted,
  DutyOutcome.Refused,
]);

class Reporter implements UsageReporter {
  readonly #poller: UsagePoller;
  readonly #recorder: ReportRecorder;
  readonly #logLimit: LogLimit;
  /** Calls without a final outcome so far, by window; infinite after a final outcome. */
  readonly #attempts = new Map<number, number>();
  #heldSinceMs: number | undefined;
  #acceptedAtMs: number | undefined;
  /** A call of the API that is not answered does not delay the records, nor the other way round. */
  readonly #recording: PacedStep;
  readonly #sending: PacedStep;
  #timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: UsageReporterOptions) {
    const { settings, getNowMs } = options;
    const windowMs = settings.usageWindowMs;
    this.#logLimit = new LogLimit(getNowMs);
    this.#poller = new UsagePoller({ ...options, windowMs, logLimit: this.#logLimit });
    this.#recorder = new ReportRecorder({ ...options, windowMs, logLimit: this.#logLimit });
    this.#recording = new PacedStep(() => this.#record(), getNowMs);
    this.#sending = new PacedStep(() => this.#sendRecorded(), getNowMs);
    options.metrics.registerGauge(MetricName.UsageReportAge, () => {
      const sinceMs = this.#heldSinceMs && (this.#acceptedAtMs ?? this.#heldSinceMs);
      if (sinceMs === undefined) return [];
      return [{ labels: {}, value: (getNowMs() - sinceMs) / MS_PER_SECOND }];
    });
  }

  readonly start = (): void => {
    this.#timer ??= setInterval(() => void this.tick(), TICK_MS);
  };

  readonly stop = (): void => {
    clearInterval(this.#timer);
    this.#timer = undefined;
  };

  readonly tick = async (): Promise<void> => {
    const { holder, getNowMs } = this.options;
    if (!holder.isHolder()) {
      this.#pause();
      return;
    }
    this.#heldSinceMs ??= getNowMs();
    const fetches = this.#poller.fetchDue(this.#firstWindow);
    await Promise.all([fetches, this.#recording.run(), this.#sending.run()]);
  };

  /** Time since this VM has become the holder, in milliseconds. */
  get #heldMs(): number {
    return this.#heldSinceMs === undefined ? 0 : this.options.getNowMs() - this.#heldSinceMs;
  }

  /** By how much the fleet time may be ahead; a fleet that is too small for a median relies on its clocks. */
  get #clockErrorMs(): number {
    const { clock, listPeers } = this.options;
    return clock.isSynced || listPeers().length + 1 < MIN_CLOCKS ? 0 : OWN_CLOCK_ERROR_MS;
  }

  /** First window whose counts may still be needed. */
  get #firstWindow(): number {
    const { settings, clock } = this.options;
    const oldest = computeWindow(clock.timeMs - LATEST_REPORT_MS, settings.usageWindowMs);
    return Math.max(oldest, (this.#recorder.record?.highestWindow ?? 0) + 1);
  }

  /** Another VM is the holder: what has been read may change. */
  #pause(): void {
    if (this.#heldSinceMs === undefined) return;
    this.#heldSinceMs = undefined;
    this.#acceptedAtMs = undefined;
    this.#recorder.reset();
    this.#poller.reset();
  }

  /** Returns whether the store has answered as expected. */
  async #record(): Promise<boolean> {
    try {
      return await this.#recordReady();
    } catch (error) {
      const count = this.#logLimit.record('record');
      if (count !== undefined)
        this.options.logger.warn('usage reports were not recorded; the record is read again', {
          count,
          error,
        });
      return false;
    }
  }

  async #recordReady(): Promise<boolean> {
    const { clock, settings, holder, logger } = this.options;
    if (!clock.isSynced && this.#heldMs < settings.usageWindowMs) return true;
    const { highestWindow } = await this.#recorder.read();
    const windows = listReadyWindows({
      highestWindow,
      timeMs: clock.timeMs,
      windowMs: settings.usageWindowMs,
      isReady: (window) => this.#isReady(window),
    });
    if (windows.length === 0 || !holder.isHolder()) return true;
    const isRecorded = await this.#recorder.add(this.#poller.computeTotals(windows));
    if (!isRecorded)
      logger.info('record of usage reports has changed; it is read again', {
        inputs: { window: windows[0] },
      });
    return isRecorded;
  }

  #isReady(window: number): boolean {
    const { clock, settings } = this.options;
    const { usageWindowMs: windowMs, usageDueMs: dueMs } = settings;
    const endMs = computeWindowEndMs(window, windowMs);
    return isReportReady({
      sinceEndMs: clock.timeMs - this.#clockErrorMs - endMs,
      heldMs: this.#heldMs,
      windowMs,
      dueMs,
      hasAllCounts: () => this.#poller.hasAllCounts(endMs),
    });
  }

  /**
   * Sends what is recorded until a call fails. Reports with the fewest attempts come first, so that one that fails again and
   * again does not delay those that are not late yet. Returns whether no call has failed.
   */
  async #sendRecorded(): Promise<boolean> {
    const { clock, settings, holder } = this.options;
    this.#removeOldWindows();
    const due = [...this.#recorder.listReports()]
      .map(([window, counts]) => ({ window, counts, attempts: this.#attempts.get(window) ?? 0 }))
      .filter(({ attempts }) => Number.isFinite(attempts))
      .sort((a, b) => a.attempts - b.attempts || a.window - b.window);
    for (const { window, counts, attempts } of due) {
      if (!holder.isHolder()) return true;
      if (!isStillReported(window, clock.timeMs, settings.usageWindowMs)) continue;
      this.#attempts.set(window, attempts + 1);
      if (!(await this.#send({ window, counts }))) return false;
    }
    return true;
  }

  /** Sends a report. Returns whether the outcome is final. */
  async #send(report: UsageReport): Promise<boolean> {
    const { client, metrics, logger, getNowMs } = this.options;
    const outcome = await client.reportUsage(report);
    metrics.addCount(MetricName.UsageReports, { outcome });
    if (outcome === DutyOutcome.Accepted) this.#acceptedAtMs = getNowMs();
    if (outcome === DutyOutcome.Refused)
      logger.error('usage report was refused', { inputs: { window: report.window } });
    const isFinal = FINAL_OUTCOMES.has(outcome);
    if (isFinal) this.#attempts.set(report.window, Number.POSITIVE_INFINITY);
    return isFinal;
  }

  #removeOldWindows(): void {
    const { clock, settings } = this.options;
    for (const window of this.#attempts.keys())
      if (!isStillReported(window, clock.timeMs, settings.usageWindowMs))
        this.#attempts.delete(window);
  }
}

/**
 * Creates the reporter of usage. It does nothing while this VM is not the holder.
 *
 * @param options - the holder, the API, the store, the other VMs and the counts of this one
 * @returns the reporter, which has not been started
 */
export const createUsageReporter = (options: UsageReporterOptions): UsageReporter =>
  new Reporter(options);
