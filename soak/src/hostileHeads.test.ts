import assert from 'node:assert/strict';
import { Agent, request as sendHttp } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { buildLoopbackHost, checkCrowds, checkDisturbance } from '@sardinegrade/common/testing';

import { CROWD_FIELDS, startCrowdVm } from './startCrowdVm.js';

import type { CrowdTarget } from '@sardinegrade/common/testing';
import type { CrowdRoute } from './startCrowdVm.js';

/** Limits of the smallest VM that deployments have. */
const SMALLEST_LIMITS = { memoryMb: 160, descriptorLimit: 4_100 };

const LIMITS = { memoryMb: 210, descriptorLimit: 2_212 };
const IP = buildLoopbackHost(11, 1);

/** A prompt of some 17,000 tokens that lists each 16 tokens by themselves; its head is within 16,384 bytes. */
const PARTS = 1_064;
const PART_TOKENS = 16;
const PROMPTS = 1_500;
const PROMPT_CLIENTS = 32;

/** Paths that consist of slashes, by clients that ask again at once, for some time in milliseconds. */
const SLASHES = 16_000;
const SLASH_CLIENTS = 12;
const SLASH_MS = 8_000;

const ID_CHARACTERS = 12_000;
const LONG_IDS = 6_000;

const EXTRA_LINES = 1_200;

/** Heads of almost 16,384 bytes in short lines, by so many clients, which stay connected for some time in milliseconds. */
const LINE_CLIENTS = 2_000;
const SHORT_LINES = 2_400;
const LINES_STAY_MS = 6_000;
const LIMIT_MS = 10_000;

const SHORT_STREAM = 'id: 1\ndata: first\n\nid: 2\ndata: last\n\n';

/** A route of streams at engines, which remember what each request lists. */
const PROMPT_ROUTE: CrowdRoute = {
  name: 'prompt',
  kind: 'streaming',
  fields: { sticky: true, resumable: true },
  service: { engine: { slots: 64, kv_capacity: 654_473, models: [{ name: 'm' }] } },
  answer: (_request, response, seal) => {
    response.writeHead(200, { ...seal, 'Content-Type': 'text/event-stream' });
    response.end(SHORT_STREAM);
  },
};

/** A worker that answers with the body that it has received, behind a head of many lines. */
const ECHO_ROUTE: CrowdRoute = {
  name: 'echo',
  kind: 'unsafe',
  answer: (request, response, seal) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      for (let line = 0; line < EXTRA_LINES; line += 1) response.setHeader(`l${line}`, '1');
      response.writeHead(200, seal);
      response.end(Buffer.concat(chunks));
    });
  },
};

/** Sends requests one after the other on a kept connection, each once the last one has been answered. */
const sendInTurn = async (
  { host, port }: CrowdTarget,
  buildRequest: () => { readonly path: string; readonly headers: object } | undefined,
): Promise<void> => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let next = buildRequest(); next !== undefined; next = buildRequest()) {
    const headers = { host: 'desk.example', 'X-Key': 'k1', ...next.headers };
    const options = { host, port, agent, method: 'POST', path: next.path, headers };
    await new Promise<void>((resolve) => {
      const request = sendHttp(options, (response) => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', resolve);
      });
      request.setTimeout(LIMIT_MS, () => request.destroy());
      request.on('error', () => resolve());
      request.end();
    });
  }
  agent.destroy();
};

/** Lets clients send a number of requests in all, as many at a time as there are clients. */
const sendRequests = async (
  target: CrowdTarget,
  count: number,
  buildRequest: (index: number) => { readonly path: string; readonly headers: object },
): Promise<void> => {
  let sent = 0;
  const buildNext = () => {
    sent += 1;
    return sent > count ? undefined : buildRequest(sent);
  };
  await Promise.all(Array.from({ length: PROMPT_CLIENTS }, () => sendInTurn(target, buildNext)));
};

const formatParts = (prompt: number): string =>
  Array.from({ length: PARTS }, (_, index) => {
    const id = (prompt * PARTS + index).toString(16).padStart(8, '0');
    return `${id}:${PART_TOKENS}`;
  }).join(',');

// Guards against tables that outlive a request and grow by each entry that its head lists.
test('a VM stays within its memory and serves: prompts that are listed in many parts', async (context) => {
  const vm = await startCrowdVm(context, { ip: IP, ...LIMITS, routes: [PROMPT_ROUTE] });
  await checkDisturbance(context, vm, async () => {
    await sendRequests(vm, PROMPTS, (prompt) => ({
      path: '/prompt/x',
      headers: {
        'X-Request-Id': `p${prompt}`,
        'X-Model': 'm',
        'X-Token-Counts': `${PARTS * PART_TOKENS},80`,
        'X-Prompt-Prefix': formatParts(prompt),
      },
    }));
    return () => undefined;
  });
});

// Guards against tables that are limited in entries whose size the client decides.
test('a VM stays within its memory and serves: streams with long request ids', async (context) => {
  const vm = await startCrowdVm(context, { ip: IP, ...LIMITS, routes: [PROMPT_ROUTE] });
  await checkDisturbance(context, vm, async () => {
    await sendRequests(vm, LONG_IDS, (stream) => ({
      path: '/prompt/x',
      headers: {
        'X-Request-Id': `${stream}-`.padEnd(ID_CHARACTERS, 'x'),
        'X-Model': 'm',
        'X-Token-Counts': '100,80',
        'X-Prompt-Prefix': `${stream.toString(16)}:100`,
      },
    }));
    return () => undefined;
  });
});

// Guards against work that grows faster than the head that it reads.
test('a VM serves beside and after clients whose paths are slashes', async (context) => {
  const vm = await startCrowdVm(context, { ip: IP, ...LIMITS, routes: [] });
  let isOver = false;
  context.after(() => (isOver = true));
  const path = '/'.repeat(SLASHES);
  const buildRequest = () =>
    isOver ? undefined : { path, headers: { 'X-Request-Id': 'slashes' } };
  await checkDisturbance(context, vm, async () => {
    for (let client = 0; client < SLASH_CLIENTS; client += 1) void sendInTurn(vm, buildRequest);
    await sleep(SLASH_MS);
    // They go on while the ordinary request is sent.
    return () => undefined;
  });
});

const sendText = (vm: CrowdTarget, text: string): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(vm.port, vm.host, () => socket.write(text));
    let answer = '';
    socket.setTimeout(LIMIT_MS, () => socket.destroy());
    socket.on('data', (chunk) => (answer += String(chunk)));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => resolve(answer));
  });

// Guards against lines of a head that are dropped beyond a number of them, and with them the length of a body.
test('a request with over a thousand lines in its head is served whole, and so is such an answer', async (context) => {
  const vm = await startCrowdVm(context, { ip: IP, ...LIMITS, routes: [ECHO_ROUTE] });
  const lines = Array.from({ length: EXTRA_LINES }, (_, line) => `l${line.toString(36)}: 1\r\n`);
  const body = 'the whole body';
  const head = `POST /echo/x HTTP/1.1\r\n${CROWD_FIELDS}${lines.join('')}Connection: close\r\n`;
  const answer = await sendText(vm, `${head}Content-Length: ${body.length}\r\n\r\n${body}`);
  const [answerHead = '', answerBody] = answer.split('\r\n\r\n');
  assert.match(answerHead, /^HTTP\/1\.1 200 /);
  assert.equal(answerBody, body);
  assert.match(answerHead, /\r\nx-response-seal: s(\r\n|$)/i);
  assert.equal(answerHead.match(/\r\nl\d+: 1/g)?.length, EXTRA_LINES);
});

const SHORT_LINE_TEXT = Array.from(
  { length: SHORT_LINES },
  (_, line) => `${line.toString(36)}:b\r\n`,
).join('');

const LINE_CROWD = {
  clients: LINE_CLIENTS,
  start: `POST /silent/ HTTP/1.1\r\n${CROWD_FIELDS}`,
  bytes: SHORT_LINE_TEXT.length,
};

const LINE_CROWDS = {
  'incomplete heads of short lines': { ...LINE_CROWD, block: SHORT_LINE_TEXT },
  'requests with heads of short lines that wait for their answers': {
    ...LINE_CROWD,
    start: `${LINE_CROWD.start}${SHORT_LINE_TEXT}\r\n`,
    block: '',
    bytes: 0,
  },
};

/** A worker that does not answer. */
const SILENT_ROUTE: CrowdRoute = { name: 'silent', kind: 'safe', answer: () => undefined };

// Guards against heads that need far more memory than their bytes.
for (const [name, crowd] of Object.entries(LINE_CROWDS)) {
  test(`a VM of 160 MB stays within its memory and descriptors and serves: ${name}`, async (context) => {
    const options = { ip: IP, ...SMALLEST_LIMITS, routes: [SILENT_ROUTE] };
    const vm = await startCrowdVm(context, options);
    await checkCrowds(context, vm, [crowd], { stayMs: LINES_STAY_MS });
  });
}
