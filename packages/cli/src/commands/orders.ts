import { orderSchema, ordersSchema } from '@sardinegrade/common';

import { UsageError } from '../errors.js';
import { hasFlag, readText } from '../options.js';
import { renderOrder, renderOrders } from '../output/index.js';

import type { Command, CommandContext, CommandOptions, CommandResult } from '../types.js';

type OrderAction = Command['run'];

const FILTERS = ['workspace', 'service', 'state', 'after', 'limit'];

const toPath = (args: readonly string[]): string => {
  const [workspace, service, key, ...rest] = args;
  if (workspace === undefined || service === undefined || key === undefined || rest.length > 0) {
    throw new UsageError(
      'An order is named by workspace, service and key.',
      'For example sardinegrade orders show rig-desk booking bit-17.',
    );
  }
  return `/v1/orders/${[workspace, service, key].map(encodeURIComponent).join('/')}`;
};

const runList: OrderAction = async ({ getClient }, args, options) => {
  if (args.length > 0) throw new UsageError('orders list takes options only.');
  const query = new URLSearchParams();
  for (const name of FILTERS) {
    const value = readText(options, name);
    if (value !== undefined) query.set(name, value);
  }
  const page = await getClient().read(ordersSchema, `/v1/orders?${query.toString()}`);
  const more = page.next === undefined ? '' : `\n\nMore: --after ${page.next}`;
  return { value: page, text: `${renderOrders(page.orders)}${more}` };
};

const runShow: OrderAction = async ({ getClient }, args) => {
  const order = await getClient().read(orderSchema, toPath(args));
  return { value: order, text: renderOrder(order) };
};

const readVerdict = (options: CommandOptions): string => {
  const wasRun = hasFlag(options, 'run');
  const wasNotRun = hasFlag(options, 'notRun');
  if (wasRun !== wasNotRun) return wasRun ? 'run' : 'not_run';
  throw new UsageError(
    'Say what became of the order.',
    'Give --run if the service carried it out, or --not-run if it did not and never will.',
  );
};

const runSettle: OrderAction = async ({ getClient }, args, options) => {
  const path = `${toPath(args)}/settlement`;
  const verdict = readVerdict(options);
  const reason = readText(options, 'reason');
  if (reason === undefined) {
    throw new UsageError('A settlement needs --reason.', 'Say how you know; it is kept on record.');
  }
  const token = readText(options, 'token');
  const body = JSON.stringify({ verdict, reason, settlement_token: token });
  const contentType = 'application/json';
  const change = { method: 'POST', path, body, contentType } as const;
  const order = await getClient().change(orderSchema, change);
  return { value: order, text: renderOrder(order) };
};

const ACTIONS: Readonly<Record<string, OrderAction>> = {
  list: runList,
  show: runShow,
  settle: runSettle,
};

const runOrders = async (
  context: CommandContext,
  [action = '', ...args]: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  const run = Object.hasOwn(ACTIONS, action) ? ACTIONS[action] : undefined;
  if (run === undefined) {
    throw new UsageError(`No action '${action}'.`, 'Write orders list, show or settle.');
  }
  return run(context, args, options);
};

/** Commands that list, show and settle orders, which must not be executed twice. */
export const ORDER_COMMANDS: readonly Command[] = [
  {
    usage: 'orders <action> [...names]',
    description: 'list orders, show one, or settle one whose fate is unknown',
    options: [
      { flags: '--workspace <name>', description: 'list: only orders of this workspace' },
      { flags: '--service <name>', description: 'list: only orders for this service' },
      {
        flags: '--state <state>',
        description: 'list: accepted, dispatching, done, unknown, not_run',
      },
      { flags: '--limit <count>', description: 'list: most entries wanted' },
      { flags: '--after <name>', description: 'list: where the last page ended' },
      { flags: '--run', description: 'settle: the service carried the order out' },
      { flags: '--not-run', description: 'settle: the service did not, and never will' },
      { flags: '--token <token>', description: 'settle --not-run: the token that show gave' },
      { flags: '--reason <text>', description: 'settle: how you know; kept on record' },
    ],
    examples: [
      'sardinegrade orders list --state unknown',
      'sardinegrade orders show rig-desk booking bit-17',
      'sardinegrade orders settle rig-desk booking bit-17 --run --reason "in the ledger"',
      'sardinegrade orders settle rig-desk booking bit-17 --not-run --token settleable-42 --reason "not in the ledger"',
    ],
    isWatchable: true,
    run: runOrders,
  },
];
