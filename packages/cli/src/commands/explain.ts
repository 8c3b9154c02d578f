import { explanationSchema } from '@sardinegrade/common';

import { ProblemError } from '../client/index.js';
import { ExitCode } from '../enums.js';
import { CommandError } from '../errors.js';
import { readText } from '../options.js';
import { renderExplanation } from '../output/index.js';
import { describeFromLog } from './describeFromLog.js';

import type { ExplanationView } from '@sardinegrade/common';
import type { DaemonReply } from '../client/index.js';
import type { Command, CommandContext, CommandOptions, CommandResult } from '../types.js';

type Reply = DaemonReply<ExplanationView>;

const isNotFound = (error: Error): boolean =>
  error instanceof ProblemError && error.exitCode === ExitCode.NotFound;

const createNotFoundError = (requestId: string, replies: readonly Reply[]): Error => {
  const failed = replies.filter((reply) => 'error' in reply && !isNotFound(reply.error));
  const failedAddresses = failed.map(({ address }) => address);
  const answeredCount = replies.length - failedAddresses.length;
  const failureText =
    failedAddresses.length === 0 ? '' : ` No answer from ${failedAddresses.join(', ')}.`;
  return new CommandError(
    ExitCode.NotFound,
    `None of the ${answeredCount} VMs asked has an account of request '${requestId}'.${failureText}`,
    'Ask every VM by giving all administration addresses. A VM keeps its latest requests only; for older ones look the id up in the logs or traces.',
  );
};

const runExplain = async (
  { getClient, environment }: CommandContext,
  [requestId = '']: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  const log = readText(options, 'log');
  if (log !== undefined) return describeFromLog(requestId, await environment.readFile(log));
  const path = `/v1/requests/${encodeURIComponent(requestId)}`;
  const replies = await getClient().readAll(explanationSchema, path);
  const explanations = replies.flatMap((reply) => ('value' in reply ? [reply.value] : []));
  if (explanations.length > 0) {
    // Several VMs may have received requests with the same id; the explanations are sorted by arrival.
    const ordered = explanations.sort((a, b) => a.arrived_at_ms - b.arrived_at_ms);
    return { value: ordered, text: ordered.map(renderExplanation).join('\n\n') };
  }
  const errors = replies.flatMap((reply) => ('error' in reply ? [reply.error] : []));
  const [first] = errors;
  if (first !== undefined && !errors.some(isNotFound)) throw first;
  throw createNotFoundError(requestId, replies);
};

/** Commands that explain single requests. */
export const EXPLAIN_COMMANDS: readonly Command[] = [
  {
    usage: 'explain <request-id>',
    description: 'Show the decisions on one request: queue, grant, engine, attempts, codes',
    options: [
      {
        flags: '--log <file>',
        description: 'Read the story from logs of VMs instead; - for stdin',
      },
    ],
    examples: [
      'sardinegrade explain 9c41d07be2a35f68 --log vms.log',
      'sardinegrade explain 0f8b6c52-6f0e-4d6e-9d57-5f4c3b1a2e90',
    ],
    isWatchable: true,
    run: runExplain,
  },
];
