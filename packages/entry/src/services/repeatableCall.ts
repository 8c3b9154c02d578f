import { ResultCode, RunState, SardinegradeError, toBranded } from '@sardinegrade/common';
import { decideRetry, RetryVerdict } from '@sardinegrade/dispatch';
import { MAX_ANSWER_BYTES } from '@sardinegrade/ingress';
import { CallOutcome } from '@sardinegrade/orders';

import { RETRY_AFTER_MS } from './constants.js';

import type { RetryDecision } from '@sardinegrade/dispatch';
import type { CallResult, OrderResult, ServiceRequest } from '@sardinegrade/orders';
import type { RepeatableOptions, ServiceCallContext } from './types.js';

/** Executes a call that may be repeated, or that its service deduplicates by the idempotency key. */
export type RepeatableCallRunner = (
  context: ServiceCallContext,
  request: ServiceRequest,
  scopedKey: string,
) => Promise<OrderResult>;

const createFailure = (result: CallResult, mayHaveStarted: boolean): SardinegradeError => {
  const cause = 'cause' in result ? result.cause : undefined;
  const options = { cause, retryAfterMs: RETRY_AFTER_MS };
  if (mayHaveStarted) {
    const message = 'The service gave no whole answer.';
    return new SardinegradeError(ResultCode.UpstreamFailed, message, {
      ...options,
      run: RunState.Unknown,
    });
  }
  return new SardinegradeError(ResultCode.NoUpstream, 'The service could not be reached.', options);
};

/** The call can be repeated, and its answer may find memory later. */
const createMemoryError = (): SardinegradeError =>
  new SardinegradeError(
    ResultCode.AnswerCut,
    'The answers of all calls exceed the memory for them.',
    { run: RunState.Run, retryAfterMs: RETRY_AFTER_MS },
  );

/** Builds the result of a call, in the form that it shares with the result of an order. */
const toServiceResult = (result: CallResult, mayHaveStarted: boolean): OrderResult => {
  switch (result.outcome) {
    case CallOutcome.Answered:
      return { answer: result.answer, isReplay: false };
    case CallOutcome.TooLarge:
      if (result.bytes <= MAX_ANSWER_BYTES) return { error: createMemoryError() };
      return {
        error: new SardinegradeError(ResultCode.AnswerNotKept, 'The answer is too large.', {
          run: RunState.Run,
        }),
      };
    case CallOutcome.NotStarted:
    case CallOutcome.Unknown:
      return { error: createFailure(result, mayHaveStarted) };
  }
};

const hasFailed = ({ outcome }: CallResult): boolean =>
  outcome === CallOutcome.NotStarted || outcome === CallOutcome.Unknown;

/**
 * Creates the runner of repeatable calls, which retries within each service's budget.
 *
 * @param options - service client, retry budgets, time and random source
 * @returns a function that runs one call until it succeeds or may not be retried
 */
export const createRepeatableCallRunner = (options: RepeatableOptions): RepeatableCallRunner => {
  const { serviceClient, clock } = options;
  const getRemainingMs = (context: ServiceCallContext): number =>
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
        budget: options.retryBudgets.getBudget(service),
        nowMs: clock.getNowMs(),
        random: options.getRandom,
      },
    );

  return async (context, request, scopedKey) => {
    const { service, requestId, traceparent } = context;
    options.retryBudgets.getBudget(service).recordFirstAttempt();
    let delayMs = 0;
    let mayHaveStarted = false;
    for (let attempts = 1; ; attempts += 1) {
      const result = await serviceClient.callService({
        service,
        request,
        scopedKey,
        attemptId: toBranded(options.newId()),
        requestId,
        traceparent,
        timeoutMs: Math.max(1, getRemainingMs(context)),
        canStart: () => getRemainingMs(context) > 0,
      });
      mayHaveStarted ||= result.outcome === CallOutcome.Unknown;
      if (!hasFailed(result) || context.signal.aborted)
        return toServiceResult(result, mayHaveStarted);
      const decision = decide(context, attempts, mayHaveStarted, delayMs);
      if (decision.verdict === RetryVerdict.Stop) return toServiceResult(result, mayHaveStarted);
      ({ delayMs } = decision);
      await options.sleep(delayMs);
    }
  };
};
