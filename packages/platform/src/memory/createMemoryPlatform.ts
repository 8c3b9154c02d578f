import { setTimeout as sleep } from 'node:timers/promises';

import { SYSTEM_CLOCK } from '@sardinegrade/common';

import { VALUE_LIMIT_BYTES } from '../constants.js';
import { PlatformError, PlatformFailure } from '../PlatformError.js';
import { ObjectStore } from './ObjectStore.js';
import { RateLimiter } from './RateLimiter.js';
import { VmHistory } from './VmHistory.js';
import { Watchers } from './Watchers.js';

import type { PlatformVm, WatchResult, WriteResult } from '../types.js';
import type {
  MemoryPlatform,
  MemoryPlatformOptions,
  PlatformBehaviour,
  PlatformCounts,
} from './types.js';

const DEFAULT_BEHAVIOUR: PlatformBehaviour = {
  outage: false,
  delayMs: 0,
  loseAnswers: 0,
  loseWrites: 0,
  writesPerSecond: Infinity,
  readsPerSecond: Infinity,
  listLagMs: 0,
  vms: [],
};

const NAME_PATTERN = /^[A-Za-z0-9._-]{1,200}$/;

enum CallKind {
  Read = 'read',
  List = 'list',
  Write = 'write',
  Remove = 'remove',
  Watch = 'watch',
}

const WRITE_CALLS: ReadonlySet<CallKind> = new Set([CallKind.Write, CallKind.Remove]);

const requireNames = (...names: readonly string[]): void => {
  for (const name of names) {
    if (NAME_PATTERN.test(name)) continue;
    throw new PlatformError(PlatformFailure.Invalid, `'${name}' is not a valid kind or name.`);
  }
};

const encodeValue = (value: unknown): string => {
  // JSON.stringify returns undefined for values that JSON cannot represent, contrary to its type.
  const text = JSON.stringify(value) as string | undefined;
  if (text === undefined) {
    throw new PlatformError(PlatformFailure.Invalid, 'The value is not JSON.');
  }
  if (Buffer.byteLength(text) > VALUE_LIMIT_BYTES) {
    throw new PlatformError(PlatformFailure.Invalid, 'The value is larger than a megabyte.');
  }
  return text;
};

class InMemoryPlatform implements MemoryPlatform {
  private behaviour: PlatformBehaviour;
  private readonly watchers = new Watchers();
  private readonly store = new ObjectStore((kind) => this.watchers.notify(kind));
  private readonly readLimiter = new RateLimiter();
  private readonly writeLimiter = new RateLimiter();
  private readonly vms = new VmHistory();
  private readonly counts = { reads: 0, writes: 0, watches: 0, limited: 0 };
  private readonly countsByCall = new Map<string, number>();
  private readonly clock;
  private readonly random;

  constructor(options: MemoryPlatformOptions) {
    this.clock = options.clock ?? SYSTEM_CLOCK;
    this.random = options.random ?? Math.random;
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...options.behaviour };
    this.vms.record(this.behaviour.vms, -Infinity);
  }

  readonly read = async (kind: string, name: string) => {
    await this.admit(CallKind.Read, kind);
    requireNames(kind, name);
    return this.store.read(kind, name);
  };

  readonly list = async (kind: string, prefix: string, after?: string) => {
    await this.admit(CallKind.List, kind);
    requireNames(kind);
    return this.store.list(kind, prefix, after);
  };

  readonly write: MemoryPlatform['write'] = async (write) => {
    await this.admit(CallKind.Write, write.kind);
    requireNames(write.kind, write.name);
    const text = encodeValue(write.value);
    return this.performWithFaults(() => this.store.write(write, text));
  };

  readonly remove = async (kind: string, name: string, ifVersion: number) => {
    await this.admit(CallKind.Remove, kind);
    requireNames(kind, name);
    return this.performWithFaults(() => this.store.remove(kind, name, ifVersion));
  };

  readonly watch: MemoryPlatform['watch'] = async (kind, after, timeoutMs, signal) => {
    await this.admit(CallKind.Watch, kind);
    requireNames(kind);
    const missed = this.store.collectChanges(kind, after);
    if (missed !== undefined) return missed;
    await this.watchers.wait(kind, timeoutMs, signal);
    this.checkOutage();
    return this.store.collectChanges(kind, after) ?? this.createEmptyResult(after);
  };

  readonly listVms = async (): Promise<readonly PlatformVm[]> => {
    await this.admit(CallKind.List, 'vms');
    return this.vms.find(this.clock.getNowMs() - this.behaviour.listLagMs);
  };

  readonly setBehaviour = (behaviour: Partial<PlatformBehaviour>): void => {
    this.behaviour = { ...this.behaviour, ...behaviour };
    if (behaviour.vms !== undefined) this.vms.record(behaviour.vms, this.clock.getNowMs());
    if (behaviour.outage === true) this.watchers.notify();
  };

  readonly getBehaviour = (): PlatformBehaviour => this.behaviour;

  readonly getCounts = (): PlatformCounts => ({
    ...this.counts,
    byCall: Object.fromEntries(this.countsByCall),
  });

  private createEmptyResult(after: number): WatchResult {
    const version = Math.max(after, this.store.getVersion());
    return { version, changes: [], isTruncated: false };
  }

  private async admit(call: CallKind, kind: string): Promise<void> {
    this.countCall(call, kind);
    this.checkOutage();
    const isWrite = WRITE_CALLS.has(call);
    const limiter = isWrite ? this.writeLimiter : this.readLimiter;
    const { writesPerSecond, readsPerSecond, delayMs } = this.behaviour;
    const rate = isWrite ? writesPerSecond : readsPerSecond;
    if (!limiter.take(rate, this.clock.getNowMs())) {
      this.counts.limited += 1;
      throw new PlatformError(PlatformFailure.Limited, 'The platform limits the rate of calls.');
    }
    if (delayMs > 0) await sleep(delayMs);
    this.checkOutage();
  }

  private countCall(call: CallKind, kind: string): void {
    if (WRITE_CALLS.has(call)) this.counts.writes += 1;
    else this.counts.reads += 1;
    if (call === CallKind.Watch) this.counts.watches += 1;
    const key = `${call} ${kind}`;
    this.countsByCall.set(key, (this.countsByCall.get(key) ?? 0) + 1);
  }

  private checkOutage(): void {
    if (!this.behaviour.outage) return;
    throw new PlatformError(PlatformFailure.Unavailable, 'The platform is down.');
  }

  private performWithFaults(perform: () => WriteResult): WriteResult {
    const chance = this.random();
    const { loseAnswers, loseWrites } = this.behaviour;
    if (chance < loseWrites) {
      throw new PlatformError(PlatformFailure.Uncertain, 'The write was lost.');
    }
    const result = perform();
    if (chance < loseWrites + loseAnswers) {
      throw new PlatformError(PlatformFailure.Uncertain, 'The answer to the write was lost.');
    }
    return result;
  }
}

/**
 * Creates an in-memory platform, for tests and for the stand-in that serves it over HTTP.
 *
 * @param options - initial behaviour, and sources of time and randomness
 * @returns a client of the platform that can also change its behaviour
 */
export const createMemoryPlatform = (options: MemoryPlatformOptions = {}): MemoryPlatform =>
  new InMemoryPlatform(options);
