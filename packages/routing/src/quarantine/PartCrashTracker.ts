import { ChangeSchedule } from '../sharing/index.js';
import { listRefusedParts, MIN_CRASHES_TO_REFUSE } from './listRefusedParts.js';

import type { PartId, PromptPart } from '../placement/index.js';
import type { SuspectPart } from './listRefusedParts.js';
import type { PartEvidence, RefusedPart } from './types.js';

/** Time after the last crash in which evidence about a part is kept, in milliseconds. */
const EVIDENCE_LIFETIME_MS = 1_200_000;

/** The same for a part whose crashes are all cleared: other VMs have to learn that they are. */
const CLEARED_LIFETIME_MS = 30_000;

/** Maximum number of parts with evidence; the oldest are removed first. */
const MAX_PARTS = 1_024;

/** Maximum number of crashes per part; the oldest are removed first. */
export const MAX_CRASHES_PER_PART = 8;

/** Time in which an answer on a part counts as recent, in milliseconds, and the number of parts remembered. */
const RECENT_ANSWER_MS = 30_000;
const MAX_ANSWERED_PARTS = 4_096;

/** Time after a trial in which its result is awaited before another one, in milliseconds. */
const TRIAL_RESULT_MS = 5_000;

interface CrashRecord {
  readonly atMs: number;
  readonly isCleared: boolean;
}

interface PartRecord {
  readonly depth: number;
  readonly wasAnswered: boolean;
  readonly crashes: ReadonlyMap<number, CrashRecord>;
}

/** Parts of a prompt, in order; the last one belongs to its request only. */
export type PromptParts = readonly PromptPart[];

const listShared = (parts: PromptParts): readonly PromptPart[] => parts.slice(0, -1);

const isSuspect = ({ crashes }: PartRecord): boolean =>
  [...crashes.values()].some(({ isCleared }) => !isCleared);

const findLastCrashMs = ({ crashes }: PartRecord): number =>
  Math.max(...[...crashes.values()].map(({ atMs }) => atMs));

const mergeCrashes = (
  first: ReadonlyMap<number, CrashRecord>,
  second: ReadonlyMap<number, CrashRecord>,
): ReadonlyMap<number, CrashRecord> => {
  const merged = new Map(first);
  for (const [instance, crash] of second) {
    const known = merged.get(instance);
    merged.set(instance, {
      atMs: Math.min(crash.atMs, known?.atMs ?? crash.atMs),
      isCleared: crash.isCleared || known?.isCleared === true,
    });
  }
  const newest = [...merged].sort(([, a], [, b]) => b.atMs - a.atMs);
  return new Map(newest.slice(0, MAX_CRASHES_PER_PART));
};

/** Whether a record says anything that another one does not; the times of a crash may differ. */
const hasNews = (record: PartRecord, known: PartRecord | undefined): boolean => {
  if (known === undefined) return true;
  if (record.depth > known.depth || (record.wasAnswered && !known.wasAnswered)) return true;
  for (const [instance, { isCleared }] of record.crashes) {
    const crash = known.crashes.get(instance);
    if (crash === undefined || (isCleared && !crash.isCleared)) return true;
  }
  return false;
};

/**
 * Tracks which prompt parts crash workers. Evidence is a set of crashes per part, to which answers and other VMs only
 * add, so messages may be lost, repeated and reordered.
 *
 * Load pattern: requests of which no two are alike share a part that crashes each worker that begins to answer them.
 */
export class PartCrashTracker {
  readonly #records = new Map<PartId, PartRecord>();
  /** When answers on a part last began, least recent first. */
  readonly #answeredAtMs = new Map<PartId, number>();
  readonly #trialAtMs = new Map<PartId, number>();
  readonly #changes = new ChangeSchedule<PartId>();
  #refused: ReadonlyMap<PartId, RefusedPart> = new Map();

  /** Parts whose requests are refused. */
  get refused(): ReadonlyMap<PartId, RefusedPart> {
    return this.#refused;
  }

  /** Number of parts on which answers are remembered. */
  get answeredCount(): number {
    return this.#answeredAtMs.size;
  }

  /** Whether a change has not been sent in enough messages yet. */
  get hasUnsent(): boolean {
    return this.#changes.hasUnsent;
  }

  /**
   * Records that a worker instance ended while a prompt waited for its first event there.
   *
   * @param parts - parts of the prompt; the last one belongs to the request only and is ignored
   * @param instance - hash of the id of the worker instance
   * @param nowMs - current time, in milliseconds
   */
  recordCrash(parts: PromptParts, instance: number, nowMs: number): void {
    for (const [depth, { id }] of listShared(parts).entries()) {
      const crashes = new Map([[instance, { atMs: nowMs, isCleared: false }]]);
      this.#merge(id, { depth, wasAnswered: false, crashes }, nowMs);
    }
    this.#update(nowMs);
  }

  /**
   * Records that an answer has begun, which clears the parts of its prompt of the crashes known so far.
   *
   * @param parts - parts of the prompt
   * @param nowMs - current time, in milliseconds
   */
  recordAnswer(parts: PromptParts, nowMs: number): void {
    let isChanged = false;
    for (const { id } of listShared(parts)) {
      this.#answeredAtMs.delete(id);
      this.#answeredAtMs.set(id, nowMs);
      const record = this.#records.get(id);
      if (record === undefined || !isSuspect(record)) continue;
      const crashes = new Map(
        [...record.crashes].map(([instance, { atMs }]) => [instance, { atMs, isCleared: true }]),
      );
      this.#records.set(id, { ...record, crashes });
      this.#changes.markChanged(id);
      isChanged = true;
    }
    for (const oldest of this.#answeredAtMs.keys()) {
      if (this.#answeredAtMs.size <= MAX_ANSWERED_PARTS) break;
      this.#answeredAtMs.delete(oldest);
    }
    if (isChanged) this.#update(nowMs);
  }

  /**
   * Adds evidence of another VM.
   *
   * @param evidence - the received evidence
   * @param nowMs - current time, in milliseconds
   */
  addEvidence(evidence: readonly PartEvidence[], nowMs: number): void {
    let isChanged = false;
    for (const { part, depth, wasAnswered, crashes } of evidence) {
      const received = new Map(
        crashes.map(({ instance, ageMs, isCleared }) => [
          instance,
          { atMs: nowMs - ageMs, isCleared },
        ]),
      );
      const record = { depth, wasAnswered, crashes: received };
      isChanged = this.#merge(part, record, nowMs) || isChanged;
      if (this.#isClearedSince(part, record)) this.#changes.markChanged(part);
    }
    if (isChanged) this.#update(nowMs);
  }

  /**
   * Collects the evidence for the next message to other VMs: recent changes, and at intervals everything that is suspect.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the evidence, mostly empty
   */
  collectUnsent(nowMs: number): readonly PartEvidence[] {
    const keys = this.#changes.collect(nowMs, () => this.#listSuspects().map(([part]) => part));
    return keys.flatMap((part) => {
      const record = this.#records.get(part);
      return record === undefined ? [] : [this.#toEvidence([part, record], nowMs)];
    });
  }

  /**
   * Lists all evidence, for a VM that has just started. Cleared crashes are part of it: the VM may hear of them again from
   * one that has missed the answer.
   *
   * @param nowMs - current time, in milliseconds
   * @returns evidence about the parts: refused ones first, then other suspects, then cleared ones
   */
  listEvidence(nowMs: number): readonly PartEvidence[] {
    const suspects = this.#listSuspects();
    const refused = suspects.filter(([part]) => this.#refused.has(part));
    const others = suspects.filter(([part]) => !this.#refused.has(part));
    const cleared = [...this.#records].filter(([, record]) => !isSuspect(record));
    return [...refused, ...others, ...cleared].map((entry) => this.#toEvidence(entry, nowMs));
  }

  /**
   * Finds the part because of which a request is refused.
   *
   * @param parts - parts of its prompt
   * @param nowMs - current time, in milliseconds
   * @param isTrialVm - whether this VM sends the first trial of a part
   * @returns the part, or undefined if the request may be sent
   */
  findRefused(
    parts: PromptParts,
    nowMs: number,
    isTrialVm: (part: PartId) => boolean,
  ): RefusedPart | undefined {
    if (this.#refused.size === 0) return undefined;
    for (const { id } of listShared(parts)) {
      const refused = this.#refused.get(id);
      if (refused === undefined || this.#canTry(refused, nowMs, isTrialVm)) continue;
      return refused;
    }
    return undefined;
  }

  /** Records that a request is sent, which is a trial of the refused parts of its prompt. */
  recordSend(parts: PromptParts, nowMs: number): void {
    if (this.#refused.size === 0) return;
    for (const { id } of listShared(parts)) {
      if (this.#refused.has(id)) this.#trialAtMs.set(id, nowMs);
    }
  }

  /** Whether a crash is known as cleared that a received record does not name as such: its sender has missed an answer. */
  #isClearedSince(part: PartId, received: PartRecord): boolean {
    const known = this.#records.get(part)?.crashes;
    return [...received.crashes].some(
      ([instance, { isCleared }]) => !isCleared && known?.get(instance)?.isCleared === true,
    );
  }

  #canTry(
    { part, trialAtMs, openTrialAtMs }: RefusedPart,
    nowMs: number,
    isTrialVm: (part: PartId) => boolean,
  ): boolean {
    if (nowMs < trialAtMs) return false;
    const lastTrialMs = this.#trialAtMs.get(part) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastTrialMs < TRIAL_RESULT_MS) return false;
    return nowMs >= openTrialAtMs || isTrialVm(part);
  }

  /** Adds to the record of a part. Returns whether it contained anything new. */
  #merge(part: PartId, received: PartRecord, nowMs: number): boolean {
    const known = this.#records.get(part);
    const answeredAtMs = this.#answeredAtMs.get(part) ?? Number.NEGATIVE_INFINITY;
    const record: PartRecord = {
      depth: Math.max(received.depth, known?.depth ?? 0),
      wasAnswered:
        received.wasAnswered ||
        known?.wasAnswered === true ||
        (known === undefined && nowMs - answeredAtMs < RECENT_ANSWER_MS),
      crashes: mergeCrashes(known?.crashes ?? new Map(), received.crashes),
    };
    if (!hasNews(record, known)) return false;
    this.#records.set(part, record);
    this.#changes.markChanged(part);
    return true;
  }

  #update(nowMs: number): void {
    for (const [part, record] of this.#records) {
      const lifetimeMs = isSuspect(record) ? EVIDENCE_LIFETIME_MS : CLEARED_LIFETIME_MS;
      if (nowMs - findLastCrashMs(record) > lifetimeMs) this.#remove(part);
    }
    for (const part of this.#records.keys()) {
      if (this.#records.size <= MAX_PARTS) break;
      this.#remove(part);
    }
    const suspects: SuspectPart[] = [];
    for (const [part, { depth, wasAnswered, crashes }] of this.#records) {
      if (crashes.size < MIN_CRASHES_TO_REFUSE) continue;
      const uncleared = [...crashes].filter(([, { isCleared }]) => !isCleared);
      const crashedAtMs = new Map(uncleared.map(([instance, { atMs }]) => [instance, atMs]));
      suspects.push({ part, depth, wasAnswered, crashedAtMs });
    }
    this.#refused = new Map(listRefusedParts(suspects).map((refused) => [refused.part, refused]));
    for (const part of this.#trialAtMs.keys()) {
      if (!this.#refused.has(part)) this.#trialAtMs.delete(part);
    }
  }

  #remove(part: PartId): void {
    this.#records.delete(part);
    this.#changes.remove(part);
  }

  #listSuspects(): readonly (readonly [PartId, PartRecord])[] {
    return [...this.#records].filter(([, record]) => isSuspect(record));
  }

  #toEvidence([part, record]: readonly [PartId, PartRecord], nowMs: number): PartEvidence {
    const { depth, wasAnswered, crashes } = record;
    return {
      part,
      depth,
      wasAnswered,
      crashes: [...crashes].map(([instance, { atMs, isCleared }]) => ({
        instance,
        ageMs: Math.max(0, nowMs - atMs),
        isCleared,
      })),
    };
  }
}
