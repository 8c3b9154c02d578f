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
import { serveUntilSignal, abortProcess } from '../process.js';

import type { LabCommand } from '../types.js';

const LISTEN_OPTION = {
  schema: OPTION_SCHEMAS.text,
  description: 'host:port to listen on (default 127.0.0.1:0, a free port)',
} as const;

const PLATFORM_OPTIONS = {
  listen: LISTEN_OPTION,
  delayMs: { schema: OPTION_SCHEMAS.number, description: 'delay of every call' },
  loseAnswers: {
    schema: OPTION_SCHEMAS.fraction,
    description: 'fraction of writes whose response is lost',
  },
  writesPerSecond: { schema: OPTION_SCHEMAS.number, description: 'rate of writes (500)' },
  readsPerSecond: { schema: OPTION_SCHEMAS.number, description: 'rate of reads (2000)' },
} as const;

const platform: LabCommand = {
  name: 'platform',
  description: "Serve the platform's object API from memory",
  options: PLATFORM_OPTIONS,
  run: async (flags) => {
    const { listen, ...behaviour } = readOptions('platform', PLATFORM_OPTIONS, flags);
    serveUntilSignal(await startPlatform({ ...(listen !== undefined && { listen }), behaviour }));
  },
};

const ENGINE_OPTIONS = {
  listen: LISTEN_OPTION,
  models: { schema: OPTION_SCHEMAS.list, description: 'loaded models, separated by commas' },
  slots: { schema: OPTION_SCHEMAS.count, description: 'requests run concurrently (8)' },
  queueLimit: {
    schema: OPTION_SCHEMAS.count,
    description: 'requests that may be queued (4 per slot)',
  },
  tokenIntervalMs: {
    schema: OPTION_SCHEMAS.number,
    description: 'token interval of a single request (20)',
  },
  batchSlope: {
    schema: OPTION_SCHEMAS.number,
    description: 'relative growth of it per further request (0.02)',
  },
  prefillTokensPerSecond: { schema: OPTION_SCHEMAS.number, description: 'prefill rate (20000)' },
  cacheBlocks: { schema: OPTION_SCHEMAS.count, description: 'capacity of the prefix cache (2048)' },
  fencing: { schema: z.enum(FencingSupport), description: 'checked or ignored (checked)' },
  weightStore: { schema: OPTION_SCHEMAS.text, description: 'address of a weight store' },
  slowdown: { schema: OPTION_SCHEMAS.number, description: 'factor on the token interval (1)' },
  loadLagMs: { schema: OPTION_SCHEMAS.number, description: 'lag of load reports (0)' },
  cacheEventLagMs: { schema: OPTION_SCHEMAS.number, description: 'lag of cache events (0)' },
  cacheEventLoss: {
    schema: OPTION_SCHEMAS.fraction,
    description: 'fraction of cache events lost (0)',
  },
  crashMarker: {
    schema: OPTION_SCHEMAS.text,
    description: 'text in a request body that crashes the engine',
  },
} as const;

const engine: LabCommand = {
  name: 'engine',
  description: 'Serve a simulated model engine',
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
    serveUntilSignal(await startEngine({ ...rest, behaviour, onCrash: abortProcess }));
  },
};

const SERVICE_OPTIONS = {
  listen: LISTEN_OPTION,
  waitMs: { schema: OPTION_SCHEMAS.number, description: 'delay before an execution (0)' },
  answerDelayMs: { schema: OPTION_SCHEMAS.number, description: 'delay after an execution (0)' },
  loseAnswers: { schema: OPTION_SCHEMAS.fraction, description: 'fraction of responses lost (0)' },
  refuse: { schema: OPTION_SCHEMAS.fraction, description: 'fraction of calls refused (0)' },
  crash: { schema: z.enum(CrashPoint), description: 'crash never, before or after an execution' },
  deduplicates: {
    schema: OPTION_SCHEMAS.flag,
    description: 'whether repeated keys are deduplicated (false)',
  },
  hasStatus: {
    schema: OPTION_SCHEMAS.flag,
    description: 'whether the status lookup is available (true)',
  },
} as const;

const service: LabCommand = {
  name: 'service',
  description: 'Serve a plain service that counts its executions',
  options: SERVICE_OPTIONS,
  run: async (flags) => {
    const { listen, ...behaviour } = readOptions('service', SERVICE_OPTIONS, flags);
    const listenOptions = listen === undefined ? {} : { listen };
    serveUntilSignal(await startService({ ...listenOptions, behaviour, onCrash: abortProcess }));
  },
};

const WEIGHTS_OPTIONS = {
  listen: LISTEN_OPTION,
  modelMegabytes: { schema: OPTION_SCHEMAS.number, description: "size of a model's weights (100)" },
  megabytesPerSecond: { schema: OPTION_SCHEMAS.number, description: 'rate of transfers (1000)' },
  transferLimit: { schema: OPTION_SCHEMAS.count, description: 'concurrent transfers (2)' },
} as const;

const weights: LabCommand = {
  name: 'weights',
  description: 'Serve a rate-limited weight store',
  options: WEIGHTS_OPTIONS,
  run: async (flags) =>
    serveUntilSignal(await startWeightStore(readOptions('weights', WEIGHTS_OPTIONS, flags))),
};

/** The subcommands that each run one stand-in. */
export const STAND_IN_COMMANDS: readonly LabCommand[] = [platform, engine, service, weights];
