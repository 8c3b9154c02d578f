import { drainScopeSchema, generationSchema, upstreamsSchema } from '@sardinegrade/common';

import { DRAIN_TIMEOUT_MS, POLL_INTERVAL_MS } from '../constants.js';
import { UsageError } from '../errors.js';
import { collectValues } from './status.js';
import { waitUntilActive } from './waitUntilActive.js';

import type { Command, CommandContext, CommandOptions, CommandResult } from '../types.js';

const UPSTREAM_SCOPE = 'upstream';

/** Scopes of the API, by the names accepted on the command line. */
const SCOPES: Readonly<Record<string, string>> = {
  vm: 'vm',
  upstream: UPSTREAM_SCOPE,
  engine: UPSTREAM_SCOPE,
  'data-centre': 'data_centre',
  data_centre: 'data_centre',
};

const parseScope = (text: string): string => {
  const scope = drainScopeSchema.safeParse(SCOPES[text]);
  if (scope.success) return scope.data;
  throw new UsageError(
    `Nothing of the kind '${text}' can be drained.`,
    'Write vm, upstream or data-centre.',
  );
};

/** Counts the running requests of an upstream: the highest count that any daemon reports. */
const countGranted = async (context: CommandContext, name: string): Promise<number> => {
  const replies = await context.getClient().readAll(upstreamsSchema, '/v1/upstreams');
  const views = collectValues(replies).flatMap((value) => value.upstreams);
  const counts = views.filter(({ id }) => id === name).map(({ granted }) => granted ?? 0);
  return Math.max(0, ...counts);
};

/** Waits until an upstream runs no requests, the timeout passes or the operator interrupts. */
const waitUntilIdle = async (context: CommandContext, name: string): Promise<string> => {
  const { getNowMs, sleep, signal } = context.environment;
  const endAtMs = getNowMs() + DRAIN_TIMEOUT_MS;
  for (;;) {
    const granted = await countGranted(context, name);
    if (granted === 0) return `${name} runs nothing now.`;
    if (signal.aborted || getNowMs() >= endAtMs) {
      return `${name} still runs ${granted} requests; they end by themselves.`;
    }
    context.reportProgress(`${name} still runs ${granted} requests`);
    await sleep(POLL_INTERVAL_MS, signal);
  }
};

const sendDrain = async (
  context: CommandContext,
  [kind = '', name = '']: readonly string[],
  options: CommandOptions,
  method: 'PUT' | 'DELETE',
): Promise<CommandResult> => {
  const scope = parseScope(kind);
  const path = `/v1/drains/${scope}/${encodeURIComponent(name)}`;
  const record = await context.getClient().change(generationSchema, { method, path });
  const result = await waitUntilActive(context, record, options);
  const shouldWait = method === 'PUT' && scope === UPSTREAM_SCOPE && options.wait !== false;
  if (!shouldWait) return result;
  return { ...result, text: `${result.text}\n${await waitUntilIdle(context, name)}` };
};

const NO_WAIT_OPTION = {
  flags: '--no-wait',
  description: 'Do not wait for the mark to be in force and for requests to end',
};

/** Commands that start and end the drain of a VM, upstream or data centre. */
export const DRAIN_COMMANDS: readonly Command[] = [
  {
    usage: 'drain <kind> <name>',
    description: 'Give a vm, upstream or data-centre no new work; what runs there ends normally',
    options: [NO_WAIT_OPTION],
    examples: ['sardinegrade drain upstream engine-3', 'sardinegrade drain data-centre hobart'],
    isWatchable: false,
    run: (context, args, options) => sendDrain(context, args, options, 'PUT'),
  },
  {
    usage: 'undrain <kind> <name>',
    description: 'Give it work again',
    options: [NO_WAIT_OPTION],
    examples: ['sardinegrade undrain upstream engine-3'],
    isWatchable: false,
    run: (context, args, options) => sendDrain(context, args, options, 'DELETE'),
  },
];
