import { join } from 'node:path';

import { registerWorker, StoreMode, StoreStandIn } from '@sardinegrade/users-platform/testing';

import { SoakAction } from './buildPlan.js';
import { formatKey } from './SoakCaller.js';
import { RequestKind, SoakLedger } from './SoakLedger.js';
import { LinkFault } from './SoakProxy.js';
import { SoakVm } from './SoakVm.js';
import { SoakWorker } from './SoakWorker.js';

import type { PlannedAction } from './buildPlan.js';
import type { Violation } from './SoakLedger.js';

const SERVICE = 'soak';

/** More than the callers of a soak have open at a worker. */
const WORKER_SLOTS = 32;

/** Time without disturbance after which planned work must cut nothing, in milliseconds (the stable window). */
const STABLE_MS = 3_000;

/** A drained worker serves on for this long before it leaves, in milliseconds. */
const LINGER_MS = 4_000;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

/** How many of what a site has, and the program of its VMs. */
export interface SiteSize {
  readonly vms: number;
  readonly workers: number;
  readonly role: string;
  /** Third number of the VMs' loopback addresses, so that several soaks can run beside each other. */
  readonly subnet: number;
}

/** A store, workers behind proxies and VMs as processes, and what is done to them. */
export class SoakSite {
  readonly ledger = new SoakLedger();
  readonly store = new StoreStandIn();
  readonly vms: SoakVm[] = [];
  readonly #workers: SoakWorker[] = [];
  #nextWorker = 0;
  #version = 1;
  #disturbedAtMs = 0;
  #disturbances = 0;
  /** Faults by which a VM may not have heard of a drain: of the store, and of the VM itself. */
  #newsFaults = 0;
  #newsFaultAtMs = 0;

  /**
   * Starts everything.
   *
   * @param size - how many of what
   * @param folder - for settings and logs
   */
  async start({ vms, workers, role, subnet }: SiteSize, folder: string): Promise<void> {
    await this.store.listen();
    this.#writeConfiguration();
    for (let count = 0; count < workers; count += 1) await this.#addWorker();
    const storePort = this.store.port;
    const ports = { front: 21_000, ready: 21_001, peers: 21_002 };
    for (let index = 0; index < vms; index += 1) {
      const name = `vm-${index}`;
      const ip = `127.0.${subnet}.${index + 1}`;
      this.vms.push(new SoakVm({ name, ip, ports, storePort, folder: join(folder, 'vms'), role }));
    }
    for (const vm of this.vms) vm.start();
  }

  /** Newest version of the configuration. */
  readonly getVersion = (): number => this.#version;

  /** Whether workers, links and store have been left alone for the stable window. */
  readonly isCalm = (): boolean =>
    this.#disturbances === 0 && performance.now() - this.#disturbedAtMs > STABLE_MS;

  /** Carries out one action of the plan, and ends its effect after its time. */
  async perform(planned: PlannedAction): Promise<void> {
    await this.#handlers[planned.action](planned);
  }

  /** Lists VMs whose process ended by itself. */
  listUnexpectedEnds(): readonly Violation[] {
    return this.vms
      .filter(({ unexpectedEnds }) => unexpectedEnds > 0)
      .map(({ options, unexpectedEnds }) => ({
        rule: 'no process ends by itself',
        requestId: '-',
        detail: `${options.name} ended ${unexpectedEnds} times; its log says why`,
      }));
  }

  /** Ends all that was started. */
  async stop(): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.abort()));
    for (const worker of this.#workers) worker.close();
    this.store.close();
  }

  readonly #handlers: Readonly<Record<SoakAction, (planned: PlannedAction) => Promise<void>>> = {
    [SoakAction.KillVm]: async ({ target, forMs }) => {
      const vm = this.#pick(this.vms, target);
      // One that is being restarted by another action is left alone: two processes would want one address.
      if (vm.pid === undefined || vm.terminatedAtMs !== undefined) return;
      await vm.abort();
      await sleep(forMs);
      vm.start();
    },
    [SoakAction.PauseVm]: async ({ target, forMs }) => {
      const vm = this.#pick(this.vms, target);
      await this.#holdUpNews(async () => {
        vm.send('SIGSTOP');
        await sleep(forMs);
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
    [SoakAction.DelayWorker]: (planned) => this.#harmLink(planned, LinkFault.Delay),
    [SoakAction.ResetWorker]: (planned) => this.#harmLink(planned, LinkFault.Reset),
    [SoakAction.SilenceWorker]: (planned) => this.#harmLink(planned, LinkFault.Silent),
    [SoakAction.CutWorkerOneWay]: (planned) => this.#harmLink(planned, LinkFault.OneWay),
    [SoakAction.CrashWorker]: ({ target, forMs }) =>
      this.#disturb(async () => {
        const worker = this.#pick(this.#workers, target);
        if (this.#workers.length < 2) return;
        this.#workers.splice(this.#workers.indexOf(worker), 1);
        worker.close();
        await sleep(forMs);
        this.store.remove('servers', worker.id);
        await this.#addWorker();
      }),
    [SoakAction.DrainWorker]: async ({ target }) => {
      if (this.#workers.length < 2) return;
      const worker = this.#pick(this.#workers, target);
      this.#workers.splice(this.#workers.indexOf(worker), 1);
      await this.#addWorker();
      this.#register(worker, 'draining');
      const hasNews = this.#newsFaults === 0 && performance.now() - this.#newsFaultAtMs > STABLE_MS;
      if (hasNews) this.ledger.recordDrain(worker.id);
      await sleep(LINGER_MS);
      this.store.remove('servers', worker.id);
      await sleep(LINGER_MS);
      worker.close();
    },
    [SoakAction.StoreDown]: (planned) => this.#harmStore(planned, StoreMode.Down),
    [SoakAction.StoreLimited]: (planned) => this.#harmStore(planned, StoreMode.Limited),
    [SoakAction.StoreSilent]: (planned) => this.#harmStore(planned, StoreMode.Silent),
    [SoakAction.StoreReset]: (planned) => this.#harmStore(planned, StoreMode.Reset),
    [SoakAction.StoreForgets]: () => {
      this.store.clearHistory();
      return Promise.resolve();
    },
    [SoakAction.ChangeConfiguration]: () => {
      this.#version += 1;
      this.#writeConfiguration();
      return Promise.resolve();
    },
  };

  #pick<Item>(items: readonly Item[], target: number): Item {
    const item = items[Math.floor(target * items.length)];
    if (item === undefined) throw new Error('There is nothing to pick from.');
    return item;
  }

  async #disturb(harm: () => Promise<void>): Promise<void> {
    this.#disturbances += 1;
    await harm();
    this.#disturbances -= 1;
    this.#disturbedAtMs = performance.now();
  }

  /** Harms what brings news of drains: those before it are not held against VMs from now on. */
  async #holdUpNews(harm: () => Promise<void>): Promise<void> {
    this.#newsFaults += 1;
    this.ledger.clearDrains();
    await harm();
    this.#newsFaults -= 1;
    this.#newsFaultAtMs = performance.now();
  }

  #harmLink({ target, forMs }: PlannedAction, fault: LinkFault): Promise<void> {
    return this.#disturb(async () => {
      const worker = this.#pick(this.#workers, target);
      worker.proxy.setFault(fault);
      await sleep(forMs);
      worker.proxy.setFault(LinkFault.None);
    });
  }

  #harmStore({ forMs }: PlannedAction, mode: StoreMode): Promise<void> {
    return this.#disturb(async () => {
      await this.#holdUpNews(async () => {
        this.store.mode = mode;
        await sleep(forMs);
        this.store.mode = StoreMode.Healthy;
      });
    });
  }

  async #addWorker(): Promise<void> {
    this.#nextWorker += 1;
    const worker = new SoakWorker(`w${this.#nextWorker}`, this.ledger);
    await worker.listen();
    this.#workers.push(worker);
    this.#register(worker, 'ready');
  }

  #register(worker: SoakWorker, state: string): void {
    const { id, proxy } = worker;
    const entry = { id, address: proxy.address, service: SERVICE, slots: WORKER_SLOTS };
    registerWorker(this.store, entry, state);
  }

  #writeConfiguration(): void {
    const routes = Object.values(RequestKind).map((kind) => ({
      name: kind,
      host: 'soak.example',
      path_prefix: `/${kind}/`,
      kind: kind.startsWith('stream') ? 'streaming' : kind,
      timeout_ms: 1_400,
      target_latency_ms: 100,
      priority: 1,
      service: SERVICE,
      max_attempts: kind === RequestKind.Safe || kind === RequestKind.Resumable ? 2 : 1,
      public: false,
      resumable: kind === RequestKind.Resumable,
      gap_aim_ms: 200,
    }));
    this.store.write('config', 'main', {
      version: this.#version,
      routes,
      services: [{ name: SERVICE, max_conns: 400 }],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 65_536,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      tenants: [
        {
          name: 'rig-desk',
          api_keys: [0, this.#version, this.#version - 1].map(formatKey),
          priority: 1,
        },
      ],
    });
  }
}
