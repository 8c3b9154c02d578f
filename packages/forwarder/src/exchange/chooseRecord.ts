import { chooseEngine, chooseWorker, PromptLane } from '@sardinegrade/routing';

import type { UpstreamId } from '@sardinegrade/common';
import type { PromptShape, RoutedService } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { WorkerRecord } from '../workers/index.js';

/** Targets for the first event up to this count as tight, in milliseconds: a long prompt takes as long to read. */
const TIGHT_TARGET_MS = 400;

/** What a choice of worker depends on. */
export interface ChoiceContext {
  readonly state: ForwarderState;
  readonly service: RoutedService;
  readonly prompt: PromptShape | undefined;
  /** Target of the route for the first event, in milliseconds. */
  readonly targetMs: number;
  /** Workers that this request was sent to already. */
  readonly tried: ReadonlySet<UpstreamId>;
  readonly nowMs: number;
}

/**
 * Chooses a worker from what this VM believes.
 *
 * @param context - the request and the state
 * @returns the worker's record, or undefined where none may be used
 */
export const chooseRecord = (context: ChoiceContext): WorkerRecord | undefined => {
  const { state, service, prompt, targetMs, tried, nowMs } = context;
  const { fleet, options } = state;
  const usable = fleet.directory.listUsable(service.name, nowMs);
  const fresh = usable.filter((worker) => !tried.has(worker.id));
  const records = (fresh.length > 0 ? fresh : usable).map((worker) =>
    fleet.getRecord(worker, service.engine?.cacheTokens),
  );
  const chosen =
    prompt === undefined || service.engine === undefined
      ? chooseWorker(
          records.map(({ worker, pool, health }) => ({
            id: worker.id,
            runs: pool.busyCount,
            isNear: worker.dataCentre === options.dataCentre,
            isAside: health.isAside(nowMs),
            failureShare: health.failureShare,
          })),
          options.random,
        )
      : chooseEngine(
          prompt,
          records.map(({ worker, account, health }) => {
            const others = state.sharedLoad.measure(worker.id, nowMs);
            return {
              id: worker.id,
              backlogTokens: account.estimateBacklogTokens(nowMs) + others.unreadTokens,
              heldTokens: account.memory.countHeld(prompt.parts),
              runs: account.runCount + others.runs,
              isAside: health.isAside(nowMs),
            };
          }),
          targetMs <= TIGHT_TARGET_MS ? PromptLane.Tight : PromptLane.Bulk,
        )?.id;
  return records.find((record) => record.worker.id === chosen);
};
