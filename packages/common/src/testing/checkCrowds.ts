import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { countDescriptors, readMemoryBytes } from './readProcessUsage.js';

import type { Socket } from 'node:net';
import type { TestContext } from 'node:test';

const BYTES_PER_MB = 1_000_000;
const SAMPLE_INTERVAL_MS = 50;
const CALL_INTERVAL_MS = 20;

/** Time in which an ordinary request has to be answered at last, in milliseconds. */
const ANSWER_LIMIT_MS = 20_000;

/** Clients that each write a start, then a block repeatedly up to a number of bytes, and read nothing. */
export interface HostileCrowd {
  readonly clients: number;
  readonly start: string;
  readonly block: string;
  /** Number of bytes after the start. */
  readonly bytes: number;
}

/** A port that clients reach, and the process behind it. */
export interface CrowdTarget {
  readonly host: string;
  readonly port: number;
  readonly pid: number | undefined;
  /** Memory of the machine, in bytes. */
  readonly memoryBytes: number;
  /** Maximum number of open descriptors. */
  readonly descriptorLimit: number;
  /** Whether the process has run since its start. */
  readonly isRunning: () => boolean;
  /** Sends an ordinary request; resolves to whether it was answered with success. */
  readonly callOrdinary: () => Promise<boolean>;
}

/** How long a crowd stays. */
export interface CrowdTimes {
  /** Time in which the clients write, and in which they then stay connected, in milliseconds. */
  readonly stayMs: number;
}

/** Opens a client, which writes until its bytes are written, its connection has closed or the test ends it. */
const openClient = ({ start, block, bytes }: HostileCrowd, { port, host }: CrowdTarget): Socket => {
  const socket = connect(port, host);
  socket.on('error', () => socket.destroy());
  socket.pause();
  let left = bytes;
  const writeOn = (): void => {
    while (left > 0 && !socket.destroyed) {
      const part = block.slice(0, left);
      left -= part.length;
      if (socket.write(part)) continue;
      socket.once('drain', writeOn);
      return;
    }
  };
  socket.once('connect', () => {
    if (start !== '') socket.write(start);
    writeOn();
  });
  return socket;
};

const isServedInTime = async (callOrdinary: () => Promise<boolean>): Promise<boolean> => {
  const endAtMs = performance.now() + ANSWER_LIMIT_MS;
  while (performance.now() < endAtMs) {
    if (await callOrdinary()) return true;
    await sleep(CALL_INTERVAL_MS);
  }
  return false;
};

const toMegabytes = (bytes: number): string => `${(bytes / BYTES_PER_MB).toFixed(1)} MB`;

/**
 * Checks that a process lives through what clients do, stays within its memory and descriptors, and answers an ordinary
 * request afterwards. Nothing that is checked depends on the speed of the machine.
 *
 * @param context - the test
 * @param target - the process
 * @param disturb - lets the clients do what they do; returns what ends them
 */
export const checkDisturbance = async (
  context: TestContext,
  target: CrowdTarget,
  disturb: () => Promise<() => void>,
): Promise<void> => {
  const { pid, memoryBytes, descriptorLimit } = target;
  const restBytes = readMemoryBytes(pid, 'VmRSS');
  let peakDescriptors = 0;
  const timer = setInterval(() => {
    peakDescriptors = Math.max(peakDescriptors, countDescriptors(pid));
  }, SAMPLE_INTERVAL_MS);
  context.after(() => clearInterval(timer));
  const closeClients = await disturb();
  closeClients();
  const isServed = await isServedInTime(target.callOrdinary);
  assert.ok(target.isRunning(), 'the process has ended');
  const peakBytes = readMemoryBytes(pid, 'VmHWM');
  const isWithin = peakBytes <= memoryBytes && peakDescriptors <= descriptorLimit;
  const usage = `${toMegabytes(restBytes)} before, peak ${toMegabytes(peakBytes)}, ${peakDescriptors} descriptors`;
  context.diagnostic(usage);
  assert.ok(isServed, `no ordinary request was answered; ${usage}`);
  assert.ok(
    isWithin,
    `${usage}; limits ${toMegabytes(memoryBytes)}, ${descriptorLimit} descriptors`,
  );
};

/**
 * Checks a process as `checkDisturbance` does while crowds of clients are connected.
 *
 * @param context - the test
 * @param target - the process and the port of the crowds
 * @param crowds - the clients, all at the same time
 * @param times - how long they stay
 */
export const checkCrowds = (
  context: TestContext,
  target: CrowdTarget,
  crowds: readonly HostileCrowd[],
  { stayMs }: CrowdTimes,
): Promise<void> =>
  checkDisturbance(context, target, async () => {
    const clients = crowds.flatMap((crowd) =>
      Array.from({ length: crowd.clients }, () => openClient(crowd, target)),
    );
    const closeClients = (): void => {
      for (const client of clients) client.destroy();
    };
    context.after(closeClients);
    await sleep(stayMs);
    return closeClients;
  });
