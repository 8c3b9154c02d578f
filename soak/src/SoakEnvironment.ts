import { join } from 'node:path';

import { buildLoopbackHost } from '@sardinegrade/common/testing';
import { StoreMode, StoreStandIn } from '@sardinegrade/users-platform/testing';

import { buildConfiguration } from './buildConfiguration.js';
import { SoakAction } from './buildPlan.js';
import { hasVmInTouch } from './checkCrashes.js';
import { listOddEntries } from './listOddEntries.js';
import { pickCut } from './pickCut.js';
import { sleep } from './sleep.js';
import { SoakLedger } from './SoakLedger.js';
import { LinkFault } from './SoakProxy.js';
import { SoakVm } from './SoakVm.js';
import { formatPoisonedPart, SoakWorker } from './SoakWorker.js';
import { startWorkerAgain } from './startWorkerAgain.js';
import { VmLinkFault } from './VmLinks.js';
import { WorkerEntries } from './WorkerEntries.js';

import type { PlannedAction } from './buildPlan.js';
import type { Violation } from './SoakLedger.js';
import type { SoakVmOptions } from './SoakVm.js';
import type { Brittleness } from './SoakWorker.js';

const SERVICE = 'soak';

/** Workers that start one after another with the same software version: replaced workers make versions mix. */
const WORKERS_PER_VERSION = 3;

/**
 * The stable window, in milliseconds: after this time without faults, maintenance must not cut
 * any connection.
 */
const STABLE_MS = 3_000;

/** How long a drained worker stays registered, and then keeps running, before it is closed, in milliseconds. */
const DRAIN_GRACE_MS = 4_000;

/** Ratio of the time in which a part crashes workers to the duration of other actions: the rule counts from 3 s on. */
const POISON_RATIO = 3;

/** Ratio of the time in which a worker names a limit to the duration of other actions, and the range of limits. */
const LIMIT_RATIO = 3;
const MAX_EXTRA_LIMIT = 4;

/**
 * Ratio of the time in which some VMs are cut off from workers to the duration of other actions: the rule counts from
 * 3 s on. All VMs are cut off for the plain duration, as no other rule finds much while nothing is served.
 */
const CUT_RATIO = 3;

/** Range of the times for which a sound worker says nothing, and the time in which it then speaks, in milliseconds. */
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 2_000;
const MIN_SPEECH_MS = 1_000;

/** Ratio of the time in which a worker says that it leaves to the duration of other actions: the rule counts from 2 s on. */
const LEAVING_RATIO = 3;

/** Ratio of the time in which a worker refuses all requests to the duration of other actions: it names 2 s. */
const REFUSAL_RATIO = 3;

/**
 * Ratio of the time in which workers are brittle and full to the duration of other actions, the time before it in which
 * they only say that they are brittle, in milliseconds, and the range of the rejections that they bear.
 */
const BRITTLE_RATIO = 3;
const BRITTLE_NOTICE_MS = 3_000;
const MIN_REJECTIONS = 2;
const MAX_EXTRA_REJECTIONS = 4;

/** Ratio of the time in which an odd entry is there to the duration of other actions. */
const ODD_RATIO = 2;

/** Time after which a crashed worker is replaced, in milliseconds. */
const RESTART_MS = 1_500;

/** Time after a crash in which its registration is still there, in milliseconds. */
const LAPSE_MS = 3_000;

/** Longest time for which all VMs are down, in milliseconds: callers resume their streams after it. */
const MAX_DARK_MS = 600;

/** Time in which VMs replace a watch that was reset, in milliseconds. */
const REWATCH_MS = 150;

/** Time after a restore of the store in which its writers write again, in milliseconds. */
const REWRITE_MS = 1_500;

/** Time after a restore at which registrations that no worker has renewed are removed, in milliseconds. */
const EXPIRY_MS = 3_600;

/** Options of a soak environment: numbers of VMs and workers, and program and subnet of the VMs. */
export interface EnvironmentOptions extends Pick<
  SoakVmOptions,
  'programPath' | 'olderProgramPath'
> {
  readonly vms: number;
  readonly workers: number;
  /** Third octet of the loopback addresses of the VMs, so that several soaks can run at the same time. */
  readonly subnet: number;
}

/**
 * A store, workers behind proxies and VM processes, with the faults and maintenance that a soak
 * applies to them.
 */
export class SoakEnvironment {
  readonly ledger = new SoakLedger();
  readonly store = new StoreStandIn();
  readonly vms: SoakVm[] = [];
  readonly #workers: SoakWorker[] = [];
  readonly #entries = new WorkerEntries(this.store, SERVICE);
  #nextWorker = 0;
  #version = 1;
  #disturbedAtMs = 0;
  #disturbances = 0;
  /** Current faults of the store or of a VM that may keep a drain from reaching a VM. */
  #propagationFaults = 0;
  #propagationFaultAtMs = 0;
  #isStopped = false;
  #poisonedParts = 0;
  #hasPoison = false;
  #hasCut = false;
  #hasSilence = false;
  #oddEntries = 0;
  #brittleness: Brittleness | undefined;
  /** Brittle workers that have fallen over since they became brittle. */
  #falls = 0;
  /** Ports of the workers, those that have ended included. */
  readonly #workerPorts: number[] = [];

  /**
   * Starts the store, the workers and the VMs.
   *
   * @param options - numbers of VMs and workers, program and subnet of the VMs
   * @param folder - folder for settings and logs of the VMs
   */
  async start(
    { vms, workers, subnet, ...programs }: EnvironmentOptions,
    folder: string,
  ): Promise<void> {
    await this.store.listen();
    this.#writeConfiguration();
    for (let count = 0; count < workers; count += 1) await this.#addWorker();
    const ports = { front: 21_000, ready: 21_001, peers: 21_002 };
    const shared = { ...programs, ports, storePort: this.store.port, folder: join(folder, 'vms') };
    for (let index = 0; index < vms; index += 1) {
      const ip = buildLoopbackHost(subnet, index);
      this.vms.push(new SoakVm({ ...shared, name: `vm-${index}`, ip, index }));
    }
    for (const vm of this.vms) {
      vm.setLinks({ workerPorts: this.#workerPorts });
      vm.start();
    }
  }

  /** Returns the newest version of the configuration. */
  readonly getVersion = (): number => this.#version;

  /** Returns the prompt part that crashes workers at present; undefined if there is none. */
  readonly getPoisonedPart = (): string | undefined =>
    this.#hasPoison ? formatPoisonedPart(this.#poisonedParts) : undefined;

  /** Whether workers, links and the store have been free of faults for the stable window. */
  readonly isStable = (): boolean =>
    this.#disturbances === 0 && performance.now() - this.#disturbedAtMs > STABLE_MS;

  /** Whether the store has been free of faults for the stable window. */
  readonly isStoreStable = (): boolean =>
    this.#propagationFaults === 0 && performance.now() - this.#propagationFaultAtMs > STABLE_MS;

  /** Whether a VM that reaches the workers has been free of faults for the stable window. */
  readonly hasReferenceVm = (): boolean =>
    this.vms.some((vm) => vm.isReference(performance.now(), STABLE_MS));

  /** Performs one action of the plan, and reverts its effect after its duration. */
  async perform(planned: PlannedAction): Promise<void> {
    await this.#handlers[planned.action](planned);
  }

  /** Lists VMs whose process ended without having been stopped by the soak. */
  listUnexpectedEnds(): readonly Violation[] {
    return this.vms
      .filter(({ unexpectedEnds }) => unexpectedEnds > 0)
      .map(({ options, unexpectedEnds, endedPrograms }) => ({
        rule: 'no process ends by itself',
        requestId: '-',
        detail: `${options.name} ended ${unexpectedEnds} times (${endedPrograms.join(', ')}); its log says why`,
      }));
  }

  /** Stops all VMs, workers and the store. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.vms.map((vm) => vm.abort()));
    for (const worker of this.#workers) worker.close();
    this.store.close();
  }

  readonly #handlers: Readonly<Record<SoakAction, (planned: PlannedAction) => Promise<void>>> = {
    [SoakAction.KillVm]: async ({ target, durationMs }) => {
      const vm = this.#pick(this.vms, target);
      // Skips a VM that another action is restarting: two processes would listen on the same address.
      if (vm.pid === undefined || vm.terminatedAtMs !== undefined) return;
      await vm.abort();
      await sleep(durationMs);
      vm.start();
    },
    [SoakAction.KillAllVms]: ({ durationMs }) =>
      this.#runWithPropagationFault(async () => {
        const vms = this.vms.filter(
          ({ pid, terminatedAtMs }) => pid !== undefined && terminatedAtMs === undefined,
        );
        await Promise.all(vms.map((vm) => vm.abort()));
        await sleep(Math.min(durationMs, MAX_DARK_MS));
        for (const vm of vms) vm.start();
      }),
    [SoakAction.PauseVm]: async ({ target, durationMs }) => {
      const vm = this.#pick(this.vms, target);
      await this.#runWithPropagationFault(async () => {
        vm.send('SIGSTOP');
        await sleep(durationMs);
        vm.send('SIGCONT');
      });
    },
    [SoakAction.TerminateVm]: async ({ target }) => {
      const vm = this.#pick(this.vms, target);
      if (vm.pid === undefined || vm.terminatedAtMs !== undefined) return;
      vm.send('SIGTERM');
      await vm.waitForEnd();
      vm.start();
    },
    [SoakAction.DelayWorker]: (planned) => this.#applyLinkFault(planned, LinkFault.Delay),
    [SoakAction.ResetWorker]: (planned) => this.#applyLinkFault(planned, LinkFault.Reset),
    [SoakAction.SilenceWorker]: (planned) => this.#applyLinkFault(planned, LinkFault.Silent),
    [SoakAction.CutWorkerOneWay]: (planned) => this.#applyLinkFault(planned, LinkFault.OneWay),
    [SoakAction.CrashWorker]: ({ target, durationMs }) =>
      this.#runWithDisturbance(async () => {
        if (this.#workers.length < 2) return;
        const worker = this.#pick(this.#workers, target);
        this.#workers.splice(this.#workers.indexOf(worker), 1);
        this.#close(worker);
        await sleep(durationMs);
        this.#entries.remove(worker);
        await this.#addWorker();
      }),
    [SoakAction.DrainWorker]: async ({ target }) => {
      if (this.#workers.length < 2) return;
      const worker = this.#pick(this.#workers, target);
      this.#workers.splice(this.#workers.indexOf(worker), 1);
      await this.#addWorker();
      this.#entries.write(worker, 'draining');
      if (this.isStoreStable()) this.ledger.recordDrain(worker.id);
      await sleep(DRAIN_GRACE_MS);
      this.#entries.remove(worker);
      await sleep(DRAIN_GRACE_MS);
      worker.close();
    },
    [SoakAction.PoisonPart]: ({ durationMs }) =>
      this.#runWithDisturbance(async () => {
        if (this.#hasPoison) return;
        this.#poisonedParts += 1;
        this.#hasPoison = true;
        await sleep(POISON_RATIO * durationMs);
        this.#hasPoison = false;
      }),
    [SoakAction.LimitWorker]: async ({ target, durationMs }) => {
      if (this.#workers.length < 2) return;
      const worker = this.#pick(this.#workers, target);
      if (worker.limit !== undefined) return;
      worker.limit = 1 + Math.round(target * MAX_EXTRA_LIMIT);
      const startMs = performance.now();
      await sleep(LIMIT_RATIO * durationMs);
      const { id, limit } = worker;
      this.ledger.recordLimit({ worker: id, perSecond: limit, startMs, endMs: performance.now() });
      worker.limit = undefined;
    },
    [SoakAction.StoreDown]: (planned) => this.#applyStoreFault(planned, StoreMode.Down),
    [SoakAction.StoreLimited]: (planned) => this.#applyStoreFault(planned, StoreMode.Limited),
    [SoakAction.StoreSilent]: (planned) => this.#applyStoreFault(planned, StoreMode.Silent),
    [SoakAction.StoreReset]: (planned) => this.#applyStoreFault(planned, StoreMode.Reset),
    [SoakAction.ClearStoreHistory]: () => {
      this.store.clearHistory();
      return Promise.resolve();
    },
    [SoakAction.RestoreStore]: (planned) =>
      this.#runWithPropagationFault(() => this.#restoreStore(planned)),
    // As a store that drops its history: watches that start meanwhile miss the changes, and are not cut.
    [SoakAction.SilenceWatches]: ({ durationMs }) =>
      this.#runWithPropagationFault(async () => {
        this.store.hasSilentWatches = true;
        this.store.resetWatches();
        this.#changeConfiguration();
        await sleep(durationMs);
        this.store.resetWatches();
        await sleep(REWATCH_MS);
        this.store.hasSilentWatches = false;
        this.store.clearHistory();
      }),
    [SoakAction.SilenceStoreConnections]: () =>
      this.#runWithPropagationFault(() => {
        this.store.stopRespondingOnOpenConnections();
        this.#changeConfiguration();
        return Promise.resolve();
      }),
    [SoakAction.ChangeConfiguration]: () => {
      this.#changeConfiguration();
      return Promise.resolve();
    },
    [SoakAction.CutVmsFromWorkers]: (planned) => this.#cutVms(planned),
    [SoakAction.PauseAnswers]: (planned) => this.#pauseAnswers(planned),
    [SoakAction.RefuseWithTime]: async ({ target, durationMs }) => {
      if (this.#workers.length < 2) return;
      const worker = this.#pick(this.#workers, target);
      if (worker.isRefusing) return;
      worker.isRefusing = true;
      await sleep(REFUSAL_RATIO * durationMs);
      worker.isRefusing = false;
    },
    [SoakAction.WriteOddEntry]: async ({ target, durationMs }) => {
      const { kind, entry } = this.#pick(listOddEntries(SERVICE), target);
      this.#oddEntries += 1;
      const name = `odd${this.#oddEntries}`;
      const startMs = performance.now();
      this.store.write('servers', name, entry);
      await sleep(ODD_RATIO * durationMs);
      this.store.remove('servers', name);
      this.ledger.recordOddEntry({ kind, startMs, endMs: performance.now() });
    },
    [SoakAction.MakeBrittle]: (planned) => this.#makeBrittle(planned),
    [SoakAction.RebuildWorker]: ({ target }) =>
      this.#runWithDisturbance(() => startWorkerAgain(this.#workers, target, this.#entries)),
    [SoakAction.AnnounceLeaving]: async ({ target, durationMs }) => {
      if (this.#workers.length < 2) return;
      const worker = this.#pick(this.#workers, target);
      // No other action takes a worker that is leaving; its entry in the store says nothing of it.
      this.#workers.splice(this.#workers.indexOf(worker), 1);
      await this.#addWorker();
      worker.isLeaving = true;
      this.ledger.recordLeaving({ worker: worker.id, startMs: performance.now() });
      await sleep(LEAVING_RATIO * durationMs);
      this.#entries.remove(worker);
      await sleep(DRAIN_GRACE_MS);
      worker.close();
    },
  };

  #pick<Item>(items: readonly Item[], target: number): Item {
    const item = items[Math.floor(target * items.length)];
    if (item === undefined) throw new Error('There is no VM or worker to apply the action to.');
    return item;
  }

  async #runWithDisturbance(performFault: () => Promise<void>): Promise<void> {
    this.#disturbances += 1;
    await performFault();
    this.#disturbances -= 1;
    this.#disturbedAtMs = performance.now();
  }

  /**
   * Performs a fault that delays how drains reach the VMs. Recent drains are no longer checked
   * from then on.
   */
  async #runWithPropagationFault(performFault: () => Promise<void>): Promise<void> {
    this.#propagationFaults += 1;
    this.ledger.clearDrains();
    await performFault();
    this.#propagationFaults -= 1;
    this.#propagationFaultAtMs = performance.now();
  }

  #applyLinkFault({ target, durationMs }: PlannedAction, fault: LinkFault): Promise<void> {
    return this.#runWithDisturbance(async () => {
      // All workers may have been crashed by a prompt part.
      if (this.#workers.length === 0) return;
      const worker = this.#pick(this.#workers, target);
      worker.proxy.setFault(fault);
      await sleep(durationMs);
      worker.proxy.setFault(LinkFault.None);
    });
  }

  #applyStoreFault({ durationMs }: PlannedAction, mode: StoreMode): Promise<void> {
    return this.#runWithDisturbance(async () => {
      await this.#runWithPropagationFault(async () => {
        this.store.mode = mode;
        await sleep(durationMs);
        this.store.mode = StoreMode.Healthy;
      });
    });
  }

  /** Cuts one VM, all but one or all of them off from the workers. */
  async #cutVms({ target, durationMs }: PlannedAction): Promise<void> {
    if (this.#hasCut) return;
    const fleetSize = this.vms.length;
    const { vms: cut, fault } = pickCut(this.vms, target);
    this.#hasCut = true;
    await this.#runWithDisturbance(async () => {
      const startMs = performance.now();
      for (const vm of cut) vm.setLinks({ fault });
      await sleep(cut.length === fleetSize ? durationMs : CUT_RATIO * durationMs);
      for (const vm of cut) vm.setLinks({ fault: VmLinkFault.None });
      const vms = new Set(cut.map(({ options }) => options.name));
      this.ledger.recordCut({ vms, fleetSize, fault, startMs, endMs: performance.now() });
    });
    this.#hasCut = false;
  }

  /** Has one worker to all of them fall silent and go on. This is no disturbance: the workers are sound. */
  async #pauseAnswers({ target, durationMs }: PlannedAction): Promise<void> {
    if (this.#hasSilence) return;
    this.#hasSilence = true;
    const silenceMs = Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, durationMs / 2));
    const silent = this.#workers.slice(Math.floor(target * this.#workers.length));
    const startMs = performance.now();
    await Promise.all(silent.map(({ proxy }) => proxy.pauseAnswers(silenceMs)));
    const endMs = performance.now();
    for (const { id } of silent) this.ledger.recordSilence({ worker: id, startMs, endMs });
    await sleep(MIN_SPEECH_MS);
    this.#hasSilence = false;
  }

  /** Has all workers say that they are brittle, and from some time later reject requests. */
  async #makeBrittle({ target, durationMs }: PlannedAction): Promise<void> {
    if (this.#brittleness !== undefined) return;
    const perSecond = MIN_REJECTIONS + Math.round(target * MAX_EXTRA_REJECTIONS);
    const workers = this.#workers.length;
    this.#falls = 0;
    this.#setBrittleness({ perSecond, fullFromMs: performance.now() + BRITTLE_NOTICE_MS });
    await sleep(BRITTLE_NOTICE_MS + BRITTLE_RATIO * durationMs);
    this.#setBrittleness(undefined);
    this.ledger.recordBrittleness({ workers, perSecond, falls: this.#falls });
  }

  #setBrittleness(brittleness: Brittleness | undefined): void {
    this.#brittleness = brittleness;
    for (const worker of this.#workers) worker.brittleness = brittleness;
  }

  async #addWorker(): Promise<void> {
    this.#nextWorker += 1;
    const version = `v${1 + Math.floor(this.#nextWorker / WORKERS_PER_VERSION)}`;
    const worker = new SoakWorker(
      `w${this.#nextWorker}`,
      version,
      this.ledger,
      (part) => {
        this.ledger.recordCrash(part, performance.now(), hasVmInTouch(this.vms));
        void this.#crash(worker);
      },
      () => {
        if (this.#workers.includes(worker)) this.#falls += 1;
        void this.#crash(worker);
      },
    );
    worker.brittleness = this.#brittleness;
    await worker.listen();
    this.#workerPorts.push(worker.proxy.port);
    for (const vm of this.vms) vm.setLinks({ workerPorts: this.#workerPorts });
    this.#workers.push(worker);
    this.#entries.write(worker, 'ready');
  }

  /** Closes a worker as a crash does, and replaces it. Its registration lapses later. */
  async #crash(worker: SoakWorker): Promise<void> {
    const index = this.#workers.indexOf(worker);
    this.#close(worker);
    if (index < 0) return;
    this.#workers.splice(index, 1);
    await this.#runWithDisturbance(async () => {
      await sleep(RESTART_MS);
      if (!this.#isStopped) await this.#addWorker();
      await sleep(LAPSE_MS - RESTART_MS);
      this.#entries.remove(worker);
    });
  }

  /** Closes a worker, which writes nothing more into the store. */
  #close(worker: SoakWorker): void {
    this.#entries.clear(worker);
    worker.close();
  }

  /** Restores the store from a copy; the operator and the workers write again, and silent registrations expire. */
  async #restoreStore({ target, durationMs }: PlannedAction): Promise<void> {
    const copy = this.store.createCopy();
    this.#changeConfiguration();
    await sleep(durationMs);
    this.store.restore(copy);
    if (target < 0.5) this.store.resetWatches();
    await sleep(target * REWRITE_MS);
    if (this.#isStopped) return;
    // Gets the revision of the version that was lost, so a watch that goes on from there misses it.
    this.#changeConfiguration();
    this.#entries.renew();
    await sleep(EXPIRY_MS - target * REWRITE_MS);
    this.#entries.removeSilent();
  }

  #changeConfiguration(): void {
    this.#version += 1;
    this.#writeConfiguration();
  }

  #writeConfiguration(): void {
    this.ledger.recordVersion(this.#version);
    this.store.write('config', 'main', buildConfiguration(SERVICE, this.#version));
  }
}
