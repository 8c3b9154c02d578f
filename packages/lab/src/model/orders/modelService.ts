import { CallOutcome, LookupOutcome } from '@sardinegrade/orders';

import type { AttemptId } from '@sardinegrade/common';
import type { CallResult, LookupResult, ServiceCall, ServiceClient } from '@sardinegrade/orders';
import type { OrderSchedule } from './types.js';
import type { SimulatedHost, Simulation } from './Simulation.js';

/** An execution of an order at the service. */
export interface Execution {
  readonly scopedKey: string;
  readonly attemptId: AttemptId;
  /** Virtual time of the daemon's call, in milliseconds. */
  readonly calledAtMs: number;
}

/** A service that records every execution. */
export interface ModelService {
  readonly executions: readonly Execution[];
  readonly findExecution: (scopedKey: string) => Execution | undefined;
  readonly connectHost: (host: SimulatedHost) => ServiceClient;
  readonly stopFaults: () => void;
}

/** Options of a model service. */
export interface ModelServiceOptions {
  /** Skips the check of the call window right before a call, to show that the model detects the fault. */
  readonly ignoresCallWindow: boolean;
  readonly onExecution: (execution: Execution) => void;
  readonly pauseHost: (host: SimulatedHost) => void;
}

const MAX_TRAVEL_MS = 29_000;
const MAX_EXECUTION_MS = 20_000;

/** Creates a service that delays calls and fails them with the probabilities of the schedule. */
export const createModelService = (
  simulation: Simulation,
  schedule: OrderSchedule,
  options: ModelServiceOptions,
): ModelService => {
  const executions: Execution[] = [];
  let isFaulty = true;

  const hasFault = (chance: number): boolean => isFaulty && simulation.pickBoolean(chance);

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

  const pickDelayMs = (maxMs: number): number =>
    hasFault(schedule.chances.slowCall)
      ? simulation.pickBetween(1_000, maxMs)
      : simulation.pickBetween(1, 20);

  const connectHost = (host: SimulatedHost): ServiceClient => {
    const send = (call: ServiceCall, resolve: (result: CallResult) => void) => {
      const { lostCall, lostServiceAnswer } = schedule.chances;
      const calledAtMs = simulation.nowMs;
      const reply = (delayMs: number, result: CallResult) =>
        simulation.schedule(delayMs, () => resolve(result), host);
      reply(call.timeoutMs, { outcome: CallOutcome.Unknown, cause: 'timeout' });
      if (hasFault(lostCall)) return;
      const executionDelayMs = pickDelayMs(MAX_TRAVEL_MS) + pickDelayMs(MAX_EXECUTION_MS);
      simulation.schedule(executionDelayMs, () => {
        const answer = buildAnswer(execute(call, calledAtMs));
        if (hasFault(lostServiceAnswer)) return;
        reply(simulation.pickBetween(1, 20), { outcome: CallOutcome.Answered, answer });
      });
    };

    const callService = (call: ServiceCall): Promise<CallResult> =>
      new Promise((resolve) => {
        const isConnected = !hasFault(schedule.chances.notConnected);
        if (hasFault(schedule.chances.pauseBeforeCall)) options.pauseHost(host);
        simulation.schedule(
          simulation.pickBetween(1, 5),
          () => {
            if (isConnected && (options.ignoresCallWindow || call.canStart())) send(call, resolve);
            else resolve({ outcome: CallOutcome.NotStarted, cause: 'not connected' });
          },
          host,
        );
      });

    const lookupStatus = (_: unknown, scopedKey: string): Promise<LookupResult> =>
      new Promise((resolve) => {
        simulation.schedule(simulation.pickBetween(1, 20), () => {
          const execution = findExecution(scopedKey);
          const isUnavailable = hasFault(schedule.chances.notConnected);
          const found: LookupResult =
            execution === undefined
              ? { outcome: LookupOutcome.Absent }
              : { outcome: LookupOutcome.Done, answer: buildAnswer(execution) };
          const result = isUnavailable ? { outcome: LookupOutcome.Unavailable as const } : found;
          simulation.schedule(simulation.pickBetween(1, 20), () => resolve(result), host);
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
