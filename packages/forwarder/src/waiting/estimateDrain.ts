import type { ForwarderState } from '../ForwarderState.js';

/** @returns prompt tokens that wait at all VMs */
export const countWaitingTokens = ({ queue, sharedLoad }: ForwarderState): number =>
  queue.waiting.promptTokens + sharedLoad.waiting.promptTokens;

/** Lists the learned speeds of all engines that are not about to leave. */
const listSpeeds = ({ fleet, paces, configuration }: ForwarderState): readonly number[] => {
  const speeds = new Map(
    paces.listKnown().map(({ worker, pace }): [string, number] => [worker.id, pace.speed]),
  );
  return fleet.directory
    .listAll()
    .filter(
      ({ service, isLeaving }) =>
        !isLeaving && configuration?.services.get(service)?.engine !== undefined,
    )
    .map(({ id }) => speeds.get(id) ?? 1);
};

/**
 * Estimates how long the engines need to read prompts that wait at all VMs.
 *
 * @param state - state of the forwarder
 * @param promptTokens - tokens of these prompts
 * @returns the time, in milliseconds
 */
export const estimateDrainMs = (state: ForwarderState, promptTokens: number): number =>
  state.drainRate.estimateMs(promptTokens, listSpeeds(state));
