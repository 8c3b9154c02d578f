import { test } from 'node:test';

import { buildLoopbackHost, checkCrowds } from '@sardinegrade/common/testing';

import { CROWD_FIELDS, startCrowdVm } from './startCrowdVm.js';

import type { HostileCrowd } from '@sardinegrade/common/testing';
import type { CrowdRoute } from './startCrowdVm.js';

/** Limits of the smallest VM that the design page names (hard-load.md). */
const MEMORY_MB = 210;
const MAX_FDS = 2_212;

/** Time in which the clients write, and in which they then stay connected, in milliseconds. */
const WRITE_MS = 8_000;
const HOLD_MS = 2_000;

const IP = buildLoopbackHost(10, 0);

/** Size of the plain answers that are not read, in bytes. */
const UNREAD_ANSWER_BYTES = 6_000_000;

const BLOCK_BYTES = 64 * 1_024;
const FILLER = 'x'.repeat(BLOCK_BYTES);

const formatHead = (path: string, fields: string): string =>
  `POST ${path} HTTP/1.1\r\n${CROWD_FIELDS}${fields}`;

const CHUNKED = formatHead('/plain/', 'Transfer-Encoding: chunked\r\n\r\n');
const EMPTY = 'Content-Length: 0\r\n\r\n';

const CROWDS: Readonly<Record<string, HostileCrowd>> = {
  'unfinished bodies in one-byte chunks': {
    clients: 100,
    start: CHUNKED,
    block: '1\r\nx\r\n'.repeat(10_000),
    bytes: 6_000_000,
  },
  'unfinished bodies in large chunks': {
    clients: 100,
    start: CHUNKED,
    block: `10000\r\n${FILLER}\r\n`,
    bytes: 4_100_000,
  },
  'unfinished small bodies in great number': {
    clients: 2_500,
    start: CHUNKED,
    block: `ea60\r\n${FILLER.slice(0, 60_000)}\r\n`,
    bytes: 60_000,
  },
  'bodies without end': {
    clients: 50,
    start: CHUNKED,
    block: `10000\r\n${FILLER}\r\n`,
    bytes: 100_000_000,
  },
  'declared lengths that never arrive': {
    clients: 2_500,
    start: formatHead('/plain/', 'Content-Length: 4194304\r\n\r\n'),
    block: FILLER,
    bytes: 1_000,
  },
  'incomplete request heads': {
    clients: 3_000,
    start: formatHead('/plain/', ''),
    block: `X-Filler: ${'x'.repeat(1_000)}\r\n`,
    bytes: 15_000,
  },
  'plain answers that nobody reads': {
    clients: 100,
    start: formatHead('/large/', EMPTY),
    block: '',
    bytes: 0,
  },
  'streams that nobody reads': {
    clients: 200,
    start: formatHead('/stream/', EMPTY),
    block: '',
    bytes: 0,
  },
  'many requests on a connection whose answers nobody reads': {
    clients: 100,
    start: '',
    block: formatHead('/plain/', EMPTY),
    bytes: 2_000_000,
  },
  'trailers without end': {
    clients: 100,
    start: `${CHUNKED}1\r\nx\r\n0\r\n`,
    block: 'X-Filler: x\r\n'.repeat(4_000),
    bytes: 20_000_000,
  },
};

const LARGE_BODY = 'x'.repeat(UNREAD_ANSWER_BYTES);
const LARGE_EVENT = `data: ${FILLER}\n\n`;

/** Routes whose plain answers are large and whose streams have no end. */
const ROUTES: readonly CrowdRoute[] = [
  {
    name: 'large',
    kind: 'safe',
    answer: (_request, response, seal) => {
      response.writeHead(200, { ...seal, 'Content-Length': LARGE_BODY.length });
      response.end(LARGE_BODY);
    },
  },
  {
    name: 'stream',
    kind: 'streaming',
    answer: (_request, response, seal) => {
      response.writeHead(200, { ...seal, 'Content-Type': 'text/event-stream' });
      const writeOn = (): void => {
        if (response.destroyed) return;
        if (response.write(LARGE_EVENT)) setImmediate(writeOn);
        else response.once('drain', writeOn);
      };
      writeOn();
    },
  },
];

// Guards against a process that is killed for its memory, or that runs out of descriptors, by what its clients do. One after
// the other, each with a process of its own, whose peak is then that of one kind of client.
for (const [name, crowd] of Object.entries(CROWDS)) {
  test(`a VM stays within its memory and descriptors and serves: ${name}`, async (context) => {
    const vm = await startCrowdVm(context, {
      ip: IP,
      memoryMb: MEMORY_MB,
      descriptorLimit: MAX_FDS,
      routes: ROUTES,
    });
    await checkCrowds(context, vm, [crowd], { stayMs: WRITE_MS + HOLD_MS });
  });
}
