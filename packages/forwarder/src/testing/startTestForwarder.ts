import { request as sendHttp } from 'node:http';

import { createLogger, LogFormat, LogLevel, toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';
import { RouteKind } from '@sardinegrade/routing';

import { ForwarderState } from '../ForwarderState.js';
import { FrontServer } from '../front/index.js';
import { TestWorker } from './TestWorker.js';
import { TEST_PROTOCOL } from './testProtocol.js';

import type { Route, RoutingConfiguration } from '@sardinegrade/routing';
import type { IncomingHttpHeaders, RequestOptions } from 'node:http';
import type { TestContext } from 'node:test';
import type { WorkerScript } from './TestWorker.js';

/** The answer that a caller received. */
export interface TestAnswer {
  /** 0 if the connection ended before an answer. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer is complete. */
  readonly isComplete: boolean;
}

/** A forwarder with scripted workers. */
export interface TestForwarder {
  readonly state: ForwarderState;
  readonly workers: readonly TestWorker[];
  /** Log lines of the forwarder, as JSON. */
  readonly logLines: readonly string[];
  /** Lists the log lines of requests without a whole answer, and of the failed sends. */
  readonly listUnanswered: () => readonly string[];
  readonly port: number;
  /** Stops listening and closes idle connections, as a draining VM does. */
  readonly close: () => void;
  /** Gives a final answer to all requests, as a VM does before it exits. */
  readonly settleAll: () => void;
  /** Counts the requests without a final answer. */
  readonly countOpen: () => number;
  /** Sends a request to the route with this name and waits for the end of the answer. */
  readonly call: (
    route: string,
    headers?: Readonly<Record<string, string>>,
    body?: string,
  ) => Promise<TestAnswer>;
  /** Sends a request and closes the connection once the condition holds after a chunk of the answer. */
  readonly callUntil: (route: string, body: string, isEnough: () => boolean) => Promise<void>;
}

const SEED = 7;

/** Number of VMs that share the retry budgets, of which each then has several retries. */
const TEST_VM_COUNT = 100;

/** Log lines that tell why a request has no whole answer. */
const UNANSWERED = /request ended without a whole answer|send failed|refused at arrival/;

const ROUTE: Omit<Route, 'name' | 'pathPrefix' | 'kind'> = {
  host: 'desk.example',
  timeoutMs: 2_000,
  targetMs: 100,
  priority: 1,
  maxRuns: 2,
  isPublic: true,
  isResumable: false,
  eventGapMs: 200,
  shares: [{ service: toBranded('desk'), weight: 1 }],
};

const buildRoute = (name: string, part: Partial<Route>): Route => ({
  ...ROUTE,
  name: toBranded(name),
  pathPrefix: `/${name}/`,
  kind: RouteKind.Safe,
  ...part,
});

/** Routes of each kind: `safe`, `unsafe`, `stream` and `resumable`. */
const ROUTES: readonly Route[] = [
  buildRoute('safe', {}),
  buildRoute('unsafe', { kind: RouteKind.Unsafe, maxRuns: 1 }),
  buildRoute('stream', { kind: RouteKind.Streaming, maxRuns: 1 }),
  buildRoute('resumable', { kind: RouteKind.Streaming, isResumable: true }),
];

/**
 * Builds a configuration with one service.
 *
 * @param part - members that differ from the default
 * @returns the configuration
 */
export const buildTestConfiguration = (
  part: Partial<RoutingConfiguration> = {},
): RoutingConfiguration => ({
  version: 1,
  routes: ROUTES,
  services: new Map([
    [toBranded('desk'), { name: toBranded('desk'), connectionLimit: 100, engine: undefined }],
  ]),
  limits: { headerBytes: 16_384, bodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  keyHolders: undefined,
  ...part,
});

const buildOptions = (
  port: number,
  route: string,
  method: string,
  headers: Readonly<Record<string, string>> = {},
): RequestOptions => ({
  port,
  host: '127.0.0.1',
  path: `/${route}/x`,
  method,
  headers: { host: 'desk.example', 'request-id': 'r1', 'deadline-ms': '1900', ...headers },
  agent: false,
});

const callUntil = (
  port: number,
  route: string,
  body: string,
  isEnough: () => boolean,
): Promise<void> =>
  new Promise((resolve) => {
    const request = sendHttp(buildOptions(port, route, 'POST'), (response) => {
      response.on('data', () => {
        if (isEnough()) request.destroy();
      });
      response.on('error', () => undefined);
    });
    request.on('error', () => undefined);
    request.on('close', resolve);
    request.end(body);
  });

const callForwarder = (
  port: number,
  route: string,
  headers: Readonly<Record<string, string>>,
  body: string | undefined,
): Promise<TestAnswer> =>
  new Promise((resolve) => {
    const request = sendHttp(
      buildOptions(port, route, body === undefined ? 'GET' : 'POST', headers),
      (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: text,
            isComplete: response.complete,
          }),
        );
      },
    );
    request.on('error', () => resolve({ status: 0, headers: {}, body: '', isComplete: false }));
    request.end(body);
  });

/** Scripted workers and the configuration of a test forwarder. */
export interface TestForwarderOptions {
  readonly workers: readonly TestWorker[];
  readonly configuration: RoutingConfiguration;
  /** Builds of the workers, `v1` for those that are missing. */
  readonly builds?: readonly string[];
}

/**
 * Starts a forwarder in this process in front of running workers.
 *
 * @param context - the test; the forwarder is closed when it ends
 * @param options - workers, registered as `w0`, `w1` and so on, and the active configuration
 * @returns the running forwarder
 */
export const startForwarder = async (
  context: TestContext,
  { workers, configuration, builds = [] }: TestForwarderOptions,
): Promise<TestForwarder> => {
  const logLines: string[] = [];
  const logger = createLogger({
    level: LogLevel.Info,
    format: LogFormat.Json,
    output: { write: (line) => logLines.push(line) },
  });
  const state = new ForwarderState({
    protocol: TEST_PROTOCOL,
    dataCentre: toBranded('dc'),
    retries: { share: 0.2, slack: 1_000, windowMs: 10_000 },
    logger,
    random: createRandomSource(SEED),
    getNowMs: () => performance.now(),
  });
  for (const [index, worker] of workers.entries()) {
    state.fleet.directory.set({
      id: toBranded(`w${index}`),
      service: toBranded('desk'),
      address: worker.address,
      dataCentre: toBranded('dc'),
      build: toBranded(builds[index] ?? 'v1'),
      slots: 6,
      isLeaving: false,
      startedAtMs: 1,
      sequence: 1,
    });
  }
  state.setVmCount(TEST_VM_COUNT);
  state.apply(configuration);
  const front = new FrontServer(state);
  const port = await front.listen({ host: '127.0.0.1', port: 0 });
  context.after(() => front.close());
  return {
    state,
    workers,
    logLines,
    listUnanswered: () => logLines.filter((line) => UNANSWERED.test(line)),
    port,
    close: () => front.close(),
    settleAll: () => front.settleAll(),
    countOpen: () => front.openExchanges,
    call: (route, headers = {}, body) => callForwarder(port, route, headers, body),
    callUntil: (route, body, isEnough) => callUntil(port, route, body, isEnough),
  };
};

/**
 * Starts one worker for each script.
 *
 * @param context - the test; the workers are closed when it ends
 * @param scripts - script of each worker
 * @returns the listening workers
 */
export const startTestWorkers = async (
  context: TestContext,
  scripts: readonly WorkerScript[],
): Promise<readonly TestWorker[]> => {
  const workers = scripts.map((script) => new TestWorker(script));
  await Promise.all(workers.map((worker) => worker.listen()));
  context.after(() => {
    for (const worker of workers) worker.close();
  });
  return workers;
};

/**
 * Starts a forwarder in this process with one worker for each script.
 *
 * @param context - the test; forwarder and workers are closed when it ends
 * @param scripts - script of each worker
 * @param configuration - the active configuration
 * @returns the running forwarder
 */
export const startTestForwarder = async (
  context: TestContext,
  scripts: readonly WorkerScript[],
  configuration = buildTestConfiguration(),
  builds: readonly string[] = [],
): Promise<TestForwarder> =>
  startForwarder(context, {
    workers: await startTestWorkers(context, scripts),
    configuration,
    builds,
  });
