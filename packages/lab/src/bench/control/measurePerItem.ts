import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { parseConfiguration } from '@sardinegrade/fleet';

/** The cost to a daemon of one more item in the configuration. */
export interface ItemCost {
  readonly item: string;
  readonly heapBytes: number;
  readonly textBytes: number;
  /** Parsing time that the item adds. */
  readonly parseMicroseconds: number;
}

const TARGET_WORKSPACES = 360;
const TARGET_WORKERS = 600;
const PARSED_COPIES = 20;

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

type WriteItem = (index: number) => string;

const writeWorkspace: WriteItem = (index) =>
  `[workspace.workspace-${index}]\nkey_sha256[] = ${index.toString(16).padStart(64, '0')}\n`;

const writeWorker: WriteItem = (index) =>
  `[upstream.engine-${index}]\npool = p\ndata_centre = dc-a\naddress = http://10.0.${index >> 8}.${index & 255}:8000\nslots = 16\nfencing = checked\n`;

const writeText = (count: number, write: WriteItem): string =>
  Array.from({ length: count }, (_, index) => write(index)).join('');

/** Gets access to the garbage collector without a flag on the command line. */
const createCollector = (): (() => void) => {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
};

const collectGarbage = createCollector();

const readHeap = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

interface TextCost {
  readonly heapBytes: number;
  readonly microseconds: number;
}

const NO_COST: TextCost = { heapBytes: 0, microseconds: 0 };

/** Parses a text several times, and measures the mean time and heap of one parsed copy. */
const measureText = (text: string): TextCost => {
  const copies = [parseConfiguration(text, 0)];
  const heapBefore = readHeap();
  const startedAtMs = performance.now();
  for (let copy = 1; copy <= PARSED_COPIES; copy += 1) copies.push(parseConfiguration(text, copy));
  const elapsedMs = performance.now() - startedAtMs;
  const heapBytes = (readHeap() - heapBefore) / PARSED_COPIES;
  // Using the array here keeps the copies reachable until the heap has been read.
  if (copies.length !== PARSED_COPIES + 1) throw new Error('a parsed copy is missing');
  return { heapBytes, microseconds: (elapsedMs * 1_000) / PARSED_COPIES };
};

/**
 * Measures what one workspace and one worker add to a daemon's state, and what one generation of the
 * complete configuration costs at the target size.
 *
 * @returns the cost of each item
 */
export const measurePerItem = (): readonly ItemCost[] => {
  const measure = (item: string, text: string, count: number, baseline: TextCost): ItemCost => {
    const cost = measureText(SERVICE + text);
    return {
      item,
      heapBytes: (cost.heapBytes - baseline.heapBytes) / count,
      textBytes: text.length / count,
      parseMicroseconds: (cost.microseconds - baseline.microseconds) / count,
    };
  };
  const workspaces = writeText(TARGET_WORKSPACES, writeWorkspace);
  const workers = writeText(TARGET_WORKERS, writeWorker);
  // Warm-up: the first run is slower than all later ones.
  measureText(SERVICE + workspaces + workers);
  const empty = measureText(SERVICE);
  return [
    measure('workspace', workspaces, TARGET_WORKSPACES, empty),
    measure('worker', workers, TARGET_WORKERS, empty),
    measure('generation, 360 workspaces and 600 workers', workspaces + workers, 1, NO_COST),
  ];
};
