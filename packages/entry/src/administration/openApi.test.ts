import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { AdministratorRole, Hop, startTracing } from '@sardinegrade/common';
import { request } from 'undici';

import { DecisionKind } from './journal/index.js';
import { buildOpenApi } from './openApi.js';
import { ROUTES } from './routes/index.js';
import {
  CHANGE_KEY,
  createTestContext,
  SETTLE_KEY,
  TEST_TEXT,
} from './testing/createTestContext.js';
import { startTestServer } from './testing/startTestServer.js';

import type { Route } from './http/types.js';

const DESCRIPTION = new URL('../../../../docs/openapi.json', import.meta.url);

/** Values for path parameters with which every route succeeds. */
const PARTS: Readonly<Record<string, string>> = {
  scope: 'vm',
  name: 'vm-2',
  generation: '1',
  workspace: 'rig-desk',
  service: 'booking',
  key: encodeURIComponent('bit 17/a'),
  request_id: 'r1',
};

const BODIES: Readonly<Record<string, string>> = {
  'text/plain': TEST_TEXT,
  'application/json': '{"verdict":"run","reason":"seen in the ledger"}',
};

const toPath = (template: string, traceId: string): string =>
  template.replace(/\{(\w+)\}/g, (_whole, name: string) =>
    name === 'trace_id' ? traceId : (PARTS[name] ?? ''),
  );

const callRoute = async (route: Route): Promise<void> => {
  const context = createTestContext();
  const tracing = startTracing({ vm: 'vm-1', dataCentre: 'hobart' });
  const span = tracing.startSpan(Hop.Entry, { requestId: 'r1' });
  span.finish();
  Object.assign(context, { traces: tracing.recent });
  const trail = context.journal.start({ requestId: 'r1', workspace: 'w', traceId: undefined });
  trail.setTarget({ service: 'counter', className: 'query', tier: 'paying' });
  trail.record(DecisionKind.Granted, 'at once', { upstream: 'e1' });
  const server = await startTestServer(context);
  const key = route.role === AdministratorRole.Settle ? SETTLE_KEY : CHANGE_KEY;
  const url = `${server.address}${toPath(route.path, span.context.traceId)}`;
  const answer = await request(url, {
    method: route.method,
    headers: { authorization: `Bearer ${key}`, 'if-match': '"1"' },
    body: route.bodyType === undefined ? null : (BODIES[route.bodyType] ?? null),
  });
  const text = await answer.body.text();
  server.close();
  assert.equal(answer.statusCode, 200, text);
  assert.ok(answer.headers['content-type']?.includes(route.replyType ?? 'application/json'));
  if (route.replySchema === undefined) return;
  const body: unknown = JSON.parse(text);
  assert.deepEqual(route.replySchema.parse(body), body);
};

for (const route of ROUTES) {
  test(`${route.method} ${route.path} answers with the status, content type and schema in its description`, () =>
    callRoute(route));
}

test('docs/openapi.json matches the document built from the routes', () => {
  const written: unknown = JSON.parse(readFileSync(DESCRIPTION, 'utf8'));
  const built: unknown = JSON.parse(JSON.stringify(buildOpenApi()));
  assert.deepEqual(written, built, 'Run node tools/writeOpenApi.js after changing the routes.');
});
