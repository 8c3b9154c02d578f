import { CallOutcome, LookupOutcome } from '@sardinegrade/orders';

import type { AttemptId } from '@sardinegrade/common';
import type { CallResult, LookupResult, ServiceCall, ServiceCaller } from '@sardinegrade/orders';
import type { OrderSchedule } from './types.js';
import type { Host, VirtualWorld } from './VirtualWorld.js';

/** One execution of an order at the service. */
export interface Execution {
  readonly scopedKey: string;
  readonly attemptId: AttemptId;
  /** When the daemon made the call. */
  readonly calledAtMs: number;
}

/** A service that counts what it carries out. */
export interface ModelService {
  readonly executions: readonly Execution[];
  readonly findExecution: (scopedKey: string) => Execution | undefined;
  readonly connectHost: (host: Host) => ServiceCaller;
  readonly stopFaults: () => void;
}

/** How a model treats the check right before a call. */
export interface ModelServiceOptions {
  /** A caller that forgets the check, to show that the model finds it out. */
  readonly ignoresCallWindow: boolean;
  readonly onExecution: (execution: Execution) => void;
  readonly pauseHost: (host: Host) => void;
}

const LONGEST_FLIGHT_MS = 29_000;
const LONGEST_EXECUTION_MS = 20_000;

/** Creates a service whose calls take time and fail as the schedule says. */
export const createModelService = (
  world: VirtualWorld,
  schedule: OrderSchedule,
  options: ModelServiceOptions,
): ModelService => {
  const executions: Execution[] = [];
  let isFaulty = true;

  const hasFault = (chance: number): boolean => isFaulty && world.hasLuck(chance);

  const findExecution = (scopedKey: string): Execution | undefined =>
    executions.find((execution) => execution.scopedKey === scopedKey);

  const buildAnswer = ({ attemptId }: Execution) => ({
    status: 201,
    headers: { 'content-type': 'text/plain' },
    body: Buffer.from(attemptId),
  });

  const execute = ({ scopedKey, attemptId }: ServiceCall, calledAtMs: number): Execution => {
    const execution = { scopedKey, attemptId, calledAtMs };
    executions.push(execution);
    options.onExecution(execution);
    return execution;
  };

  const pickTravelMs = (longestMs: number): number =>
    hasFault(schedule.chances.slowCall)
      ? world.pickBetween(1_000, longestMs)
      : world.pickBetween(1, 20);

  const connectHost = (host: Host): ServiceCaller => {
    const send = (call: ServiceCall, resolve: (result: CallResult) => void) => {
      const { lostCall, lostServiceAnswer } = schedule.chances;
      const calledAtMs = world.nowMs;
      const reply = (delayMs: number, result: CallResult) =>
        world.schedule(delayMs, () => resolve(result), host);
      reply(call.timeoutMs, { outcome: CallOutcome.Unknown, cause: 'timeout' });
      if (hasFault(lostCall)) return;
      const arriveMs = pickTravelMs(LONGEST_FLIGHT_MS) + pickTravelMs(LONGEST_EXECUTION_MS);
      world.schedule(arriveMs, () => {
        const answer = buildAnswer(execute(call, calledAtMs));
        if (hasFault(lostServiceAnswer)) return;
        reply(world.pickBetween(1, 20), { outcome: CallOutcome.Answered, answer });
      });
    };

    const callService = (call: ServiceCall): Promise<CallResult> =>
      new Promise((resolve) => {
        const isConnected = !hasFault(schedule.chances.notConnected);
        if (hasFault(schedule.chances.pauseBeforeCall)) options.pauseHost(host);
        world.schedule(
          world.pickBetween(1, 5),
          () => {
            if (isConnected && (options.ignoresCallWindow || call.canStart())) send(call, resolve);
            else resolve({ outcome: CallOutcome.NotStarted, cause: 'not connected' });
          },
          host,
        );
      });

    const lookupStatus = (_: unknown, scopedKey: string): Promise<LookupResult> =>
      new Promise((resolve) => {
        world.schedule(world.pickBetween(1, 20), () => {
          const execution = findExecution(scopedKey);
          const isUnavailable = hasFault(schedule.chances.notConnected);
          const found: LookupResult =
            execution === undefined
              ? { outcome: LookupOutcome.Absent }
              : { outcome: LookupOutcome.Done, answer: buildAnswer(execution) };
          const result = isUnavailable ? { outcome: LookupOutcome.Unavailable as const } : found;
          world.schedule(world.pickBetween(1, 20), () => resolve(result), host);
        });
      });

    return { callService, lookupStatus };
  };

  return {
    executions,
    findExecution,
    connectHost,
    stopFaults: () => {
      isFaulty = false;
    },
  };
};
