import { rankByRendezvous } from '@sardinegrade/common';

import { ChangeSchedule } from '../sharing/index.js';
import { computeLimitShare } from './computeLimitShare.js';
import { LimitBucket } from './LimitBucket.js';
import { LimitHeader } from './types.js';

import type { VmId } from '@sardinegrade/common';
import type { LimitShare } from './computeLimitShare.js';
import type { LimitReport, NamedLimit } from './types.js';

/** Limit of a worker instance, or its end. */
interface LimitRecord {
  readonly perSecond: number | undefined;
  /** When an answer last showed this, in milliseconds. */
  readonly seenAtMs: number;
  /** When the limit became known, in milliseconds. */
  readonly knownAtMs: number;
  readonly bucket: LimitBucket;
  /** Share of this VM, undefined if it has none, and when it was determined, in milliseconds. */
  share: LimitShare | undefined;
  shareAtMs: number;
}

/** This VM and the VMs of the fleet, itself included. */
export interface LimitFleet {
  readonly vm: VmId;
  readonly vms: readonly VmId[];
}

/** A limit that a worker named, changed or no longer names. */
export interface LimitChange {
  readonly before: number | undefined;
  readonly after: number | undefined;
}

/** An answer of a worker, as far as limits are concerned. */
export interface LimitedAnswer {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  readonly limit: NamedLimit;
  /** When its request was sent, in milliseconds. */
  readonly sentAtMs: number;
}

const MS_PER_SECOND = 1_000;

/** Time without an answer of the worker after which its limit is forgotten, in milliseconds. */
const LIMIT_LIFETIME_MS = 600_000;

/** Time without an answer after which every VM gets a share, in milliseconds: those that have one may have no requests. */
const UNUSED_MS = 30_000;

/** Interval at which it is determined again which VMs share a limit, in milliseconds. */
const SHARE_INTERVAL_MS = 250;

/** Tracks the limits that workers name in their answers, and this VM's share in each. */
export class WorkerLimitTracker {
  readonly #records = new Map<number, LimitRecord>();
  readonly #changes = new ChangeSchedule<number>();

  /** @param getFleet - returns the VMs that share the limits; undefined until they are known */
  constructor(private readonly getFleet: () => LimitFleet | undefined) {}

  /** Whether changes have to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#changes.hasUnsent;
  }

  /** Number of workers with a limit. */
  get limitedCount(): number {
    return this.#listLimited().length;
  }

  /** @returns the limit of a worker instance, in requests a second of all VMs; undefined if it names none */
  getLimit(instance: number): number | undefined {
    return this.#records.get(instance)?.perSecond;
  }

  /** @returns whether a worker instance has a limit that became known at this time or later */
  isLimitedSince(instance: number, sinceMs: number): boolean {
    const record = this.#records.get(instance);
    return record?.perSecond !== undefined && record.knownAtMs >= sinceMs;
  }

  /**
   * Records whether an answer names a limit. An answer without one ends the limit only if its request was sent after the
   * limit was known: answers on different connections overtake each other.
   *
   * @param answer - the answer
   * @param nowMs - current time, in milliseconds
   * @returns the change, or undefined if the limit is as before
   */
  recordAnswer(answer: LimitedAnswer, nowMs: number): LimitChange | undefined {
    const { instance, limit, sentAtMs } = answer;
    if (limit.header === LimitHeader.Invalid) return undefined;
    const known = this.#records.get(instance);
    if (limit.header === LimitHeader.Valid) return this.#set(instance, limit.perSecond, nowMs);
    if (known?.perSecond === undefined || sentAtMs < known.knownAtMs) return undefined;
    return this.#set(instance, undefined, nowMs);
  }

  /**
   * Applies a report of another VM unless the own knowledge is newer.
   *
   * @param report - the received report
   * @param nowMs - current time, in milliseconds
   * @returns the change, or undefined if there is none
   */
  applyReport({ instance, perSecond, ageMs }: LimitReport, nowMs: number): LimitChange | undefined {
    const seenAtMs = nowMs - ageMs;
    if (seenAtMs <= (this.#records.get(instance)?.seenAtMs ?? Number.NEGATIVE_INFINITY)) {
      return undefined;
    }
    return this.#set(instance, perSecond, nowMs, seenAtMs);
  }

  /**
   * Decides whether this VM may send a request to a worker now.
   *
   * @param instance - hash of the id of the worker instance
   * @param nowMs - current time, in milliseconds
   * @returns whether the worker has no limit, or this VM's share allows a request
   */
  canSend(instance: number, nowMs: number): boolean {
    const record = this.#records.get(instance);
    if (record?.perSecond === undefined) return true;
    this.#refill(instance, record, nowMs);
    return record.bucket.tokens >= 1;
  }

  /** Records that a request is sent to a worker. */
  recordSend(instance: number, nowMs: number): void {
    const record = this.#records.get(instance);
    if (record?.perSecond === undefined) return;
    this.#refill(instance, record, nowMs);
    record.bucket.claim();
  }

  /**
   * Estimates when this VM may send a request to one of several limited workers.
   *
   * @param instances - hashes of the ids of the worker instances
   * @param ahead - number of requests that are sent before
   * @param nowMs - current time, in milliseconds
   * @returns the time, in milliseconds; Infinity if this VM has no share in any limit
   */
  estimateWaitMs(instances: readonly number[], ahead: number, nowMs: number): number {
    let perSecond = 0;
    let tokens = 0;
    for (const instance of instances) {
      const record = this.#records.get(instance);
      if (record?.perSecond === undefined) continue;
      this.#refill(instance, record, nowMs);
      perSecond += record.bucket.perSecond;
      tokens += Math.min(1, record.bucket.tokens);
    }
    if (perSecond === 0) return Infinity;
    return (Math.max(0, ahead + 1 - tokens) / perSecond) * MS_PER_SECOND;
  }

  /**
   * Collects the reports for the next message to other VMs.
   *
   * @param nowMs - current time, in milliseconds
   * @returns recent changes, and at intervals all limits
   */
  collectUnsent(nowMs: number): readonly LimitReport[] {
    return this.#changes
      .collect(nowMs, () => this.#listLimited())
      .flatMap((instance) => {
        const record = this.#records.get(instance);
        if (record === undefined) return [];
        const { perSecond, seenAtMs } = record;
        return [{ instance, perSecond, ageMs: Math.max(0, nowMs - seenAtMs) }];
      });
  }

  #listLimited(): readonly number[] {
    return [...this.#records].flatMap(([instance, { perSecond }]) =>
      perSecond === undefined ? [] : [instance],
    );
  }

  #refill(instance: number, record: LimitRecord, nowMs: number): void {
    if (nowMs - record.shareAtMs >= SHARE_INTERVAL_MS) {
      record.share = this.#computeShare(instance, record, nowMs);
      record.shareAtMs = nowMs;
    }
    record.bucket.refill(record.share, nowMs);
  }

  #computeShare(
    instance: number,
    { perSecond, seenAtMs }: LimitRecord,
    nowMs: number,
  ): LimitShare | undefined {
    const fleet = this.getFleet();
    if (fleet === undefined || perSecond === undefined) return undefined;
    const { vm, vms } = fleet;
    const share = computeLimitShare(perSecond, vms.length);
    if (nowMs - seenAtMs > UNUSED_MS) {
      return { ...share, perSecond: (share.perSecond * share.owners) / vms.length, burst: 1 };
    }
    const owners = rankByRendezvous(`limit of ${instance}`, vms).slice(0, share.owners);
    return owners.includes(vm) ? share : undefined;
  }

  #set(
    instance: number,
    perSecond: number | undefined,
    nowMs: number,
    seenAtMs = nowMs,
  ): LimitChange | undefined {
    const known = this.#records.get(instance);
    const before = known?.perSecond;
    const knownAtMs = before === undefined ? nowMs : (known?.knownAtMs ?? nowMs);
    const isChanged = before !== perSecond;
    this.#records.set(instance, {
      perSecond,
      seenAtMs,
      knownAtMs,
      bucket: known?.bucket ?? new LimitBucket(nowMs),
      share: known?.share,
      shareAtMs: isChanged ? Number.NEGATIVE_INFINITY : (known?.shareAtMs ?? nowMs),
    });
    if (!isChanged) return undefined;
    this.#changes.markChanged(instance);
    for (const [other, { seenAtMs: otherMs }] of this.#records) {
      if (nowMs - otherMs <= LIMIT_LIFETIME_MS) continue;
      this.#records.delete(other);
      this.#changes.remove(other);
    }
    return { before, after: perSecond };
  }
}
