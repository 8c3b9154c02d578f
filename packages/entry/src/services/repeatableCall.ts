import { ResultCode, RunState, SardinegradeError, toBranded } from '@sardinegrade/common';
import { decideRetry, RetryVerdict } from '@sardinegrade/dispatch';
import { CallOutcome } from '@sardinegrade/orders';

import { RETRY_LATER_MS } from './constants.js';

import type { RetryDecision } from '@sardinegrade/dispatch';
import type { CallResult, OrderResult, ServiceRequest } from '@sardinegrade/orders';
import type { RepeatableOptions, ServiceCallContext } from './types.js';

/** Carries out a call that may be repeated, or that its service de-duplicates by the key. */
export type RunRepeatable = (
  context: ServiceCallContext,
  request: ServiceRequest,
  scopedKey: string,
) => Promise<OrderResult>;

const createFailure = (result: CallResult, isMaybeRun: boolean): SardinegradeError => {
  const cause = 'cause' in result ? result.cause : undefined;
  const options = { cause, retryAfterMs: RETRY_LATER_MS };
  if (isMaybeRun) {
    const message = 'The service gave no whole answer.';
    return new SardinegradeError(ResultCode.UpstreamFailed, message, {
      ...options,
      run: RunState.Unknown,
    });
  }
  return new SardinegradeError(ResultCode.NoUpstream, 'The service could not be reached.', options);
};

const toOrderResult = (result: CallResult, isMaybeRun: boolean): OrderResult => {
  switch (result.outcome) {
    case CallOutcome.Answered:
      return { answer: result.answer, isReplay: false };
    case CallOutcome.TooLarge:
      return {
        error: new SardinegradeError(ResultCode.AnswerNotKept, 'The answer is too large.', {
          run: RunState.Run,
        }),
      };
    case CallOutcome.NotStarted:
    case CallOutcome.Unknown:
      return { error: createFailure(result, isMaybeRun) };
  }
};

const hasFailed = ({ outcome }: CallResult): boolean =>
  outcome === CallOutcome.NotStarted || outcome === CallOutcome.Unknown;

/**
 * Creates the runner of repeatable calls, which retries within each service's budget.
 *
 * @param options - the way to the services, time and random source
 * @returns the runner
 */
export const createRepeatableRunner = (options: RepeatableOptions): RunRepeatable => {
  const { caller, clock } = options;
  const estimateLeftMs = (context: ServiceCallContext): number =>
    context.deadlineAtMs - clock.getNowMs();

  const decide = (
    { service, deadlineAtMs }: ServiceCallContext,
    attempts: number,
    mayHaveStarted: boolean,
    previousDelayMs: number,
  ): RetryDecision =>
    decideRetry(
      {
        mayHaveStarted,
        isRepeatable: true,
        canResume: false,
        attempts,
        attemptLimit: service.retry.attemptLimit,
        deadlineAtMs,
        previousDelayMs,
        code: ResultCode.UpstreamFailed,
      },
      {
        budget: options.budgets.getBudget(service),
        nowMs: clock.getNowMs(),
        random: options.getRandom,
      },
    );

  return async (context, request, scopedKey) => {
    const { service, requestId, traceparent } = context;
    options.budgets.getBudget(service).recordFirstAttempt();
    let delayMs = 0;
    let isMaybeRun = false;
    for (let attempts = 1; ; attempts += 1) {
      const result = await caller.callService({
        service,
        request,
        scopedKey,
        attemptId: toBranded(options.newId()),
        requestId,
        traceparent,
        timeoutMs: Math.max(1, estimateLeftMs(context)),
        canStart: () => estimateLeftMs(context) > 0,
      });
      isMaybeRun ||= result.outcome === CallOutcome.Unknown;
      if (!hasFailed(result) || context.signal.aborted) return toOrderResult(result, isMaybeRun);
      const decision = decide(context, attempts, isMaybeRun, delayMs);
      if (decision.verdict === RetryVerdict.Stop) return toOrderResult(result, isMaybeRun);
      ({ delayMs } = decision);
      await options.sleep(delayMs);
    }
  };
};
