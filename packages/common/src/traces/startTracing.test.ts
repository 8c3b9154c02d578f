import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { test } from 'node:test';

import fc from 'fast-check';

import { ResultCode } from '../errors/index.js';
import { Hop } from './enums.js';
import { startTracing } from './startTracing.js';
import { formatTraceparent, parseTraceparent } from './traceparent.js';

import type { AddressInfo } from 'node:net';

const HEX_DIGITS = Array.from({ length: 16 }, (_, digit) => digit.toString(16));

const IDENTITY = { vm: 'vm-1', dataCentre: 'hobart' };

interface OtlpAttribute {
  readonly key: string;
  readonly value: { readonly stringValue?: string; readonly intValue?: number };
}

interface OtlpSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
  readonly attributes: readonly OtlpAttribute[];
}

interface OtlpBody {
  readonly resourceSpans: readonly {
    readonly resource: { readonly attributes: readonly OtlpAttribute[] };
    readonly scopeSpans: readonly { readonly spans: readonly OtlpSpan[] }[];
  }[];
}

/** Starts an OTLP collector that records the request bodies it receives. */
const startCollector = async (status: number) => {
  const bodies: OtlpBody[] = [];
  const paths: string[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      paths.push(request.url ?? '');
      bodies.push(JSON.parse(Buffer.concat(chunks).toString()) as OtlpBody);
      response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const listSpans = () =>
    bodies.flatMap((body) =>
      body.resourceSpans.flatMap((r) => r.scopeSpans.flatMap((s) => s.spans)),
    );
  return { address, bodies, paths, listSpans, close: () => server.close() };
};

test('spans of two daemons form one trace at the collector', async () => {
  const collector = await startCollector(200);
  const options = { ...IDENTITY, otlpAddress: collector.address };
  const asker = startTracing(options);
  const dispatcher = startTracing({ ...options, vm: 'vm-2' });
  const entry = asker.startSpan(Hop.Entry, { requestId: 'r1' });
  const parent = parseTraceparent(entry.traceparent);
  dispatcher.startSpan(Hop.Dispatch, { parent, attributes: { queue: 3 } }).finish();
  entry.finish({ code: ResultCode.Overloaded });
  await asker.flush();
  await dispatcher.flush();

  const spans = collector.listSpans();
  assert.deepEqual(collector.paths, ['/v1/traces', '/v1/traces']);
  assert.deepEqual(spans.map((span) => span.name).sort(), ['dispatch', 'entry']);
  assert.equal(new Set(spans.map((span) => span.traceId)).size, 1);
  const dispatch = spans.find((span) => span.name === 'dispatch');
  assert.equal(dispatch?.parentSpanId, entry.context.spanId);
  const code = spans
    .find((span) => span.name === 'entry')
    ?.attributes.find((attribute) => attribute.key === 'result.code');
  assert.equal(code?.value.intValue, ResultCode.Overloaded);
  const resource = collector.bodies[0]?.resourceSpans[0]?.resource.attributes ?? [];
  assert.ok(
    resource.some((a) => a.key === 'service.instance.id' && a.value.stringValue === 'vm-1'),
  );
  await asker.stop();
  await dispatcher.stop();
  collector.close();
});

test('a failed export is reported and does not throw', async () => {
  const collector = await startCollector(400);
  const errors: unknown[] = [];
  const tracing = startTracing({
    ...IDENTITY,
    otlpAddress: collector.address,
    onExportError: (error) => errors.push(error),
  });
  tracing.startSpan(Hop.Entry).finish();
  await tracing.flush();
  assert.equal(errors.length, 1);
  await tracing.stop();
  collector.close();
});

test('recent traces are found by request id, and their number is limited', () => {
  const tracing = startTracing({ ...IDENTITY, recentTraceLimit: 3 });
  for (let number = 1; number <= 5; number += 1) {
    const entry = tracing.startSpan(Hop.Entry, { requestId: `r${number}` });
    tracing.startSpan(Hop.UpstreamAttempt, { parent: entry.context }).finish();
    entry.addEvent('first_token');
    entry.finish();
  }
  assert.equal(tracing.recent.list(10).length, 3);
  assert.equal(tracing.recent.findByRequest('r1'), undefined);
  const spans = tracing.recent.findByRequest('r5')?.spans ?? [];
  assert.deepEqual(spans.map((span) => span.name).sort(), ['entry', 'upstream_attempt']);
  const entry = spans.find((span) => span.name === 'entry');
  assert.deepEqual(
    entry?.events.map((event) => event.name),
    ['first_token'],
  );
});

test('traceparent survives a round trip, and malformed headers are rejected', () => {
  const makeHex = (length: number) =>
    fc
      .string({
        unit: fc.constantFrom(...HEX_DIGITS),
        minLength: length,
        maxLength: length,
      })
      .filter((digits) => /[1-9a-f]/.test(digits));
  const context = fc.record(
    { traceId: makeHex(32), spanId: makeHex(16), isSampled: fc.boolean() },
    { noNullPrototype: true },
  );
  const roundTrip = fc.property(context, (value) => {
    assert.deepEqual(parseTraceparent(formatTraceparent(value)), value);
  });
  fc.assert(roundTrip, { seed: 7 });
  const anyText = fc.property(fc.string({ unit: 'binary' }), (text) => {
    assert.equal(parseTraceparent(text), undefined);
  });
  fc.assert(anyText, { seed: 7, numRuns: 1_000 });
  assert.equal(parseTraceparent(`00-${'0'.repeat(32)}-${'1'.repeat(16)}-01`), undefined);
});
