import { checkBrittleness, describeBrittleness } from './checkBrittleness.js';
import { checkCrashes, describeCrashes } from './checkCrashes.js';
import { checkCuts, describeCuts } from './checkCuts.js';
import { checkLeaving, describeLeaving } from './checkLeaving.js';
import { checkOddEntries, describeOddEntries } from './checkOddEntries.js';
import { checkRefusals, describeRefusals } from './checkRefusals.js';
import { checkSilences, describeSilences } from './checkSilences.js';

import type { BrittlePeriod } from './checkBrittleness.js';
import type { CrashRecord } from './checkCrashes.js';
import type { CutPeriod } from './checkCuts.js';
import type { LeavingStart } from './checkLeaving.js';
import type { OddPeriod } from './checkOddEntries.js';
import type { RefusalRecord } from './checkRefusals.js';
import type { SilentPeriod } from './checkSilences.js';

/** One execution of a request at a worker. */
export interface RunRecord {
  readonly id: string;
  readonly worker: string;
  readonly atMs: number;
  readonly remainingMs: number;
  readonly isResumed: boolean;
}

/** First part of a stream, and the request that received it. */
export interface StreamPart {
  readonly id: string;
  readonly body: string;
}

/** The answer that a caller received to one request. */
export interface AnswerRecord {
  readonly id: string;
  readonly kind: RequestKind;
  readonly vm: string;
  /** How often the process of the VM had been started when the request was sent. */
  readonly vmStartCount: number;
  /**
   * Configuration version that introduced the API key of the request. Only this and the next
   * version contain it; 0 if all do.
   */
  readonly keyVersion: number;
  readonly sentAtMs: number;
  /** When the head of the answer arrived; undefined if none did. */
  readonly headAtMs: number | undefined;
  readonly endedAtMs: number;
  readonly deadlineMs: number;
  /** HTTP status; 0 if the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  /** What the caller received of the stream before it resumed it; undefined if it did not. */
  readonly earlier?: StreamPart | undefined;
  /** The header X-Response-Seal of the answer, which names the worker that set it; undefined if it has none. */
  readonly seal: string | undefined;
  /** Whether the whole HTTP response arrived. */
  readonly isComplete: boolean;
  /** Whether neither the VM nor the store had a fault within the stable window before the request was sent. */
  readonly isInTouch: boolean;
  /** Whether the process of the VM ran without a start or a signal from the stable window before the request to its end. */
  readonly isVmUndisturbed: boolean;
  /** Whether workers, links and the store had no fault from the stable window before the request to its end. */
  readonly wasStable: boolean;
  /** Whether a VM that reaches the workers was free of faults from the stable window before the request to its end. */
  readonly hasReferenceVm: boolean;
  /**
   * Whether the VM received SIGTERM, while neither the VM nor the workers, links or store had another
   * fault within the stable window.
   */
  readonly isPlannedShutdown: boolean;
}

/** Kinds of request that the soak sends; the values are the first segments of their paths. */
export enum RequestKind {
  Safe = 'safe',
  Unsafe = 'unsafe',
  /** Streams that may not be resumed. */
  Stream = 'stream-once',
  Resumable = 'stream-resumable',
}

/** A violation of one of the rules that the ledger checks. */
export interface Violation {
  readonly rule: string;
  readonly requestId: string;
  readonly detail: string;
}

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Tolerance for rounding, in milliseconds. Worker and caller share one clock, so the remaining time of a deadline cannot
 * grow on the way.
 */
const DEADLINE_SLACK_MS = 5;

/**
 * Maximum time between the acknowledgement of a drain and the last new request at the worker, in
 * milliseconds; a requirement of the host platform's operators.
 */
const DRAIN_LIMIT_MS = 2_000;

/**
 * Maximum time between the acknowledgement of a configuration and its use at each VM that is in touch, in milliseconds; a
 * requirement of the host platform's operators.
 */
const CONFIGURATION_LIMIT_MS = 2_000;

const INVALID_KEY_STATUS = 401;

/**
 * Limits on the retries of all VMs together within a window: a share of the requests, plus a fixed number;
 * a requirement of the host platform's operators.
 */
const BUDGET_WINDOW_MS = 10_000;
const BUDGET_SHARE = 0.2;
const BUDGET_SLACK = 54;

/** Time after a limit was named from which the rule counts, in milliseconds: the stable window. */
const STABLE_MS = 3_000;

/** Length of the windows in which requests to a limited worker are counted, in milliseconds. */
const LIMIT_WINDOW_MS = 4_000;

/** Requests in a window beyond one and a half times the limit. */
const LIMIT_SLACK = 5;

/** Time in which a worker names a limit, in milliseconds of the monotonic clock. */
export interface LimitPeriod {
  readonly worker: string;
  readonly perSecond: number;
  readonly startMs: number;
  readonly endMs: number;
}

const describeRuns = (runs: readonly RunRecord[]): string =>
  runs.map(({ worker, atMs }) => `${worker} (${Math.round(atMs)} ms)`).join(', ');

/** Records what workers executed and callers received, and checks the rules between the two. */
export class SoakLedger {
  readonly #runs = new Map<string, RunRecord[]>();
  readonly #answers: AnswerRecord[] = [];
  readonly #drainedAtMs = new Map<string, number>();
  readonly #versionAtMs = new Map<number, number>();

  readonly #crashes: CrashRecord[] = [];

  /** Records that a prompt part crashes a worker, and whether any VM is in touch. */
  recordCrash(part: string, atMs = performance.now(), isVmInTouch = true): void {
    this.#crashes.push({ part, atMs, isVmInTouch });
  }

  readonly #limits: LimitPeriod[] = [];

  /** Records that a worker has named a limit for some time. */
  recordLimit(period: LimitPeriod): void {
    this.#limits.push(period);
  }

  readonly #cuts: CutPeriod[] = [];

  /** Records that some VMs were cut off from all workers for some time. */
  recordCut(period: CutPeriod): void {
    this.#cuts.push(period);
  }

  readonly #silences: SilentPeriod[] = [];

  /** Records that a sound worker said nothing for some time. */
  recordSilence(period: SilentPeriod): void {
    this.#silences.push(period);
  }

  readonly #leaving: LeavingStart[] = [];

  /** Records that a worker says from now on that it is leaving. */
  recordLeaving(start: LeavingStart): void {
    this.#leaving.push(start);
  }

  readonly #refusals: RefusalRecord[] = [];

  /** Records that a worker refused a request and named a time after which to try again. */
  recordRefusal(refusal: RefusalRecord): void {
    this.#refusals.push(refusal);
  }

  /** Records that the answer to a refused request was passed on to the VM. */
  recordPassedRefusal(id: string, worker: string, passedAtMs: number): void {
    const index = this.#refusals.findLastIndex(
      (refusal) => refusal.id === id && refusal.worker === worker,
    );
    const refusal = this.#refusals[index];
    if (refusal !== undefined) this.#refusals[index] = { ...refusal, passedAtMs };
  }

  readonly #brittlePeriods: BrittlePeriod[] = [];

  /** Records that workers were brittle for some time. */
  recordBrittleness(period: BrittlePeriod): void {
    this.#brittlePeriods.push(period);
  }

  readonly #oddPeriods: OddPeriod[] = [];

  /** Records that an odd entry stood among those of the workers for some time. */
  recordOddEntry(period: OddPeriod): void {
    this.#oddPeriods.push(period);
  }

  recordRun(run: RunRecord): void {
    this.#runs.set(run.id, [...(this.#runs.get(run.id) ?? []), run]);
  }

  recordAnswer(answer: AnswerRecord): void {
    this.#answers.push(answer);
  }

  /** Records that the store acknowledges a version of the configuration now. */
  recordVersion(version: number): void {
    this.#versionAtMs.set(version, performance.now());
  }

  /** Records that the store acknowledged the drain of a worker, at a time without store faults. */
  recordDrain(worker: string): void {
    this.#drainedAtMs.set(worker, performance.now());
  }

  /**
   * Removes drains that a fault starting now may keep from reaching all VMs. Drains older than DRAIN_LIMIT_MS have already
   * reached them and stay.
   */
  clearDrains(): void {
    const nowMs = performance.now();
    for (const [worker, atMs] of this.#drainedAtMs) {
      if (nowMs - atMs < DRAIN_LIMIT_MS) this.#drainedAtMs.delete(worker);
    }
  }

  /** Finds the answer to a request; undefined if its caller has none. */
  findAnswer(requestId: string): AnswerRecord | undefined {
    return this.#answers.find(({ id }) => id === requestId);
  }

  /** Counts answers by status. */
  countStatuses(): ReadonlyMap<number, number> {
    const counts = new Map<number, number>();
    for (const { status } of this.#answers) counts.set(status, (counts.get(status) ?? 0) + 1);
    return counts;
  }

  /** Describes what the rules about single faults have counted, one line each. */
  describeCounts(): readonly string[] {
    return [
      ...describeCrashes(this.#crashes),
      ...describeCuts(this.#answers, this.#cuts),
      ...describeSilences(this.#answers, this.#runs, this.#silences),
      ...describeLeaving(this.#answers, this.#runs, this.#leaving),
      ...describeRefusals(this.#answers, this.#runs, this.#refusals),
      ...describeBrittleness(this.#brittlePeriods),
      ...describeOddEntries(this.#answers, this.#oddPeriods),
    ];
  }

  /** Checks all rules against the recorded runs and answers. */
  listViolations(): readonly Violation[] {
    return [
      ...this.#answers.flatMap((answer) => this.#checkAnswer(answer)),
      ...this.#checkDrains(),
      ...this.#checkVersions(),
      ...this.#checkLateVersions(),
      ...this.#checkRetryBudget(),
      ...checkCrashes(this.#crashes),
      ...this.#checkLimits(),
      ...checkCuts(this.#answers, this.#cuts),
      ...checkSilences(this.#answers, this.#runs, this.#silences),
      ...checkLeaving(this.#answers, this.#runs, this.#leaving),
      ...checkRefusals(this.#answers, this.#runs, this.#refusals),
      ...checkBrittleness(this.#brittlePeriods),
      ...checkOddEntries(this.#answers, this.#oddPeriods),
    ];
  }

  #checkAnswer(answer: AnswerRecord): readonly Violation[] {
    const runs = this.#runs.get(answer.id) ?? [];
    const violations: Violation[] = [];
    const report = (rule: string, detail: string): void => {
      violations.push({
        rule,
        requestId: answer.id,
        detail: `${answer.kind} at ${answer.vm}, start ${answer.vmStartCount}: ${detail}`,
      });
    };
    const isAtMostOnce = answer.kind === RequestKind.Unsafe || answer.kind === RequestKind.Stream;
    if (isAtMostOnce && runs.length > 1) report('at most once', `ran at ${describeRuns(runs)}`);
    if (isAtMostOnce && NOT_RUN_STATUSES.has(answer.status) && runs.length > 0) {
      report('true refusals', `answered ${answer.status}, but ran at ${runs[0]?.worker ?? ''}`);
    }
    if (answer.status === 200) this.#checkSuccess(answer, report);
    const longestRemainingMs = Math.max(0, ...runs.map(({ remainingMs }) => remainingMs));
    if (longestRemainingMs > answer.deadlineMs + DEADLINE_SLACK_MS) {
      report('deadlines', `a worker was given ${longestRemainingMs} ms of ${answer.deadlineMs}`);
    }
    if (answer.isPlannedShutdown && answer.status === 0 && runs.length > 0) {
      report('nothing cut around planned work', 'the connection ended without an answer');
    }
    return violations;
  }

  #checkSuccess(answer: AnswerRecord, report: (rule: string, detail: string) => void): void {
    if (answer.seal === undefined) report('whole and own answers', 'a success without a seal');
    const isStream = answer.kind === RequestKind.Stream || answer.kind === RequestKind.Resumable;
    if (!isStream) {
      if (answer.isComplete && answer.body !== `answer to ${answer.id}`) {
        report('whole and own answers', `the body is '${answer.body.slice(0, 60)}'`);
      }
      return;
    }
    const body = `${answer.earlier?.body ?? ''}${answer.body}`;
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    if (ids.some((id, index) => id !== index + 1)) report('order of streams', ids.join(' '));
    if (answer.isComplete && ids.length !== STREAM_LENGTH) {
      report('whole and own answers', `a stream of ${ids.length} events looks whole`);
    }
    const requests = [answer.id, answer.earlier?.id];
    const hasForeignEvents = [...body.matchAll(/^data: (.*)$/gm)].some(
      ([, id]) => !requests.includes(id),
    );
    const versions = new Set([...body.matchAll(/^event: (.*)$/gm)].map(([, version]) => version));
    if (versions.size > 1) report('one version a stream', [...versions].join(' '));
    if (hasForeignEvents) report('whole and own answers', 'events of another request');
  }

  /**
   * Checks that a VM that accepted the key of a newer configuration does not later accept one that
   * this configuration lacks.
   */
  #checkVersions(): readonly Violation[] {
    const newest = new Map<string, { readonly version: number; readonly atMs: number }>();
    const violations: Violation[] = [];
    const accepted = this.#answers.filter(
      ({ status, keyVersion }) => status === 200 && keyVersion > 0,
    );
    for (const answer of accepted.sort((left, right) => left.sentAtMs - right.sentAtMs)) {
      const vmProcess = `${answer.vm}/${answer.vmStartCount}`;
      const newestKnown = newest.get(vmProcess);
      // Each key is contained in the version that introduces it and in the next one.
      const isRegression =
        newestKnown !== undefined &&
        answer.keyVersion < newestKnown.version - 1 &&
        answer.sentAtMs > newestKnown.atMs;
      if (isRegression) {
        const detail = `${answer.vm} took a key of ${answer.keyVersion} after one of ${newestKnown.version}`;
        violations.push({ rule: 'version never back', requestId: answer.id, detail });
      }
      if (newestKnown === undefined || answer.keyVersion > newestKnown.version) {
        newest.set(vmProcess, { version: answer.keyVersion, atMs: answer.endedAtMs });
      }
    }
    return violations;
  }

  /**
   * Checks that a VM in touch neither accepts a key that the newest configuration lacks, nor refuses one that it contains,
   * once the time limit after its acknowledgement has passed.
   */
  #checkLateVersions(): readonly Violation[] {
    const isOverdue = (version: number, sentAtMs: number): boolean => {
      const writtenAtMs = this.#versionAtMs.get(version);
      return writtenAtMs !== undefined && sentAtMs > writtenAtMs + CONFIGURATION_LIMIT_MS;
    };
    return this.#answers.flatMap(
      ({ id, vm, status, keyVersion, sentAtMs, endedAtMs, isInTouch }) => {
        if (!isInTouch || keyVersion === 0) return [];
        const withoutKeyAtMs = this.#versionAtMs.get(keyVersion + 2) ?? Infinity;
        const isAcceptedLate = status === 200 && isOverdue(keyVersion + 2, sentAtMs);
        const isRefusedLate =
          status === INVALID_KEY_STATUS &&
          isOverdue(keyVersion, sentAtMs) &&
          endedAtMs < withoutKeyAtMs;
        if (!isAcceptedLate && !isRefusedLate) return [];
        const detail = `${vm} answered ${status} for the key of version ${keyVersion}, by an older version`;
        return [{ rule: 'version in force', requestId: id, detail }];
      },
    );
  }

  /**
   * Reports the first window with more retries than the budget for the requests sent in this
   * window and the previous one.
   */
  #checkRetryBudget(): readonly Violation[] {
    const retries = [...this.#runs.values()]
      .flatMap((runs) => runs.slice(1))
      .sort((left, right) => left.atMs - right.atMs);
    for (const [index, { id, atMs }] of retries.entries()) {
      const isInWindow = (otherMs: number, windows: number): boolean =>
        otherMs <= atMs && otherMs > atMs - windows * BUDGET_WINDOW_MS;
      const count = retries.slice(0, index + 1).filter((run) => isInWindow(run.atMs, 1)).length;
      if (count <= BUDGET_SLACK) continue;
      const requests = this.#answers.filter(({ sentAtMs }) => isInWindow(sentAtMs, 2)).length;
      if (count <= BUDGET_SLACK + BUDGET_SHARE * requests) continue;
      const detail = `${count} repeats within ${BUDGET_WINDOW_MS} ms for ${requests} requests`;
      return [{ rule: 'retry budget', requestId: id, detail }];
    }
    return [];
  }

  /** Reports workers that got more requests than the limit that they had named. */
  #checkLimits(): readonly Violation[] {
    return this.#limits.flatMap(({ worker, perSecond, startMs, endMs }) => {
      const times = [...this.#runs.values()]
        .flat()
        .filter((run) => run.worker === worker)
        .map(({ atMs }) => atMs)
        .filter((atMs) => atMs >= startMs + STABLE_MS && atMs < endMs);
      const counts = times.map(
        (fromMs) =>
          times.filter((atMs) => atMs >= fromMs && atMs < fromMs + LIMIT_WINDOW_MS).length,
      );
      const worst = Math.max(0, ...counts);
      const allowed = (1.5 * perSecond * LIMIT_WINDOW_MS) / 1_000 + LIMIT_SLACK;
      if (worst <= allowed) return [];
      const detail = `${worker} got ${worst} requests in ${LIMIT_WINDOW_MS} ms at a limit of ${perSecond} a second`;
      return [{ rule: 'limits of workers', requestId: '-', detail }];
    });
  }

  #checkDrains(): readonly Violation[] {
    return [...this.#runs.values()].flat().flatMap(({ id, worker, atMs }) => {
      const drainedAtMs = this.#drainedAtMs.get(worker);
      if (drainedAtMs === undefined || atMs <= drainedAtMs + DRAIN_LIMIT_MS) return [];
      const detail = `reached ${worker} ${Math.round(atMs - drainedAtMs)} ms after it drained`;
      return [{ rule: 'drain', requestId: id, detail }];
    });
  }
}

/** Number of events in a complete stream, as sent by workers. */
export const STREAM_LENGTH = 12;
