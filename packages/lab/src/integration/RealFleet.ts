import { createServer } from 'node:net';

import { Server, ServerCredentials } from '@grpc/grpc-js';
import { SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { createFleetAgent } from '@sardinegrade/fleet';
import { FleetProtocol, openPeerPort } from '@sardinegrade/peer';
import { createPlatformClient } from '@sardinegrade/platform';

import { ProcessGroup, waitUntil } from '../harness/index.js';
import { startFaultProxy } from '../proxy/index.js';
import { startPlatform } from '../standins/index.js';

import type { FleetAgent, MemberState } from '@sardinegrade/fleet';
import type { AddressInfo } from 'node:net';
import type { ManagedProcess } from '../harness/index.js';
import type { FaultProxy } from '../proxy/index.js';
import type { PlatformStandIn } from '../standins/index.js';

/** An entry daemon behind a fault proxy. */
export interface RealDaemon {
  readonly vm: string;
  readonly dataCentre: string;
  readonly process: ManagedProcess;
  /** Carries what other daemons send to this one. */
  readonly proxy: FaultProxy;
  /** The daemon's own peer port, behind the proxy. */
  readonly peerPort: number;
}

/** When a daemon put a generation into force. */
export interface InForce {
  readonly generation: number;
  readonly atMs: number;
}

/** A fleet agent in the test's own process, as another daemon of the fleet. */
export interface LocalAgent {
  readonly agent: FleetAgent;
  readonly address: string;
  readonly stop: () => void;
}

const MESSAGE = 'A configuration came into force.';

const openFreePort = async (): Promise<number> => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
};

/**
 * Writes a configuration text that differs from others by one number.
 *
 * @param weight - the number, above 0
 * @returns the text
 */
export const createWeightText = (weight: number): string =>
  `[workspace.desk]\nkey_sha256[] = ${'a'.repeat(64)}\nweight = ${weight}\n`;

const parseInForce = (line: string): InForce | undefined => {
  try {
    const entry = JSON.parse(line) as Readonly<Record<string, unknown>>;
    if (entry.message !== MESSAGE) return undefined;
    return { generation: Number(entry.generation), atMs: Date.parse(String(entry.time)) };
  } catch {
    return undefined;
  }
};

/** Real entry daemons in several data centres, a platform, and agents to look on and to make changes. */
export class RealFleet {
  readonly platform: PlatformStandIn;
  readonly daemons = new Map<string, RealDaemon>();
  private readonly group = new ProcessGroup();
  private readonly agents: LocalAgent[] = [];

  private constructor(platform: PlatformStandIn) {
    this.platform = platform;
  }

  /** Starts the platform; daemons and agents are added afterwards. */
  static async open(): Promise<RealFleet> {
    return new RealFleet(await startPlatform({}));
  }

  /**
   * Starts an entry daemon.
   *
   * @param vm - its VM
   * @param dataCentre - where it is
   * @param former - a daemon of the same address that has ended, to come back in its place
   * @returns the daemon
   */
  async startDaemon(vm: string, dataCentre: string, former?: RealDaemon): Promise<RealDaemon> {
    const peerPort = former?.peerPort ?? (await openFreePort());
    const target = `127.0.0.1:${peerPort}`;
    const proxy = former?.proxy ?? (await startFaultProxy({ target }));
    const seeds = this.agents.map((local) => local.address);
    const process = await this.group.startConfigured('entry', vm, {
      vm: { id: vm, data_centre: dataCentre },
      callers: { listen: '127.0.0.1:0' },
      administration: { listen: '127.0.0.1:0' },
      peer: { listen: target, advertise: proxy.hostPort, seeds },
      platform: { address: this.platform.address },
      log: { level: 'info', format: 'json' },
      shutdown: { settle_time: '100ms' },
    });
    const daemon = { vm, dataCentre, process, proxy, peerPort };
    this.daemons.set(vm, daemon);
    return daemon;
  }

  /**
   * Starts a fleet agent in this process.
   *
   * @param vm - its name
   * @param dataCentre - where it is
   * @returns the agent
   */
  async startAgent(vm: string, dataCentre: string): Promise<LocalAgent> {
    const platform = createPlatformClient({ address: this.platform.address });
    const agent = createFleetAgent({
      settings: {
        vm: toBranded(vm),
        dataCentre: toBranded(dataCentre),
        seeds: this.agents.map((local) => local.address),
      },
      platform,
      clock: SYSTEM_CLOCK,
      random: Math.random,
    });
    const server = new Server();
    server.addService(FleetProtocol.FleetService, agent.handlers);
    const port = await openPeerPort(server, '127.0.0.1:0', ServerCredentials.createInsecure());
    const stop = (): void => {
      agent.stop();
      server.forceShutdown();
      void platform.close();
    };
    const local = { agent, address: `127.0.0.1:${port}`, stop };
    agent.start(local.address);
    this.agents.push(local);
    return local;
  }

  /** Lists the peer addresses of all daemons and agents. */
  listAddresses(): readonly string[] {
    const daemons = [...this.daemons.values()].map(({ proxy }) => proxy.hostPort);
    return [...daemons, ...this.agents.map((local) => local.address)];
  }

  getDaemon(vm: string): RealDaemon {
    const daemon = this.daemons.get(vm);
    if (daemon === undefined) throw new Error(`no daemon ${vm}`);
    return daemon;
  }

  /** Lists the generations that a daemon put into force since its start, in order. */
  listInForce(vm: string): readonly InForce[] {
    const lines = this.getDaemon(vm).process.stderr.split('\n');
    return lines.flatMap((line) => parseInForce(line) ?? []);
  }

  getGeneration(vm: string): number {
    return this.listInForce(vm).at(-1)?.generation ?? 0;
  }

  /** Waits until the given daemons have at least a generation in force. */
  async waitInForce(
    generation: number,
    vms: Iterable<string> = this.daemons.keys(),
  ): Promise<void> {
    const names = [...vms];
    await waitUntil(
      `generation ${generation} is in force at ${names.join(', ')}`,
      () => names.every((vm) => this.getGeneration(vm) >= generation),
      WAIT_LIMIT_MS,
    );
  }

  /** Waits until an agent sees a member in one of the states; undefined stands for not at all. */
  async waitMember(
    local: LocalAgent,
    vm: string,
    states: readonly (MemberState | undefined)[],
  ): Promise<void> {
    const getState = (): MemberState | undefined =>
      local.agent.getMembers().find((member) => member.vm === vm)?.state;
    await waitUntil(
      `${vm} is seen as ${states.map(String).join(' or ')}`,
      () => states.includes(getState()),
      WAIT_LIMIT_MS,
    );
  }

  /** Counts steps back of the generation in force, over all daemons. */
  countReverts(): number {
    let reverts = 0;
    for (const vm of this.daemons.keys()) {
      const generations = this.listInForce(vm).map((entry) => entry.generation);
      reverts += generations.filter((value, at) => value < (generations[at - 1] ?? 0)).length;
    }
    return reverts;
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    for (const local of this.agents) local.stop();
    await this.group.stop();
    const proxies = new Set([...this.daemons.values()].map((daemon) => daemon.proxy));
    await Promise.all([...proxies].map((proxy) => proxy.stop()));
    await this.platform.stop();
  }
}

const WAIT_LIMIT_MS = 120_000;
