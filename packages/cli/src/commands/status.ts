import { statusSchema, upstreamsSchema } from '@sardinegrade/common';

import { UnreachableError } from '../errors.js';
import { mergeStatuses } from '../mergeStatuses.js';
import { mergeUpstreams } from '../mergeUpstreams.js';
import { renderStatus, renderUpstreams } from '../output/index.js';

import type { DaemonReply } from '../client/index.js';
import type { Command, CommandContext, CommandResult } from '../types.js';

/**
 * Collects the values of the daemons that answered.
 *
 * @param replies - results of a read from every daemon
 * @returns the values, at least one
 * @throws the first error if no daemon answered
 */
export const collectValues = <Value>(
  replies: readonly DaemonReply<Value>[],
): readonly [Value, ...Value[]] => {
  const values: Value[] = [];
  const errors: Error[] = [];
  for (const reply of replies) {
    if ('error' in reply) errors.push(reply.error);
    else values.push(reply.value);
  }
  const [first, ...rest] = values;
  if (first !== undefined) return [first, ...rest];
  throw errors[0] ?? new UnreachableError('No daemon was asked.');
};

const listFailures = (replies: readonly DaemonReply<unknown>[]): readonly string[] =>
  replies.flatMap((reply) =>
    'error' in reply ? [`${reply.address}: ${reply.error.message}`] : [],
  );

const renderFailures = (failures: readonly string[]): string =>
  failures.length === 0 ? '' : `\n\nWithout these VMs:\n${failures.join('\n')}`;

const runStatus = async ({ getClient }: CommandContext): Promise<CommandResult> => {
  const replies = await getClient().readAll(statusSchema, '/v1/status');
  const [first, ...others] = collectValues(replies);
  const status = mergeStatuses(first, others);
  const failures = listFailures(replies);
  const answeredCount = replies.length - failures.length;
  const head = `As ${answeredCount} of ${replies.length} VMs asked see it.`;
  return {
    value: { ...status, asked: replies.length, silent: failures },
    text: `${head}\n${renderStatus(status)}${renderFailures(failures)}`,
  };
};

const runUpstreams = async ({ getClient }: CommandContext): Promise<CommandResult> => {
  const replies = await getClient().readAll(upstreamsSchema, '/v1/upstreams');
  const upstreams = mergeUpstreams(collectValues(replies).map((value) => value.upstreams));
  const failures = listFailures(replies);
  return {
    value: { upstreams, silent: failures },
    text: `${renderUpstreams(upstreams)}${renderFailures(failures)}`,
  };
};

/** Commands that show the state of the fleet. */
export const STATUS_COMMANDS: readonly Command[] = [
  {
    usage: 'status',
    description: 'Services along their dependencies, classes against targets, and VMs',
    options: [],
    examples: ['sardinegrade status --watch', 'sardinegrade status --json'],
    isWatchable: true,
    run: runStatus,
  },
  {
    usage: 'upstreams',
    description: 'Upstreams with their health and grants',
    options: [],
    examples: ['sardinegrade upstreams --watch 5s'],
    isWatchable: true,
    run: runUpstreams,
  },
];
