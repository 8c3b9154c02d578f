import { explanationSchema, traceSchema } from '@sardinegrade/common';
import { request } from 'undici';

import { DemoSystem } from './DemoSystem.js';
import { sendDemoRequests } from './requests.js';
import { SAMPLE_KEYS } from './sample.js';

import type { ExplanationView, TraceView } from '@sardinegrade/common';
import type { DemoOptions } from './DemoSystem.js';
import type { DemoResult } from './requests.js';

/** Prints one line of output. */
export type PrintLine = (line: string) => void;

/** Options of a run of the demonstration. */
export interface RunDemoOptions extends DemoOptions {
  /** Whether the system keeps running after the requests until SIGINT or SIGTERM. */
  readonly shouldKeepRunning: boolean;
}

const readAdministration = async (system: DemoSystem, vm: number, path: string) => {
  const response = await request(`${system.getAdministrationAddress(vm)}${path}`, {
    headers: { authorization: `Bearer ${SAMPLE_KEYS.administrator}` },
  });
  return response.body.json();
};

const readExplanation = async (
  system: DemoSystem,
  vm: number,
  requestId: string,
): Promise<ExplanationView> =>
  explanationSchema.parse(await readAdministration(system, vm, `/v1/requests/${requestId}`));

const readTrace = async (system: DemoSystem, traceId: string): Promise<TraceView> =>
  traceSchema.parse(await readAdministration(system, 0, `/v1/traces/${traceId}`));

const printTrace = (trace: TraceView, print: PrintLine): void => {
  const startMs = Math.min(...trace.spans.map((span) => span.started_at_ms));
  print(`\nTrace ${trace.trace_id}`);
  for (const span of trace.spans) {
    const at = (span.started_at_ms - startMs).toFixed(1).padStart(7);
    const duration = span.duration_ms.toFixed(1).padStart(7);
    const target = span.attributes.upstream ?? '';
    print(`  +${at} ms ${duration} ms  ${span.vm}  ${span.name} ${String(target)}`);
  }
};

const printResult = (result: DemoResult, upstream: string, print: PrintLine): void => {
  const outcome = result.isComplete ? 'whole' : `failed with code ${result.code}`;
  const detail = result.tokens > 0 ? `${result.tokens} tokens from ${upstream}` : result.text;
  print(`${result.name}: HTTP ${result.status}, ${outcome}, ${detail}`);
};

const printCurlCommands = (system: DemoSystem, print: PrintLine): void => {
  const callers = system.getCallersAddress(0);
  const administration = system.vms.map((_vm, index) => system.getAdministrationAddress(index));
  const engine = `${system.engines[0]?.address ?? ''}/control`;
  const chat =
    '{"model":"drill-7b","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Hello"}]}';
  print(`\nThe system stays up; Ctrl+C ends it. Keys: ${JSON.stringify(SAMPLE_KEYS)}`);
  print(
    `curl -N ${callers}/v1/chat/completions -H 'Authorization: Bearer ${SAMPLE_KEYS.counter}' -H 'Content-Type: application/json' -d '${chat}'`,
  );
  print(
    `curl -i -X POST ${callers}/services/booking/bits -H 'Authorization: Bearer ${SAMPLE_KEYS.counter}' -H 'Idempotency-Key: bit-1' -d '{}'`,
  );
  print(`export SARDINEGRADE_ADDRESS=${administration.join(',')}`);
  print(`export SARDINEGRADE_KEY=${SAMPLE_KEYS.administrator}`);
  print('npx sardinegrade status          # then: upstreams, show, apply FILE, explain REQUEST-ID');
  print(`curl -X POST ${engine} -d '{"mute": true}'   # an engine falls silent`);
};

const waitForInterrupt = (): Promise<void> =>
  new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });

/**
 * Runs the demonstration: starts a complete small system, sends four requests and prints their results.
 *
 * @param options - port, log level, and whether to keep running
 * @param print - called with each line of output; the last line is a JSON object
 * @returns whether all requests succeeded and the repeated booking was executed only once
 */
export const runDemo = async (options: RunDemoOptions, print: PrintLine): Promise<boolean> => {
  const system = await DemoSystem.start(options);
  try {
    const results = await sendDemoRequests(system);
    const query = await readExplanation(system, 0, results[0]?.requestId ?? '');
    const history = await readExplanation(system, 1, results[1]?.requestId ?? '');
    const upstreams = [findUpstream(query), findUpstream(history)];
    for (const [index, result] of results.entries()) {
      printResult(result, upstreams[index] ?? '', print);
    }
    if (query.trace_id !== undefined) printTrace(await readTrace(system, query.trace_id), print);
    const bookings = system.service.getCounts().executions;
    const ok = bookings === 1 && results.every(({ isComplete: isWhole }) => isWhole);
    if (options.shouldKeepRunning) {
      printCurlCommands(system, print);
      await waitForInterrupt();
    }
    print(JSON.stringify(buildSummary(ok, results, upstreams, bookings)));
    return ok;
  } finally {
    await system.stop();
  }
};

const findUpstream = (explanation: ExplanationView): string =>
  explanation.decisions.find(({ upstream }) => upstream !== undefined)?.upstream ?? '';

const buildSummary = (
  ok: boolean,
  results: readonly DemoResult[],
  upstreams: readonly string[],
  bookings: number,
): object => ({
  ok,
  requests: results.map(({ name, status, code, tokens }, index) => ({
    name,
    status,
    code,
    engine: upstreams[index] ?? null,
    tokens,
  })),
  bookings_carried_out: bookings,
});
