import { FencingSupport } from '@sardinegrade/common';
import { z } from 'zod';

import {
  CrashPoint,
  startEngine,
  startPlatform,
  startService,
  startWeightStore,
} from '../../standins/index.js';
import { OPTION_SCHEMAS, readOptions } from '../options.js';
import { keepRunning, stopCrashed } from '../process.js';

import type { LabCommand } from '../types.js';

const LISTEN = {
  schema: OPTION_SCHEMAS.text,
  description: 'host:port to listen at (default 127.0.0.1:0, a port from the system)',
} as const;

const PLATFORM_OPTIONS = {
  listen: LISTEN,
  delayMs: { schema: OPTION_SCHEMAS.number, description: 'delay of every call' },
  loseAnswers: { schema: OPTION_SCHEMAS.part, description: 'part of writes with a lost answer' },
  writesPerSecond: { schema: OPTION_SCHEMAS.number, description: 'rate of writes (500)' },
  readsPerSecond: { schema: OPTION_SCHEMAS.number, description: 'rate of reads (2000)' },
} as const;

const platform: LabCommand = {
  name: 'platform',
  description: "Serve the platform's object API from memory",
  options: PLATFORM_OPTIONS,
  run: async (flags) => {
    const { listen, ...behaviour } = readOptions('platform', PLATFORM_OPTIONS, flags);
    keepRunning(await startPlatform({ ...(listen !== undefined && { listen }), behaviour }));
  },
};

const ENGINE_OPTIONS = {
  listen: LISTEN,
  models: { schema: OPTION_SCHEMAS.list, description: 'loaded models, separated by commas' },
  slots: { schema: OPTION_SCHEMAS.count, description: 'requests run side by side (8)' },
  queueLimit: { schema: OPTION_SCHEMAS.count, description: 'requests that may wait (4 a slot)' },
  tokenIntervalMs: { schema: OPTION_SCHEMAS.number, description: 'between tokens, alone (20)' },
  batchSlope: { schema: OPTION_SCHEMAS.number, description: 'growth of it by request (0.02)' },
  prefillTokensPerSecond: { schema: OPTION_SCHEMAS.number, description: 'prompt rate (20000)' },
  cacheBlocks: { schema: OPTION_SCHEMAS.count, description: 'prefix blocks kept (2048)' },
  fencing: { schema: z.enum(FencingSupport), description: 'checked or ignored (checked)' },
  weightStore: { schema: OPTION_SCHEMAS.text, description: 'address of a weight store' },
  slowdown: { schema: OPTION_SCHEMAS.number, description: 'factor on the token interval (1)' },
  loadLagMs: { schema: OPTION_SCHEMAS.number, description: 'lag of load reports (0)' },
  cacheEventLagMs: { schema: OPTION_SCHEMAS.number, description: 'lag of cache events (0)' },
  cacheEventLoss: { schema: OPTION_SCHEMAS.part, description: 'part of cache events lost (0)' },
  crashMarker: { schema: OPTION_SCHEMAS.text, description: 'text in a body that crashes it' },
} as const;

const engine: LabCommand = {
  name: 'engine',
  description: 'Serve a model engine that makes up its answers',
  options: ENGINE_OPTIONS,
  run: async (flags) => {
    const options = readOptions('engine', ENGINE_OPTIONS, flags);
    const { slowdown, loadLagMs, cacheEventLagMs, cacheEventLoss, crashMarker, ...rest } = options;
    const behaviour = {
      ...(slowdown !== undefined && { slowdown }),
      ...(loadLagMs !== undefined && { loadLagMs }),
      ...(cacheEventLagMs !== undefined && { cacheEventLagMs }),
      ...(cacheEventLoss !== undefined && { cacheEventLoss }),
      ...(crashMarker !== undefined && { crashMarker }),
    };
    keepRunning(await startEngine({ ...rest, behaviour, onCrash: stopCrashed }));
  },
};

const SERVICE_OPTIONS = {
  listen: LISTEN,
  waitMs: { schema: OPTION_SCHEMAS.number, description: 'wait before an execution (0)' },
  answerDelayMs: { schema: OPTION_SCHEMAS.number, description: 'wait after an execution (0)' },
  loseAnswers: { schema: OPTION_SCHEMAS.part, description: 'part of answers lost (0)' },
  refuse: { schema: OPTION_SCHEMAS.part, description: 'part of calls refused (0)' },
  crash: { schema: z.enum(CrashPoint), description: 'never, before or after an execution' },
  deduplicates: { schema: OPTION_SCHEMAS.flag, description: 'true or false (false)' },
  hasStatus: { schema: OPTION_SCHEMAS.flag, description: 'whether the look-up answers (true)' },
} as const;

const service: LabCommand = {
  name: 'service',
  description: 'Serve a plain service that counts its executions',
  options: SERVICE_OPTIONS,
  run: async (flags) => {
    const { listen, ...behaviour } = readOptions('service', SERVICE_OPTIONS, flags);
    const place = listen === undefined ? {} : { listen };
    keepRunning(await startService({ ...place, behaviour, onCrash: stopCrashed }));
  },
};

const WEIGHTS_OPTIONS = {
  listen: LISTEN,
  modelMegabytes: { schema: OPTION_SCHEMAS.number, description: "size of a model's weights (100)" },
  megabytesPerSecond: { schema: OPTION_SCHEMAS.number, description: 'rate of transfers (1000)' },
  transferLimit: { schema: OPTION_SCHEMAS.count, description: 'transfers at once (2)' },
} as const;

const weights: LabCommand = {
  name: 'weights',
  description: 'Serve a rate-limited weight store',
  options: WEIGHTS_OPTIONS,
  run: async (flags) =>
    keepRunning(await startWeightStore(readOptions('weights', WEIGHTS_OPTIONS, flags))),
};

/** The subcommands that serve one stand-in each. */
export const STAND_IN_COMMANDS: readonly LabCommand[] = [platform, engine, service, weights];
