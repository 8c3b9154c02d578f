import { updateAverage } from '../collections/index.js';

import type { LoadReport } from '../types.js';
import type { EngineState } from './types.js';

/** How long a report's picture of foreign load is believed. */
const EXTERNAL_LIFETIME_MS = 5_000;

/** A report's token interval counts only where the dispatcher's own samples are older than this. */
const OWN_SAMPLE_LIFETIME_MS = 5_000;

const REPORT_WEIGHT = 0.2;

/**
 * Corrects an engine's account by its own report. The report is compared with the dispatcher's grants at the
 * time when it was made: what it shows above them is the work of others. It never lowers the account.
 *
 * @param engine - the engine, changed in place
 * @param report - the engine's report, which lags
 * @param nowMs - the present
 * @returns whether the report was newer than the last one
 */
export const applyLoadReport = (
  engine: EngineState,
  report: LoadReport,
  nowMs: number,
): boolean => {
  if (report.atMs <= engine.reportAtMs) return false;
  engine.reportAtMs = report.atMs;
  engine.cacheUse = report.cacheUse;
  const own = engine.ownCounts.findMost(Math.min(report.atMs, nowMs));
  const foreign = Math.max(0, report.running + report.queued - own);
  engine.externalLoad = Math.min(foreign, Math.max(0, engine.slots - 1));
  engine.externalUntilMs = nowMs + EXTERNAL_LIFETIME_MS;
  const { tokenIntervalMs } = engine;
  const isOwnOld = nowMs - tokenIntervalMs.updatedAtMs > OWN_SAMPLE_LIFETIME_MS;
  if (isOwnOld && report.running > 0 && report.tokenIntervalMs > 0)
    updateAverage(tokenIntervalMs, report.tokenIntervalMs, nowMs, REPORT_WEIGHT);
  return true;
};
