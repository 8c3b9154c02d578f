import { FencingSupport } from '@sardinegrade/common';

import { createRouter, startHttpServer } from '../http/index.js';
import { LOAD_SAMPLE_INTERVAL_MS } from './constants.js';
import { Engine } from './Engine.js';
import { createEngineRoutes } from './engineRoutes.js';
import { ModelManager } from './ModelManager.js';
import { createWeightFetcher } from './weightFetcher.js';

import type { IncomingMessage } from 'node:http';
import type { StandIn } from '../http/index.js';
import type { EngineControl } from './schemas.js';
import type { EngineBehaviour, EngineCounts, EngineOptions } from './types.js';

/** An engine stand-in. Tests in the same process set its faults through `setBehaviour`. */
export interface EngineStandIn extends StandIn {
  readonly setBehaviour: (behaviour: Partial<EngineBehaviour>) => void;
  readonly getCounts: () => Readonly<EngineCounts>;
}

const DEFAULT_MODEL = 'drill-7b';

const toBehaviour = (control: EngineControl): Partial<EngineBehaviour> => ({
  ...(control.slowdown !== undefined && { slowdown: control.slowdown }),
  ...(control.leaving !== undefined && { isLeaving: control.leaving }),
  ...(control.load_lag_ms !== undefined && { loadLagMs: control.load_lag_ms }),
  ...(control.cache_event_lag_ms !== undefined && { cacheEventLagMs: control.cache_event_lag_ms }),
  ...(control.cache_event_loss !== undefined && { cacheEventLoss: control.cache_event_loss }),
  ...(control.crash_marker !== undefined && { crashMarker: control.crash_marker }),
  ...(control.wrong_attempt_id !== undefined && { hasWrongAttemptId: control.wrong_attempt_id }),
});

/**
 * Starts a stand-in for a model engine, whose protocol is described in docs/UPSTREAMS.md.
 *
 * @param options - listen address, capacity, speed and initial behaviour
 * @returns the stand-in, once it is listening
 */
export const startEngine = async (options: EngineOptions = {}): Promise<EngineStandIn> => {
  const handleCrash = (): void => {
    if (options.onCrash !== undefined) options.onCrash();
    else void stop();
  };
  const engine = new Engine(options, handleCrash);
  const models = new ModelManager(
    options.models ?? [DEFAULT_MODEL],
    options.fencing ?? FencingSupport.Checked,
    createWeightFetcher(options.weightStore),
  );
  const handleControl = (control: EngineControl, request: IncomingMessage): void => {
    engine.setBehaviour(toBehaviour(control));
    if (control.mute === true) server.pauseConnections(request);
    if (control.crash === true) handleCrash();
  };
  const router = createRouter(createEngineRoutes({ engine, models, handleControl }));
  const server = await startHttpServer(options.listen ?? '127.0.0.1:0', router);
  const sampler = setInterval(() => engine.recordLoad(), LOAD_SAMPLE_INTERVAL_MS);
  const stop = async (): Promise<void> => {
    clearInterval(sampler);
    engine.stop();
    await server.stop();
  };
  return {
    address: server.address,
    stop,
    setBehaviour: (behaviour) => engine.setBehaviour(behaviour),
    getCounts: () => ({ ...engine.counts }),
  };
};
