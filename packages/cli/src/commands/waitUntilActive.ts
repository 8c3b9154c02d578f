import { statusSchema } from '@sardinegrade/common';

import { ACTIVATION_TIMEOUT_MS, POLL_INTERVAL_MS } from '../constants.js';
import { ExitCode } from '../enums.js';

import type { GenerationView } from '@sardinegrade/common';
import type { FleetClient } from '../client/index.js';
import type { CommandContext, CommandOptions, CommandResult } from '../types.js';

/** Member states of VMs on which a change has to become active. */
const REACHABLE_STATES: ReadonlySet<string> = new Set(['alive', 'suspect']);

interface ActivationStatus {
  readonly vms: number;
  /** VMs that have not reported this or a later generation as active. */
  readonly missing: readonly string[];
}

const measureActivation = async (
  client: FleetClient,
  generation: number,
): Promise<ActivationStatus> => {
  const generationsByVm = new Map<string, number>();
  for (const reply of await client.readAll(statusSchema, '/v1/status')) {
    if ('error' in reply) continue;
    const { value } = reply;
    generationsByVm.set(value.vm, Math.max(generationsByVm.get(value.vm) ?? 0, value.generation));
    for (const vm of value.vms) {
      if (!REACHABLE_STATES.has(vm.state)) continue;
      generationsByVm.set(vm.vm, Math.max(generationsByVm.get(vm.vm) ?? 0, vm.generation ?? 0));
    }
  }
  const missing = [...generationsByVm]
    .filter(([, activeGeneration]) => activeGeneration < generation)
    .map(([vm]) => vm);
  return { vms: generationsByVm.size, missing: missing.sort() };
};

const createResult = (record: GenerationView, activation: ActivationStatus): CommandResult => {
  const { vms, missing } = activation;
  const value = { ...record, vms, missing };
  const head = `Generation ${record.generation} accepted`;
  if (vms > 0 && missing.length === 0) {
    return { value, text: `${head}, in force at ${vms} of ${vms} VMs.` };
  }
  const names =
    missing.length === 0 ? 'No VM could be asked' : `Not known of ${missing.join(', ')}`;
  const next = 'It will not be lost; look again with sardinegrade status.';
  const text = `${head}, in force at ${vms - missing.length} of ${vms} VMs. ${names}. ${next}`;
  return { value, text, exitCode: ExitCode.NotActive };
};

/**
 * Waits until a change is active on every reachable VM, the timeout passes or the operator interrupts.
 *
 * @param context - environment and client of the command
 * @param record - the accepted change
 * @param options - options of the command; with `--no-wait` the function returns at once
 * @returns the number of VMs, and the VMs on which the change is not yet known to be active
 */
export const waitUntilActive = async (
  context: CommandContext,
  record: GenerationView,
  options: CommandOptions,
): Promise<CommandResult> => {
  if (options.wait === false) {
    return { value: record, text: `Generation ${record.generation} accepted.` };
  }
  const { getNowMs, sleep, signal } = context.environment;
  const endAtMs = getNowMs() + ACTIVATION_TIMEOUT_MS;
  for (;;) {
    const activation = await measureActivation(context.getClient(), record.generation);
    const isDone = activation.vms > 0 && activation.missing.length === 0;
    if (isDone || signal.aborted || getNowMs() >= endAtMs) return createResult(record, activation);
    const reached = activation.vms - activation.missing.length;
    context.reportProgress(
      `generation ${record.generation} in force at ${reached} of ${activation.vms} VMs`,
    );
    await sleep(POLL_INTERVAL_MS, signal);
  }
};
