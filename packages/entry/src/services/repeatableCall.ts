import { ResultCode, RunState, SardinegradeError, toBranded } from '@sardinegrade/common';
import { CallOutcome } from '@sardinegrade/orders';

import { RETRY_FIRST_MS, RETRY_LONGEST_MS } from './constants.js';
import { createRetryBudget } from './retryBudget.js';

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
  const options = { cause, retryAfterMs: RETRY_LONGEST_MS };
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
  const budget = createRetryBudget();

  const estimateLeftMs = (context: ServiceCallContext): number =>
    context.deadlineAtMs - clock.getNowMs();

  const canRetry = (context: ServiceCallContext, attempts: number, delayMs: number): boolean =>
    attempts < context.service.retry.attemptLimit &&
    !context.signal.aborted &&
    estimateLeftMs(context) > delayMs &&
    budget.acquire(context.service);

  /** Decorrelated jitter: up to three times the delay before. */
  const computeDelayMs = (lastMs: number): number => {
    const spanMs = 3 * lastMs - RETRY_FIRST_MS;
    return Math.min(RETRY_LONGEST_MS, RETRY_FIRST_MS + options.getRandom() * spanMs);
  };

  return async (context, request, scopedKey) => {
    const { service, requestId, traceparent } = context;
    budget.recordAttempt(service);
    let delayMs = RETRY_FIRST_MS;
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
      delayMs = computeDelayMs(delayMs);
      if (!hasFailed(result) || !canRetry(context, attempts, delayMs)) {
        return toOrderResult(result, isMaybeRun);
      }
      await options.sleep(delayMs);
    }
  };
};
