import { ResultCode, RunState } from '@sardinegrade/common';

import type { OrderResult } from '@sardinegrade/orders';
import type { Execution } from './modelService.js';

/** Result of a request, as its caller received it. */
enum SubmissionOutcome {
  Pending = 'pending',
  Answered = 'answered',
  NotRun = 'not_run',
  Run = 'run',
  Unknown = 'unknown',
  /** The connection broke before an answer. */
  ConnectionBroken = 'nothing',
}

/** A request and the result that its caller has received so far. */
export interface TrackedSubmission {
  readonly scopedKey: string;
  /** Virtual time at which the request was sent, in milliseconds. */
  readonly atMs: number;
  outcome: SubmissionOutcome;
  /** Whether the result refuses the order itself as not run, not only this request. */
  isOrderRefused: boolean;
}

const OUTCOME_BY_RUN_STATE: Readonly<Record<RunState, SubmissionOutcome>> = {
  [RunState.NotRun]: SubmissionOutcome.NotRun,
  [RunState.Run]: SubmissionOutcome.Run,
  [RunState.Unknown]: SubmissionOutcome.Unknown,
};

/** Result codes that refuse the order itself, not only the request. */
const ORDER_REFUSALS: ReadonlySet<ResultCode> = new Set([
  ResultCode.NoUpstream,
  ResultCode.DeadlineBeforeStart,
]);

/** Whether a request was refused as not run although the service was called, before that request, for the given execution of its order. */
const isContradictedRefusal = (submission: TrackedSubmission, execution: Execution): boolean =>
  submission.isOrderRefused &&
  submission.scopedKey === execution.scopedKey &&
  execution.calledAtMs <= submission.atMs;

/** Compares the results that callers receive with the executions at the service, and counts contradictions. */
export class OrderOracle {
  falseNotRun = 0;
  differingAnswers = 0;
  answeredWithoutExecution = 0;
  private readonly submissions: TrackedSubmission[] = [];
  private readonly executions = new Map<string, Execution[]>();

  recordSubmission(scopedKey: string, atMs: number): TrackedSubmission {
    const submission = {
      scopedKey,
      atMs,
      outcome: SubmissionOutcome.Pending,
      isOrderRefused: false,
    };
    this.submissions.push(submission);
    return submission;
  }

  recordExecution(execution: Execution): void {
    const { scopedKey } = execution;
    const executions = this.executions.get(scopedKey) ?? [];
    this.executions.set(scopedKey, [...executions, execution]);
    // At least one request must be pending, or have ended with a result other than "not run".
    const isContradiction =
      this.isEverySubmissionNotRun(scopedKey) ||
      this.submissions.some((submission) => isContradictedRefusal(submission, execution));
    if (isContradiction) this.falseNotRun += 1;
  }

  recordBrokenConnection(submission: TrackedSubmission): void {
    if (submission.outcome === SubmissionOutcome.Pending)
      submission.outcome = SubmissionOutcome.ConnectionBroken;
  }

  recordResult(submission: TrackedSubmission, result: OrderResult): void {
    if (submission.outcome !== SubmissionOutcome.Pending) return;
    if ('answer' in result) {
      this.recordAnswer(submission, result.answer.body.toString());
      return;
    }
    submission.outcome = OUTCOME_BY_RUN_STATE[result.error.run];
    if (submission.outcome === SubmissionOutcome.NotRun)
      this.checkNotRun(submission, result.error.code);
    if (submission.outcome === SubmissionOutcome.Run) this.checkRun(submission);
  }

  getExecutions(scopedKey: string): readonly Execution[] {
    return this.executions.get(scopedKey) ?? [];
  }

  listKeys(): ReadonlySet<string> {
    return new Set(this.submissions.map(({ scopedKey }) => scopedKey));
  }

  countSubmissions(): number {
    return this.submissions.length;
  }

  countRunTwice(): number {
    let count = 0;
    for (const executions of this.executions.values()) count += executions.length > 1 ? 1 : 0;
    return count;
  }

  private isEverySubmissionNotRun(scopedKey: string): boolean {
    for (const submission of this.submissions) {
      if (submission.scopedKey === scopedKey && submission.outcome !== SubmissionOutcome.NotRun)
        return false;
    }
    return true;
  }

  private recordAnswer(submission: TrackedSubmission, answer: string): void {
    submission.outcome = SubmissionOutcome.Answered;
    const first = this.getExecutions(submission.scopedKey)[0];
    if (first === undefined) this.answeredWithoutExecution += 1;
    else if (first.attemptId !== answer) this.differingAnswers += 1;
  }

  private checkNotRun(submission: TrackedSubmission, code: ResultCode): void {
    submission.isOrderRefused = ORDER_REFUSALS.has(code);
    const executions = this.getExecutions(submission.scopedKey);
    if (executions.length === 0) return;
    const isContradiction =
      this.isEverySubmissionNotRun(submission.scopedKey) ||
      executions.some((execution) => isContradictedRefusal(submission, execution));
    if (isContradiction) this.falseNotRun += 1;
  }

  private checkRun({ scopedKey }: TrackedSubmission): void {
    if (this.getExecutions(scopedKey).length === 0) this.answeredWithoutExecution += 1;
  }
}
