import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { parseConfiguration } from '@sardinegrade/fleet';

/** What one more item of the configuration costs a daemon. */
export interface ItemCost {
  readonly item: string;
  readonly heapBytes: number;
  readonly textBytes: number;
  /** Time that parsing it adds. */
  readonly parseMicroseconds: number;
}

const ITEMS = 500;
const COPIES = 20;

const SERVICE = `[service.s]
kind = model
model = m
pool = p
[service.s.class.c]
tier = paying
[upstream.first]
pool = p
data_centre = dc-a
address = http://10.0.0.1:8000
`;

const WRITERS: Readonly<Record<string, (index: number) => string>> = {
  workspace: (index) =>
    `[workspace.workspace-${index}]\nkey_sha256[] = ${index.toString(16).padStart(64, '0')}\n`,
  worker: (index) =>
    `[upstream.engine-${index}]\npool = p\ndata_centre = dc-a\naddress = http://10.0.${index >> 8}.${index & 255}:8000\nslots = 16\nfencing = checked\n`,
  // A generation without a change of anything else: what is left of it in a daemon is nothing.
  generation: () => '',
};

const writeText = (count: number, write: (index: number) => string): string =>
  SERVICE + Array.from({ length: count }, (_, index) => write(index)).join('');

/** Reaches the collector without a flag on the command line. */
const createCollector = (): (() => void) => {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
};

const runCollector = createCollector();

const readHeap = (): number => {
  runCollector();
  return process.memoryUsage().heapUsed;
};

/** Parses a text several times, and measures time and heap of one copy. */
const measureText = (text: string) => {
  const copies = [parseConfiguration(text, 0)];
  const heapBefore = readHeap();
  const startedAtMs = performance.now();
  for (let copy = 1; copy <= COPIES; copy += 1) copies.push(parseConfiguration(text, copy));
  const spentMs = performance.now() - startedAtMs;
  const heapBytes = (readHeap() - heapBefore) / COPIES;
  // Keeps the copies in use until the heap has been read.
  if (copies.length !== COPIES + 1) throw new Error('a copy is missing');
  return { heapBytes, microseconds: (spentMs * 1_000) / COPIES };
};

/**
 * Measures what one workspace, one worker and one generation cost a daemon.
 *
 * @returns the cost of each
 */
export const measurePerItem = (): readonly ItemCost[] => {
  const base = measureText(writeText(0, () => ''));
  return Object.entries(WRITERS).map(([item, write]) => {
    const count = item === 'generation' ? 1 : ITEMS;
    const text = writeText(count, write);
    const cost = measureText(text);
    return {
      item,
      heapBytes: (cost.heapBytes - base.heapBytes) / count,
      textBytes: (text.length - SERVICE.length) / count,
      parseMicroseconds: (cost.microseconds - base.microseconds) / count,
    };
  });
};
