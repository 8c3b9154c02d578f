import { updateAverage } from '../collections/index.js';

import type { LoadReport } from '../types.js';
import type { EngineState } from './types.js';

/** How long the external load from a report is used. */
const EXTERNAL_LOAD_LIFETIME_MS = 5_000;

/** The token interval of a report is used only if the dispatcher's own samples are older than this. */
const LOCAL_SAMPLE_LIFETIME_MS = 5_000;

const REPORT_SAMPLE_WEIGHT = 0.2;

/**
 * Updates an engine from its own load report. The report is compared with the dispatcher's grants at the time when
 * it was made: any load above them comes from other clients. A report never reduces the number of counted grants.
 *
 * @param engine - the engine, modified in place
 * @param report - the engine's load report, which may be delayed
 * @param nowMs - current time, in milliseconds
 * @returns whether the report was newer than the last one; an older one is ignored
 */
export const applyLoadReport = (
  engine: EngineState,
  report: LoadReport,
  nowMs: number,
): boolean => {
  if (report.atMs <= engine.reportAtMs) return false;
  engine.reportAtMs = report.atMs;
  engine.cacheUse = report.cacheUse;
  const grantCount = engine.grantCounts.findMaxCount(Math.min(report.atMs, nowMs));
  const externalLoad = Math.max(0, report.running + report.queued - grantCount);
  engine.externalLoad = Math.min(externalLoad, Math.max(0, engine.slots - 1));
  engine.externalLoadExpiresAtMs = nowMs + EXTERNAL_LOAD_LIFETIME_MS;
  const { tokenIntervalMs } = engine;
  const hasStaleSamples = nowMs - tokenIntervalMs.updatedAtMs > LOCAL_SAMPLE_LIFETIME_MS;
  if (hasStaleSamples && report.running > 0 && report.tokenIntervalMs > 0)
    updateAverage(tokenIntervalMs, report.tokenIntervalMs, nowMs, REPORT_SAMPLE_WEIGHT);
  return true;
};
