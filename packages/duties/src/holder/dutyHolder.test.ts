import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as flushPromises } from 'node:timers/promises';

import { createLogger, LogFormat, LogLevel } from '@sardinegrade/common';
import { buildEraVersion } from '@sardinegrade/lease';
import { PlatformError, PlatformFailure, WriteOutcome } from '@sardinegrade/platform';
import fc from 'fast-check';

import { createDutyHolder } from './createDutyHolder.js';

import type { LeasePlatform } from '@sardinegrade/lease';
import type { ObjectWrite, PlatformObject } from '@sardinegrade/platform';
import type { RunningDutyHolder } from './createDutyHolder.js';

const SEED = 20261206;
const HISTORIES = 2_000;
const STEP_MS = 50;
const HISTORY_MS = 40_000;
const LEASE_MS = 3_000;
const CALL_MS = 600;
const STORE_TIMEOUT_MS = 1_000;
const VM_NAMES = ['a', 'b', 'c', 'd'];

enum Fate {
  Answered,
  /** Executed, and answered shortly before the timeout. */
  Slow,
  AnswerLost,
  RequestLost,
  /** No answer; executed seconds later if the condition still holds. */
  ExecutedLate,
  /** The store turns the VM away. */
  Rejected,
}

enum Fault {
  Kill,
  PowerLoss,
  Suspend,
  Terminate,
  StoreUnreachable,
  StoreDown,
  /** The store is restored to its state `forMs` ago. */
  Restore,
  WallJump,
  ApiUnreachable,
  NotCandidate,
}

interface ScriptEntry {
  readonly fault: Fault;
  readonly vm: number;
  readonly atMs: number;
  readonly forMs: number;
}

interface StoreState {
  readonly atMs: number;
  readonly era: number;
  readonly revision: number;
  readonly object: PlatformObject | undefined;
}

interface Vm {
  readonly name: string;
  /** Undefined while the process is not running. */
  holder: RunningDutyHolder | undefined;
  process: number;
  monotonicMs: number;
  wallOffsetMs: number;
  /** End of each fault that lasts, in true time. */
  readonly until: Map<Fault, number>;
}

interface Arrival {
  readonly atMs: number;
  readonly vm: string;
  readonly process: string;
  readonly fence: number;
}

const LOGGER = createLogger({
  level: LogLevel.Error,
  format: LogFormat.Json,
  output: { write: () => undefined },
});

class Simulation {
  #nowMs = 0;
  #store: StoreState = { atMs: 0, era: 0, revision: 1, object: undefined };
  readonly #past: StoreState[] = [this.#store];
  #events: { readonly atMs: number; readonly vm?: Vm; readonly run: () => void }[] = [];
  #draws = 0;
  #calls = 0;
  readonly arrivals: Arrival[] = [];
  readonly #vms = VM_NAMES.map((name, index): Vm => ({
    name,
    holder: undefined,
    process: 0,
    monotonicMs: index * 1_000,
    wallOffsetMs: 0,
    until: new Map(),
  }));

  constructor(
    private readonly script: readonly ScriptEntry[],
    private readonly fates: readonly Fate[],
    private readonly numbers: readonly number[],
  ) {}

  async run(): Promise<readonly Arrival[]> {
    for (const vm of this.#vms) this.#start(vm);
    for (; this.#nowMs < HISTORY_MS; this.#nowMs += STEP_MS) {
      for (const entry of this.script) {
        if (Math.floor(entry.atMs / STEP_MS) * STEP_MS === this.#nowMs) this.#inject(entry);
      }
      const callCount = this.#calls;
      const hasRun = this.#runEvents();
      if (hasRun) await flushPromises();
      for (const vm of this.#vms) this.#step(vm);
      if (this.#calls !== callCount) await flushPromises();
    }
    return this.arrivals.sort((left, right) => left.atMs - right.atMs);
  }

  #draw(maximum: number): number {
    this.#draws += 1;
    return (this.numbers[this.#draws % this.numbers.length] ?? 0) * maximum;
  }

  #has(vm: Vm, fault: Fault): boolean {
    return this.#nowMs < (vm.until.get(fault) ?? 0);
  }

  /** Events of a VM wait while it is suspended, and are dropped if its process has ended. */
  #schedule(delayMs: number, run: () => void, vm?: Vm): void {
    const process = vm?.process;
    const runIfAlive = (): void => {
      if (vm?.process === process) run();
    };
    const event = { atMs: this.#nowMs + delayMs, run: runIfAlive };
    this.#events.push(vm === undefined ? event : { ...event, vm });
  }

  /** @returns whether any event was due */
  #runEvents(): boolean {
    const isDue = ({ atMs, vm }: { readonly atMs: number; readonly vm?: Vm }): boolean =>
      atMs <= this.#nowMs && (vm === undefined || !this.#has(vm, Fault.Suspend));
    const due = this.#events.filter(isDue).sort((left, right) => left.atMs - right.atMs);
    this.#events = this.#events.filter((event) => !isDue(event));
    for (const { run } of due) run();
    return due.length > 0;
  }

  #start(vm: Vm): void {
    vm.holder = createDutyHolder({
      platform: this.#createPlatform(vm),
      kind: 'duties',
      vm: vm.name,
      leaseMs: LEASE_MS,
      clock: { getNowMs: () => vm.monotonicMs },
      wallClock: { getNowMs: () => this.#nowMs + vm.wallOffsetMs },
      random: () => this.#draw(1),
      logger: LOGGER,
      isCandidate: () => !this.#has(vm, Fault.NotCandidate),
      onSuspected: () => undefined,
      confirm: { sleepMs: (delayMs) => this.#wait(vm, delayMs) },
    });
  }

  #wait(vm: Vm, delayMs: number): Promise<void> {
    return new Promise((resolve) => this.#schedule(delayMs, resolve, vm));
  }

  #end(vm: Vm, downMs: number): void {
    vm.holder = undefined;
    vm.process += 1;
    this.#schedule(downMs, () => this.#start(vm), vm);
  }

  readonly #injections: Partial<Record<Fault, (vm: Vm, forMs: number) => void>> = {
    [Fault.Kill]: (vm, forMs) => this.#end(vm, forMs),
    [Fault.PowerLoss]: (_vm, forMs) => this.#vms.forEach((vm) => this.#end(vm, forMs)),
    [Fault.Terminate]: (vm, forMs) => {
      vm.holder?.stopCalls();
      this.#schedule(CALL_MS, () => void vm.holder?.release(), vm);
      this.#schedule(CALL_MS + forMs, () => this.#end(vm, 0), vm);
    },
    [Fault.Restore]: (_vm, forMs) => {
      const copy = this.#past.findLast(({ atMs }) => atMs <= this.#nowMs - forMs);
      if (copy !== undefined) this.#setStore({ ...copy, era: this.#store.era + 1 });
    },
    [Fault.WallJump]: (vm, forMs) => {
      vm.wallOffsetMs = vm.wallOffsetMs === 0 ? forMs - 4_000 : 0;
    },
  };

  #inject({ fault, vm: index, forMs }: ScriptEntry): void {
    const vm = this.#vms[index];
    if (vm === undefined) return;
    const targets = fault === Fault.StoreDown ? this.#vms : [vm];
    for (const target of targets) target.until.set(fault, this.#nowMs + forMs);
    this.#injections[fault]?.(vm, forMs);
  }

  #setStore(state: Omit<StoreState, 'atMs'>): void {
    this.#store = { ...state, atMs: this.#nowMs };
    this.#past.push(this.#store);
  }

  #write({ kind, name, ifVersion, changeId, value }: ObjectWrite) {
    const { era, revision, object } = this.#store;
    const current = this.#toVersioned(this.#store);
    // As in the store, the condition names a revision without its era.
    const isMet = (object?.version ?? 0) === ifVersion % 2 ** 33;
    if (!isMet) return { outcome: WriteOutcome.Conflict, current } as const;
    const written = { kind, name, version: revision + 1, changeId, value };
    this.#setStore({ era, revision: revision + 1, object: written });
    return {
      outcome: WriteOutcome.Written,
      version: buildEraVersion(era, revision + 1),
    } as const;
  }

  #toVersioned({ era, object }: StoreState): PlatformObject | undefined {
    if (object === undefined) return undefined;
    return { ...object, version: buildEraVersion(era, object.version) };
  }

  #call<Result>(vm: Vm, execute: () => Result): Promise<Result> {
    this.#draws += 1;
    this.#calls += 1;
    const isCut = this.#has(vm, Fault.StoreUnreachable) || this.#has(vm, Fault.StoreDown);
    const drawn = this.fates[this.#draws % this.fates.length] ?? Fate.Answered;
    const fate = isCut ? Fate.RequestLost : drawn;
    const delayMs = fate === Fate.Slow ? STORE_TIMEOUT_MS - 100 : this.#draw(100);
    return new Promise((resolve, reject) => {
      const rejectWith = (failure: PlatformFailure): void =>
        reject(new PlatformError(failure, 'simulated failure'));
      const rejectLate = (): void =>
        this.#schedule(STORE_TIMEOUT_MS, () => rejectWith(PlatformFailure.Uncertain), vm);
      const respond = (): void => {
        const result = execute();
        this.#schedule(delayMs / 2, () => resolve(result), vm);
      };
      const handlers: Readonly<Record<Fate, () => void>> = {
        [Fate.Answered]: () => this.#schedule(delayMs / 2, respond),
        [Fate.Slow]: () => this.#schedule(delayMs / 2, respond),
        [Fate.AnswerLost]: () => {
          this.#schedule(delayMs, execute);
          rejectLate();
        },
        [Fate.RequestLost]: rejectLate,
        [Fate.ExecutedLate]: () => {
          this.#schedule(this.#draw(6_000), execute);
          rejectLate();
        },
        [Fate.Rejected]: () => this.#schedule(0, () => rejectWith(PlatformFailure.Unavailable), vm),
      };
      handlers[fate]();
    });
  }

  #createPlatform(vm: Vm): LeasePlatform {
    const readPast = (): PlatformObject | undefined => {
      const fromMs = this.#nowMs - this.#draw(4_000);
      return this.#toVersioned(this.#past.findLast(({ atMs }) => atMs <= fromMs) ?? this.#store);
    };
    return {
      read: () => this.#call(vm, () => this.#toVersioned(this.#store)),
      readStale: () => this.#call(vm, readPast),
      write: (write) => this.#call(vm, () => this.#write(write)),
    };
  }

  #step(vm: Vm): void {
    const { holder, name, process } = vm;
    if (this.#has(vm, Fault.Suspend)) return;
    vm.monotonicMs += STEP_MS;
    if (holder === undefined) return;
    const permit = holder.claimPermit();
    if (permit !== undefined) {
      const hasResponse = !this.#has(vm, Fault.ApiUnreachable);
      this.#schedule(CALL_MS, () => holder.recordCall(hasResponse), vm);
      const atMs = this.#nowMs + this.#draw(CALL_MS);
      const { fence } = permit;
      if (hasResponse) this.arrivals.push({ atMs, vm: name, process: `${name}${process}`, fence });
    }
    holder.tick();
  }
}

const listFaults = (arrivals: readonly Arrival[]): readonly string[] => {
  const owners = new Map<number, string>();
  const lastByVm = new Map<string, number>();
  const faults: string[] = [];
  let last: Arrival | undefined;
  for (const arrival of arrivals) {
    const { atMs, vm, process, fence } = arrival;
    const owner = owners.get(fence) ?? process;
    owners.set(fence, owner);
    if (owner !== process) faults.push(`${process} and ${owner} use ${fence} at ${atMs}`);
    if (last !== undefined && fence < last.fence) faults.push(`${fence} follows ${last.fence}`);
    const ownLastMs = lastByVm.get(vm) ?? -Infinity;
    const hasReturned = last !== undefined && last.vm !== vm && atMs - ownLastMs <= LEASE_MS;
    if (hasReturned) faults.push(`${vm} acts again after ${atMs - ownLastMs} ms`);
    lastByVm.set(vm, atMs);
    last = arrival;
  }
  return faults;
};

const FATES = fc.oneof(
  { weight: 12, arbitrary: fc.constant(Fate.Answered) },
  {
    weight: 2,
    arbitrary: fc.constantFrom(
      Fate.Slow,
      Fate.AnswerLost,
      Fate.RequestLost,
      Fate.ExecutedLate,
      Fate.Rejected,
    ),
  },
);

const ENTRIES = fc.record({
  fault: fc.constantFrom(
    ...Object.values(Fault).filter((fault): fault is Fault => typeof fault === 'number'),
  ),
  vm: fc.nat(VM_NAMES.length - 1),
  atMs: fc.nat(HISTORY_MS),
  forMs: fc.integer({ min: 50, max: 8_000 }),
});

// Guards against two VMs that make the calls at the same time or alternate, whatever fails between them.
test('no fencing token has two users or follows a higher one, and no VM acts again within the lease', async () => {
  let acts = 0;
  let handovers = 0;
  const property = fc.asyncProperty(
    fc.array(ENTRIES, { minLength: 2, maxLength: 14 }),
    fc.array(FATES, { minLength: 7, maxLength: 50 }),
    fc.array(fc.double({ min: 0, max: 0.999, noNaN: true }), { minLength: 11, maxLength: 40 }),
    async (script, fates, numbers) => {
      const arrivals = await new Simulation(script, fates, numbers).run();
      acts += arrivals.length;
      handovers += new Set(arrivals.map(({ fence }) => fence)).size - 1;
      assert.deepEqual(listFaults(arrivals), []);
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: HISTORIES, endOnFailure: true });
  assert.ok(acts > 100 * HISTORIES, `only ${acts} calls were made`);
  assert.ok(handovers > HISTORIES, `only ${handovers} changes of the holder`);
});
