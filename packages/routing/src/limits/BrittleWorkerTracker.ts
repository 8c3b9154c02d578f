import { rankByRendezvous } from '@sardinegrade/common';

import { ChangeSchedule } from '../sharing/index.js';
import { LimitHeader } from './types.js';

import type { RandomSource } from '@sardinegrade/dispatch';
import type { BrittleReport, NamedLimit } from './types.js';
import type { LimitChange, LimitFleet } from './WorkerLimitTracker.js';

/** What is known of a worker instance. */
interface BrittleRecord {
  /** Rejections a second that it survives; undefined if it does not say that it is brittle. */
  readonly perSecond: number | undefined;
  /** When an answer last showed this, in milliseconds; -Infinity if it is only suspected. */
  readonly seenAtMs: number;
  /** When it became known, in milliseconds. */
  readonly knownAtMs: number;
  /** When the worker last rejected a request of any VM, in milliseconds. */
  rejectedAtMs: number;
  /** Number of slots that were left unused after that. */
  withheld: number;
  /** Until when this VM sends nothing to the worker, in milliseconds. */
  pausedUntilMs: number;
  /** Rank of this VM among the VMs that share the slots, their number, and when both were determined. */
  rank: number;
  vms: number;
  rankedAtMs: number;
  /** Number of requests beyond the share that this VM may send, and when it was determined. */
  extra: number;
  extraAtMs: number;
  /** Moving average of the share of intervals in which this VM had more requests than its share allows. */
  needShare: number;
  /** Moving average of the share of free slots when this VM had such requests. */
  freeShare: number;
}

/** A worker and its load when a request is placed. */
export interface BrittleWorkerLoad {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  /** Number of requests that it runs at once, according to its registration. */
  readonly slots: number;
  /** Requests of this VM that it has. */
  readonly ownRuns: number;
  /** Requests of the other VMs that it has, according to their last reports. */
  readonly peerRuns: number;
}

/** An answer of a worker, as far as brittleness is concerned. */
export interface BrittleAnswer {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  readonly brittleness: NamedLimit;
  /** Whether the worker had no room for the request. */
  readonly isRejected: boolean;
  /** When its request was sent, in milliseconds. */
  readonly sentAtMs: number;
}

const MS_PER_SECOND = 1_000;

/** Time without an answer of the worker after which it is forgotten, in milliseconds. */
const RECORD_LIFETIME_MS = 600_000;

/** Interval at which the ranks of the VMs are determined again, in milliseconds. */
const RANK_INTERVAL_MS = 1_000;

/** Share of the slots that is left unused after a rejection; one slot at least. */
const WITHHELD_SHARE = 1 / 16;

/** Time without a rejection after which one step of the unused slots is used again, in milliseconds. */
const RESTORE_INTERVAL_MS = 1_000;

/**
 * Time after a rejection in which VMs keep to their shares, in milliseconds, if a worker survives one rejection a second;
 * it is shorter for workers that survive more. In the same time after it, the extra requests increase to their full number.
 */
const STRICT_MS = 4_000;
const MIN_STRICT_MS = 1_000;

/** Rejections a second from which on VMs send all extra requests; in proportion fewer to workers that survive fewer. */
const FULL_REJECTIONS = 4;

/**
 * Average share of free slots up to which VMs keep to their shares, from which on they send all extra requests, and at
 * which more VMs may send one at once: most of what reports show as free at a busy worker is in use again.
 */
const BUSY_FREE_SHARE = 0.3;
const CALM_FREE_SHARE = 0.65;
const IDLE_FREE_SHARE = 0.9;

/** Weight of one interval in the average of the share of free slots. */
const FREE_WEIGHT = 0.5;

/** Difference up to which two times are those of one rejection, in milliseconds: ages do not include the way of a message. */
const SAME_REJECTION_MS = 250;

/** Interval at which a VM may use free slots beyond its share, in milliseconds: a report through relays is as old. */
const EXTRA_INTERVAL_MS = 150;

/**
 * Extra requests of all VMs in one interval, as a share of the free slots: if the VMs that usually have such requests send
 * them, if every VM does suddenly, and of each VM at an idle worker.
 */
const EXTRA_SHARE = 0.35;
const BURST_SHARE = 1.5;
const IDLE_SHARE = 0.1;

/** Weight of one interval in the average of a VM's need. */
const NEED_WEIGHT = 0.05;

/** Pause of a VM after a rejection, as a multiple of the time in which its share allows one, and its maximum. */
const PAUSE_FACTOR = 2;
const MAX_PAUSE_MS = 2_000;

/**
 * Time in which all workers of a service have said that they are brittle, in milliseconds. One that becomes known later
 * has started, perhaps after it fell over, and VMs begin with their shares.
 */
const NAMING_MS = 1_000;

/** Assumed number of VMs until the others are known. */
const UNKNOWN_FLEET_VMS = 100;

/**
 * Tracks the workers that say that they are brittle: they fall over if they have to reject more than a number of requests
 * in a second. The VMs share the slots of such a worker, so that their requests find room.
 *
 * Load pattern: more requests than the workers run at once, while these let fewer wait. Each rejected request was sent to
 * the next worker, which fell over as well, and a restarted worker received the requests of all VMs at once.
 */
export class BrittleWorkerTracker {
  readonly #records = new Map<number, BrittleRecord>();
  readonly #changes = new ChangeSchedule<number>();

  /**
   * @param getFleet - returns the VMs that share the workers; undefined until they are known
   * @param random - selects the VMs that use free slots beyond their shares
   */
  constructor(
    private readonly getFleet: () => LimitFleet | undefined,
    private readonly random: RandomSource,
  ) {}

  /** Whether changes have to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#changes.hasUnsent;
  }

  /** Number of brittle workers. */
  get brittleCount(): number {
    return this.#listBrittle().length;
  }

  /** @returns the rejections a second that a worker survives; undefined if it does not say that it is brittle */
  getRejections(instance: number): number | undefined {
    return this.#records.get(instance)?.perSecond;
  }

  /**
   * Records whether an answer says that its worker is brittle, and whether the worker had no room. As with limits, an
   * answer without the header ends the state only if its request was sent after the state was known.
   *
   * @param answer - the answer
   * @param nowMs - current time, in milliseconds
   * @returns the change, or undefined if the worker is as before
   */
  recordAnswer(answer: BrittleAnswer, nowMs: number): LimitChange | undefined {
    const { instance, brittleness, isRejected, sentAtMs } = answer;
    const change = this.#recordHeader(instance, brittleness, { isRejected, sentAtMs }, nowMs);
    if (isRejected) this.#recordRejection(instance, nowMs);
    return change;
  }

  /**
   * Suspects workers to be as brittle as others of their service until they answer.
   *
   * @param instances - hashes of the ids of the service's worker instances
   * @param nowMs - current time, in milliseconds
   */
  suspect(instances: readonly number[], nowMs: number): void {
    const brittle = instances.flatMap((instance) => this.getRejections(instance) ?? []);
    if (brittle.length === 0 || brittle.length === instances.length) return;
    const sinceMs = Math.min(
      ...instances.map((instance) => this.#records.get(instance)?.knownAtMs ?? nowMs),
    );
    const isNew = nowMs - sinceMs >= NAMING_MS;
    for (const instance of instances) {
      if (this.#records.has(instance)) continue;
      this.#set(instance, Math.min(...brittle), nowMs, Number.NEGATIVE_INFINITY);
      const record = this.#records.get(instance);
      if (isNew && record !== undefined) record.rejectedAtMs = nowMs;
    }
  }

  /**
   * Applies a report of another VM unless the own knowledge is newer.
   *
   * @param report - the received report
   * @param nowMs - current time, in milliseconds
   * @returns the change, or undefined if there is none
   */
  applyReport(report: BrittleReport, nowMs: number): LimitChange | undefined {
    const { instance, perSecond, ageMs, withheld, rejectionAgeMs } = report;
    const seenAtMs = nowMs - ageMs;
    const known = this.#records.get(instance);
    const isNewer = seenAtMs > (known?.seenAtMs ?? Number.NEGATIVE_INFINITY);
    const change = isNewer ? this.#set(instance, perSecond, nowMs, seenAtMs) : undefined;
    const record = this.#records.get(instance);
    if (record === undefined || rejectionAgeMs === undefined) return change;
    const rejectedAtMs = nowMs - rejectionAgeMs;
    if (rejectedAtMs <= record.rejectedAtMs + SAME_REJECTION_MS) return change;
    record.withheld = Math.max(withheld, this.#countWithheld(record, nowMs));
    record.rejectedAtMs = rejectedAtMs;
    this.#changes.markChanged(instance);
    return change;
  }

  /**
   * Decides whether this VM may send a request to a worker now.
   *
   * @param load - the worker and its load
   * @param nowMs - current time, in milliseconds
   * @returns whether the worker is not brittle, or it has room for a request of this VM
   */
  canSend(load: BrittleWorkerLoad, nowMs: number): boolean {
    const record = this.#records.get(load.instance);
    if (record?.perSecond === undefined) return true;
    if (nowMs < record.pausedUntilMs) return false;
    const room = this.#countRoom(record, load.slots, nowMs);
    const free = Math.max(0, room - load.ownRuns - load.peerRuns);
    const share = this.#computeShare(load.instance, record, room, nowMs);
    if (load.ownRuns < share) return free > 0;
    this.#drawExtra(record, { free, room }, nowMs);
    return free > 0 && load.ownRuns < share + record.extra;
  }

  /**
   * Counts the slots of a worker that this VM may always use.
   *
   * @param load - the worker
   * @param nowMs - current time, in milliseconds
   * @returns their number; Infinity if the worker is not brittle
   */
  getShare({ instance, slots }: BrittleWorkerLoad, nowMs: number): number {
    const record = this.#records.get(instance);
    if (record?.perSecond === undefined) return Infinity;
    return this.#computeShare(instance, record, this.#countRoom(record, slots, nowMs), nowMs);
  }

  /**
   * Collects the reports for the next message to other VMs.
   *
   * @param nowMs - current time, in milliseconds
   * @returns recent changes, and at intervals all brittle workers
   */
  collectUnsent(nowMs: number): readonly BrittleReport[] {
    return this.#changes
      .collect(nowMs, () => this.#listBrittle())
      .flatMap((instance) => {
        const record = this.#records.get(instance);
        if (record === undefined || record.seenAtMs === Number.NEGATIVE_INFINITY) return [];
        const { perSecond, seenAtMs, withheld, rejectedAtMs } = record;
        const rejectionAgeMs = Number.isFinite(rejectedAtMs) ? nowMs - rejectedAtMs : undefined;
        const ageMs = Math.max(0, nowMs - seenAtMs);
        return [{ instance, perSecond, ageMs, withheld, rejectionAgeMs }];
      });
  }

  #listBrittle(): readonly number[] {
    return [...this.#records].flatMap(([instance, { perSecond }]) =>
      perSecond === undefined ? [] : [instance],
    );
  }

  #recordHeader(
    instance: number,
    brittleness: NamedLimit,
    { isRejected, sentAtMs }: Pick<BrittleAnswer, 'isRejected' | 'sentAtMs'>,
    nowMs: number,
  ): LimitChange | undefined {
    if (brittleness.header === LimitHeader.Invalid) return undefined;
    if (brittleness.header === LimitHeader.Valid) {
      return this.#set(instance, brittleness.perSecond, nowMs);
    }
    const known = this.#records.get(instance);
    // A rejection without the header says nothing.
    if (isRejected || known?.perSecond === undefined || sentAtMs < known.knownAtMs) {
      return undefined;
    }
    return this.#set(instance, undefined, nowMs);
  }

  #recordRejection(instance: number, nowMs: number): void {
    const record = this.#records.get(instance);
    if (record?.perSecond === undefined) return;
    record.withheld = this.#countWithheld(record, nowMs) + 1;
    record.rejectedAtMs = nowMs;
    const senders = this.getFleet()?.vms.length ?? UNKNOWN_FLEET_VMS;
    const pauseMs = (PAUSE_FACTOR * senders * MS_PER_SECOND) / Math.max(1, record.perSecond);
    record.pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
    this.#changes.markChanged(instance);
  }

  #countWithheld({ withheld, rejectedAtMs }: BrittleRecord, nowMs: number): number {
    if (withheld === 0) return 0;
    return Math.max(0, withheld - Math.floor((nowMs - rejectedAtMs) / RESTORE_INTERVAL_MS));
  }

  #countRoom(record: BrittleRecord, slots: number, nowMs: number): number {
    const step = Math.max(1, Math.round(slots * WITHHELD_SHARE));
    return Math.max(1, slots - step * this.#countWithheld(record, nowMs));
  }

  #computeShare(instance: number, record: BrittleRecord, room: number, nowMs: number): number {
    if (nowMs - record.rankedAtMs >= RANK_INTERVAL_MS) this.#rank(instance, record, nowMs);
    const { rank, vms } = record;
    return Math.floor(room / vms) + (rank < room % vms ? 1 : 0);
  }

  #rank(instance: number, record: BrittleRecord, nowMs: number): void {
    const fleet = this.getFleet();
    record.rankedAtMs = nowMs;
    record.vms = fleet?.vms.length ?? UNKNOWN_FLEET_VMS;
    record.rank = fleet ? rankByRendezvous(`slots of ${instance}`, fleet.vms).indexOf(fleet.vm) : 0;
  }

  /** Determines at intervals how many requests this VM may send beyond its share. */
  #drawExtra(
    record: BrittleRecord,
    { free, room }: { readonly free: number; readonly room: number },
    nowMs: number,
  ): void {
    const intervals = Math.floor((nowMs - record.extraAtMs) / EXTRA_INTERVAL_MS);
    if (intervals < 1) return;
    record.extraAtMs = nowMs;
    record.needShare = record.needShare * (1 - NEED_WEIGHT) ** intervals + NEED_WEIGHT;
    const freeWeight = 1 - (1 - FREE_WEIGHT) ** intervals;
    record.freeShare += (free / room - record.freeShare) * freeWeight;
    const { vms, needShare, freeShare } = record;
    const usual = EXTRA_SHARE / (1 + (vms - 1) * needShare);
    const idle = (freeShare - CALM_FREE_SHARE) / (IDLE_FREE_SHARE - CALM_FREE_SHARE);
    const sudden = BURST_SHARE / vms + IDLE_SHARE * Math.max(0, Math.min(1, idle));
    const calm = (freeShare - BUSY_FREE_SHARE) / (CALM_FREE_SHARE - BUSY_FREE_SHARE);
    const trust = this.#computeTrust(record, nowMs) * Math.max(0, Math.min(1, calm));
    const expected = free * Math.min(usual, sudden) * trust;
    const whole = Math.floor(expected);
    record.extra = whole + (this.random() < expected - whole ? 1 : 0);
  }

  /** Returns the part of the extra requests that VMs may send, between 0 and 1. */
  #computeTrust({ perSecond = 0, rejectedAtMs }: BrittleRecord, nowMs: number): number {
    const strictMs = Math.max(MIN_STRICT_MS, STRICT_MS / Math.max(1, perSecond));
    const calmShare = (nowMs - rejectedAtMs - strictMs) / strictMs;
    return Math.max(0, Math.min(1, calmShare)) * Math.min(1, perSecond / FULL_REJECTIONS);
  }

  #set(
    instance: number,
    perSecond: number | undefined,
    nowMs: number,
    seenAtMs = nowMs,
  ): LimitChange | undefined {
    const known = this.#records.get(instance);
    const before = known?.perSecond;
    this.#records.set(instance, {
      perSecond,
      seenAtMs,
      knownAtMs: before === undefined ? nowMs : (known?.knownAtMs ?? nowMs),
      rejectedAtMs: known?.rejectedAtMs ?? Number.NEGATIVE_INFINITY,
      withheld: known?.withheld ?? 0,
      pausedUntilMs: known?.pausedUntilMs ?? Number.NEGATIVE_INFINITY,
      rank: known?.rank ?? 0,
      vms: known?.vms ?? UNKNOWN_FLEET_VMS,
      rankedAtMs: known?.rankedAtMs ?? Number.NEGATIVE_INFINITY,
      extra: known?.extra ?? 0,
      extraAtMs: known?.extraAtMs ?? nowMs - EXTRA_INTERVAL_MS,
      needShare: known?.needShare ?? 0,
      freeShare: known?.freeShare ?? 0,
    });
    if (before === perSecond) return undefined;
    this.#changes.markChanged(instance);
    for (const [other, { knownAtMs, seenAtMs: otherMs }] of this.#records) {
      if (nowMs - Math.max(knownAtMs, otherMs) <= RECORD_LIFETIME_MS) continue;
      this.#records.delete(other);
      this.#changes.remove(other);
    }
    return { before, after: perSecond };
  }
}
