import { FencingSupport } from '@sardinegrade/common';

import { createRouter, startHttpServer } from '../http/index.js';
import { LOAD_SAMPLE_INTERVAL_MS } from './constants.js';
import { Engine } from './Engine.js';
import { createEngineRoutes } from './engineRoutes.js';
import { ModelShelf } from './ModelShelf.js';
import { createWeightFetcher } from './weightFetcher.js';

import type { IncomingMessage } from 'node:http';
import type { StandIn } from '../http/index.js';
import type { EngineControl } from './schemas.js';
import type { EngineBehaviour, EngineCounts, EngineOptions } from './types.js';

/** An engine stand-in, whose faults a test in the same process can switch. */
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
 * Starts a stand-in of a model engine, as docs/UPSTREAMS.md describes it.
 *
 * @param options - its size and speed, where to listen, and the behaviour to begin with
 * @returns the stand-in once it listens
 */
export const startEngine = async (options: EngineOptions = {}): Promise<EngineStandIn> => {
  const stopCrashed = (): void => {
    if (options.onCrash !== undefined) options.onCrash();
    else void stop();
  };
  const engine = new Engine(options, stopCrashed);
  const shelf = new ModelShelf(
    options.models ?? [DEFAULT_MODEL],
    options.fencing ?? FencingSupport.Checked,
    createWeightFetcher(options.weightStore),
  );
  const handleControl = (control: EngineControl, request: IncomingMessage): void => {
    engine.setBehaviour(toBehaviour(control));
    if (control.mute === true) server.pauseConnections(request);
    if (control.crash === true) stopCrashed();
  };
  const router = createRouter(createEngineRoutes({ engine, shelf, handleControl }));
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
