import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  buildTestConfiguration,
  closePeerSockets,
  disconnectWorkers,
  formatAnswer,
  formatStream,
  readHeader,
  startTestFleet,
  startTestWorkers,
  STREAM_END,
} from '../testing/index.js';

import type { Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { TestAnswer, TestFleetOptions, WorkerScript } from '../testing/index.js';

const SUBNET = 33;

/** Kinds of requests that are sent once, so that a broken answer is not replaced by a whole one. */
const KINDS = ['unsafe', 'stream'];

/** Number of requests of each kind: a reset that arrives with the last bytes does not always look alike. */
const CALLS = 12;

const EVENT = 'id: 1\ndata: a\n\n';

const formatUnframed = (head: string): string =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
  `connection: close\r\n\r\n${EVENT}`;

/** Calls a VM without links, which goes through the only other one. */
const callThroughTunnel = async (
  context: TestContext,
  script: WorkerScript,
  options: Partial<TestFleetOptions> & { readonly onCall?: (close: () => void) => void } = {},
): Promise<readonly TestAnswer[]> => {
  const workers = await startTestWorkers(context, [script, script, script]);
  const configuration = buildTestConfiguration();
  const fleet = await startTestFleet(context, {
    vms: 2,
    subnet: SUBNET,
    workers,
    configuration,
    ...options,
  });
  const [vm, other] = fleet;
  assert.ok(vm !== undefined && other !== undefined);
  disconnectWorkers(vm);
  options.onCall?.(() => closePeerSockets(other));
  const answers: TestAnswer[] = [];
  while (answers.length < CALLS * KINDS.length) {
    const calls = KINDS.map((kind, index) =>
      vm.call(kind, { 'request-id': `r${answers.length + index}` }, 'body'),
    );
    answers.push(...(await Promise.all(calls)));
  }
  assert.ok(workers.some(({ heads }) => heads.length > 0));
  return answers;
};

const isWhole = ({ status, isComplete }: TestAnswer): boolean => status === 200 && isComplete;

// Guards against half an answer that looks whole: a reset that arrives with the last bytes ended the tunnel in order.
test('an answer without a length that is reset together with its last bytes does not look whole through another VM', async (context) => {
  const answers = await callThroughTunnel(context, (socket, head) => {
    socket.write(formatUnframed(head), () => socket.resetAndDestroy());
  });
  assert.deepEqual(answers.filter(isWhole), []);
});

// Guards against half an answer that looks whole: a VM that dies closes its tunnels as if the workers had ended in order.
test('an answer without a length does not look whole if the VM that passes it on dies', async (context) => {
  let close: () => void = () => undefined;
  const answerHalf: WorkerScript = (socket, head) => {
    socket.write(formatUnframed(head));
    setTimeout(() => close(), 20);
  };
  const onCall = (closeTunnels: () => void): void => void (close = closeTunnels);
  const answers = await callThroughTunnel(context, answerHalf, { onCall });
  assert.deepEqual(answers.filter(isWhole), []);
});

// Guards against sound answers that are taken for broken ones.
test('an answer without a length that its worker ends in order is whole through another VM', async (context) => {
  const answers = await callThroughTunnel(context, (socket, head) => {
    socket.write(formatUnframed(head));
    setTimeout(() => socket.end(EVENT), 10);
  });
  assert.deepEqual(
    answers.filter((answer) => !isWhole(answer)),
    [],
  );
  assert.deepEqual(new Set(answers.map(({ body }) => body)), new Set([EVENT + EVENT]));
});

const answerFramed: WorkerScript = (socket, head) => {
  const isStream = head.includes('/stream/');
  socket.write(isStream ? formatStream(head, ['a']) + STREAM_END : formatAnswer(head, 'done'));
};

const answerWithoutLength: WorkerScript = (socket, head) => void socket.end(formatUnframed(head));

// Guards against half an answer that looks whole while VMs of an older build, whose tunnels do not tell their end, run beside.
test('through a VM of an older build, only an answer that tells its own end is whole', async (context) => {
  const framed = await callThroughTunnel(context, answerFramed, { hasBareTunnels: true });
  assert.ok(framed.every(isWhole));
  const unframed = await callThroughTunnel(context, answerWithoutLength, {
    hasBareTunnels: true,
    subnet: SUBNET + 1,
  });
  assert.deepEqual(unframed.filter(isWhole), []);
});

/** Writes half of an answer with a length and ends the connection in one of the ways. */
const answerAndCut =
  (cut: (socket: Socket) => void): WorkerScript =>
  (socket, head) => {
    const answer = formatAnswer(head, 'whole answer');
    socket.write(answer.slice(0, -4), () => cut(socket));
  };

for (const [name, cut] of [
  ['reset', (socket: Socket) => socket.resetAndDestroy()],
  ['ended', (socket: Socket) => socket.end()],
] as const) {
  test(`an answer with a length that is ${name} early does not look whole through another VM`, async (context) => {
    const answers = await callThroughTunnel(context, answerAndCut(cut));
    assert.deepEqual(answers.filter(isWhole), []);
  });
}
