import { statusSchema } from '@sardinegrade/common';

import { IN_FORCE_TIMEOUT_MS, PROGRESS_INTERVAL_MS } from '../constants.js';
import { ExitCode } from '../enums.js';

import type { GenerationView } from '@sardinegrade/common';
import type { FleetClient } from '../client/index.js';
import type { CommandContext, CommandOptions, CommandResult } from '../types.js';

/** States of VMs that a change has to reach. */
const REACHABLE_STATES: ReadonlySet<string> = new Set(['alive', 'suspect']);

interface InForce {
  readonly vms: number;
  /** VMs that are not known to have the generation, or a later one, in force. */
  readonly missing: readonly string[];
}

const measureInForce = async (client: FleetClient, generation: number): Promise<InForce> => {
  const known = new Map<string, number>();
  for (const reply of await client.readAll(statusSchema, '/v1/status')) {
    if ('error' in reply) continue;
    const { value } = reply;
    known.set(value.vm, Math.max(known.get(value.vm) ?? 0, value.generation));
    for (const vm of value.vms) {
      if (!REACHABLE_STATES.has(vm.state)) continue;
      known.set(vm.vm, Math.max(known.get(vm.vm) ?? 0, vm.generation ?? 0));
    }
  }
  const missing = [...known].filter(([, inForce]) => inForce < generation).map(([vm]) => vm);
  return { vms: known.size, missing: missing.sort() };
};

const createResult = (record: GenerationView, inForce: InForce): CommandResult => {
  const { vms, missing } = inForce;
  const value = { ...record, vms, missing };
  const head = `Generation ${record.generation} accepted`;
  if (vms > 0 && missing.length === 0) {
    return { value, text: `${head}, in force at ${vms} of ${vms} VMs.` };
  }
  const names =
    missing.length === 0 ? 'No VM could be asked' : `Not known of ${missing.join(', ')}`;
  const next = 'It will not be lost; look again with sardinegrade status.';
  const text = `${head}, in force at ${vms - missing.length} of ${vms} VMs. ${names}. ${next}`;
  return { value, text, exitCode: ExitCode.NotInForce };
};

/**
 * Waits until a change is in force at every VM that can be reached.
 *
 * @param context - the command's surroundings
 * @param record - the change, accepted
 * @param options - `--no-wait` among them ends the wait at once
 * @returns how far the change has come
 */
export const waitInForce = async (
  context: CommandContext,
  record: GenerationView,
  options: CommandOptions,
): Promise<CommandResult> => {
  if (options.wait === false) {
    return { value: record, text: `Generation ${record.generation} accepted.` };
  }
  const { getNowMs, sleep, signal } = context.environment;
  const endAtMs = getNowMs() + IN_FORCE_TIMEOUT_MS;
  for (;;) {
    const inForce = await measureInForce(context.getClient(), record.generation);
    const isDone = inForce.vms > 0 && inForce.missing.length === 0;
    if (isDone || signal.aborted || getNowMs() >= endAtMs) return createResult(record, inForce);
    const reached = inForce.vms - inForce.missing.length;
    context.reportProgress(
      `generation ${record.generation} in force at ${reached} of ${inForce.vms} VMs`,
    );
    await sleep(PROGRESS_INTERVAL_MS, signal);
  }
};
