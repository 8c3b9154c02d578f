import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { createMetrics, Hop, startTracing } from '@sardinegrade/common';
import { createRequestJournal, DecisionKind } from '@sardinegrade/entry';

import type { Clock } from '@sardinegrade/common';

const WORKSPACES = 360;
const SERVICES = 16;
const CLASSES = 4;
const NS_PER_US = 1_000;
const BYTES_PER_MB = 1_048_576;

/** The cost of observing one request, and the memory that the recorded data uses. */
export interface ObservationCost {
  readonly requestUs: number;
  readonly renderMs: number;
  readonly renderedBytes: number;
  readonly heldMb: number;
  /** Requests that the journal still holds at the end. */
  readonly keptRequests: number;
  readonly keptTraces: number;
}

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

const readHeapBytes = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

const createObserver = (clock: Clock) => {
  const metrics = createMetrics(clock);
  const tracing = startTracing({ vm: 'vm-1', dataCentre: 'hobart' });
  const journal = createRequestJournal(clock);
  const observe = (number: number): void => {
    const requestId = `request-${number}`;
    const service = `service-${number % SERVICES}`;
    const className = `class-${number % CLASSES}`;
    const workspace = `workspace-${number % WORKSPACES}`;
    const entry = tracing.startSpan(Hop.Entry, { requestId });
    const traceId = entry.context.traceId;
    const trail = journal.start({ requestId, workspace, traceId });
    trail.setTarget({ service, className, tier: 'paying' });
    for (const hop of [Hop.GrantWait, Hop.Dispatch, Hop.UpstreamAttempt]) {
      const attributes = { upstream: 'engine-1' };
      tracing.startSpan(hop, { parent: entry.context, requestId, attributes }).finish();
      trail.record(DecisionKind.Granted, `Granted after ${number} ms.`, { upstream: 'engine-1' });
    }
    metrics.recordQueueWait(service, className, number % 500);
    metrics.recordAnswer({
      service,
      className,
      workspace,
      firstTokenMs: 100 + (number % 900),
      tokenIntervalMs: 20 + (number % 50),
      durationMs: 1_000 + (number % 9_000),
      tokens: 486,
      isAttained: true,
    });
    trail.finish();
    entry.finish();
  };
  return { metrics, tracing, journal, observe };
};

/**
 * Records spans, metrics and journal entries as a daemon does at the size expected in two years.
 *
 * @param requests - the number of requests to record
 * @returns the cost per request and in total
 */
export const measureObservation = (requests: number): ObservationCost => {
  const heapBefore = readHeapBytes();
  const { metrics, tracing, journal, observe } = createObserver({ getNowMs: () => Date.now() });
  const startedAtNs = process.hrtime.bigint();
  for (let number = 0; number < requests; number += 1) observe(number);
  const elapsedNs = Number(process.hrtime.bigint() - startedAtNs);
  const heldMb = (readHeapBytes() - heapBefore) / BYTES_PER_MB;
  // Reading the counts after the heap size keeps journal and traces reachable until then; otherwise
  // the garbage collector could free them before the measurement.
  const keptRequests = journal.list(requests).length;
  const keptTraces = tracing.recent.list(requests).length;
  const renderAtMs = performance.now();
  const text = metrics.renderPrometheus();
  return {
    requestUs: elapsedNs / requests / NS_PER_US,
    renderMs: performance.now() - renderAtMs,
    renderedBytes: Buffer.byteLength(text),
    heldMb,
    keptRequests,
    keptTraces,
  };
};
