import { ResultCode, RunState } from '@sardinegrade/common';

import type { OrderResult } from '@sardinegrade/orders';
import type { Execution } from './modelService.js';

/** What one request of a caller has come to. */
enum Told {
  Pending = 'pending',
  Answered = 'answered',
  NotRun = 'not_run',
  Run = 'run',
  Unknown = 'unknown',
  /** The connection broke. */
  Nothing = 'nothing',
}

/** One request as the oracle follows it. */
export interface FollowedSubmission {
  readonly scopedKey: string;
  readonly atMs: number;
  told: Told;
  /** Told that the order, not only this request, was not run. */
  isOrderRefused: boolean;
}

const TOLD_BY_RUN: Readonly<Record<RunState, Told>> = {
  [RunState.NotRun]: Told.NotRun,
  [RunState.Run]: Told.Run,
  [RunState.Unknown]: Told.Unknown,
};

/** Refusals that speak of the order, not only of the request that was refused. */
const ORDER_REFUSALS: ReadonlySet<ResultCode> = new Set([
  ResultCode.NoUpstream,
  ResultCode.DeadlineBeforeStart,
]);

/** Whether a refusal of the order contradicts an execution that was called for before the request. */
const isRefusalOf = (submission: FollowedSubmission, execution: Execution): boolean =>
  submission.isOrderRefused &&
  submission.scopedKey === execution.scopedKey &&
  execution.calledAtMs <= submission.atMs;

/** Follows what callers are told and what the service carries out, and counts contradictions. */
export class OrderOracle {
  falseNotRun = 0;
  differingAnswers = 0;
  answeredWithoutExecution = 0;
  private readonly submissions: FollowedSubmission[] = [];
  private readonly executions = new Map<string, Execution[]>();

  recordSubmission(scopedKey: string, atMs: number): FollowedSubmission {
    const submission = { scopedKey, atMs, told: Told.Pending, isOrderRefused: false };
    this.submissions.push(submission);
    return submission;
  }

  recordExecution(execution: Execution): void {
    const { scopedKey } = execution;
    const executions = this.executions.get(scopedKey) ?? [];
    this.executions.set(scopedKey, [...executions, execution]);
    // Someone must still be waiting, or must have been told that it may run.
    const isContradiction =
      this.isAllNotRun(scopedKey) ||
      this.submissions.some((submission) => isRefusalOf(submission, execution));
    if (isContradiction) this.falseNotRun += 1;
  }

  recordBrokenConnection(submission: FollowedSubmission): void {
    if (submission.told === Told.Pending) submission.told = Told.Nothing;
  }

  recordResult(submission: FollowedSubmission, result: OrderResult): void {
    if (submission.told !== Told.Pending) return;
    if ('answer' in result) {
      this.recordAnswer(submission, result.answer.body.toString());
      return;
    }
    submission.told = TOLD_BY_RUN[result.error.run];
    if (submission.told === Told.NotRun) this.checkNotRun(submission, result.error.code);
    if (submission.told === Told.Run) this.checkRun(submission);
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

  private isAllNotRun(scopedKey: string): boolean {
    for (const submission of this.submissions) {
      if (submission.scopedKey === scopedKey && submission.told !== Told.NotRun) return false;
    }
    return true;
  }

  private recordAnswer(submission: FollowedSubmission, answer: string): void {
    submission.told = Told.Answered;
    const first = this.getExecutions(submission.scopedKey)[0];
    if (first === undefined) this.answeredWithoutExecution += 1;
    else if (first.attemptId !== answer) this.differingAnswers += 1;
  }

  private checkNotRun(submission: FollowedSubmission, code: ResultCode): void {
    submission.isOrderRefused = ORDER_REFUSALS.has(code);
    const executions = this.getExecutions(submission.scopedKey);
    if (executions.length === 0) return;
    const isContradiction =
      this.isAllNotRun(submission.scopedKey) ||
      executions.some((execution) => isRefusalOf(submission, execution));
    if (isContradiction) this.falseNotRun += 1;
  }

  private checkRun({ scopedKey }: FollowedSubmission): void {
    if (this.getExecutions(scopedKey).length === 0) this.answeredWithoutExecution += 1;
  }
}
