import { test } from 'node:test';

import { buildLoopbackHost, checkCrowds } from '@sardinegrade/common/testing';

import { CROWD_FIELDS, startCrowdVm } from './startCrowdVm.js';

import type { HostileCrowd } from '@sardinegrade/common/testing';

/** Limits of the smallest VM that deployments have. */
const MEMORY_MB = 160;
const MAX_FDS = 4_100;

/** Time in which the clients write and stay connected, in milliseconds. */
const STAY_MS = 10_000;

const IP = buildLoopbackHost(11, 0);

const BLOCK_BYTES = 64 * 1_024;
const FILLER = 'x'.repeat(BLOCK_BYTES);
const START = `POST /plain/ HTTP/1.1\r\n${CROWD_FIELDS}Transfer-Encoding: chunked\r\n\r\n`;

const TINY_CHUNKS = { start: START, block: '1\r\nx\r\n'.repeat(10_000), bytes: 6_000_000 };
const LARGE_BODIES = { start: START, block: `10000\r\n${FILLER}\r\n`, bytes: 4_100_000 };
const SMALL_BODIES = {
  start: START,
  block: `ea60\r\n${FILLER.slice(0, 60_000)}\r\n`,
  bytes: 60_000,
};

const CROWDS: Readonly<Record<string, readonly HostileCrowd[]>> = {
  'bodies of all sizes': [
    { ...TINY_CHUNKS, clients: 50 },
    { ...LARGE_BODIES, clients: 100 },
    { ...SMALL_BODIES, clients: 1_500 },
  ],
  'small bodies': [{ ...SMALL_BODIES, clients: 3_000 }],
  'large bodies': [{ ...LARGE_BODIES, clients: 100 }],
};

// Guards against limits that do not follow the memory of the smallest VMs.
for (const [name, crowds] of Object.entries(CROWDS)) {
  test(`a VM of ${MEMORY_MB} MB stays within its memory and descriptors and serves: ${name}`, async (context) => {
    const vm = await startCrowdVm(context, {
      ip: IP,
      memoryMb: MEMORY_MB,
      descriptorLimit: MAX_FDS,
      routes: [],
    });
    await checkCrowds(context, vm, crowds, { stayMs: STAY_MS });
  });
}
