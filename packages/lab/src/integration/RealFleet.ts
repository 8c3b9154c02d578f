import { createServer } from 'node:net';

import { Server, ServerCredentials } from '@grpc/grpc-js';
import { SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { buildLoopbackHost } from '@sardinegrade/common/testing';
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
  /** Forwards the peer connections of other daemons to this one. */
  readonly proxy: FaultProxy;
  /** Address at which the daemon itself listens for its peers, behind the proxy. */
  readonly peerAddress: string;
}

/** The activation of a configuration generation at a daemon. */
export interface GenerationActivation {
  readonly generation: number;
  /** Timestamp of the log line, in milliseconds since the epoch. */
  readonly atMs: number;
}

/** A fleet agent that runs in the process of the test and joins the fleet like a daemon. */
export interface LocalAgent {
  readonly agent: FleetAgent;
  readonly address: string;
  readonly stop: () => void;
}

/** Log message of an entry daemon that has activated a generation. */
const ACTIVATION_MESSAGE = 'A configuration came into force.';

/** Number of the daemons of this kind among the fleets that tests start on loopback. */
const SUBNET = 201;

const findFreePort = async (host: string): Promise<number> => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
};

/**
 * Builds a configuration that contains one workspace.
 *
 * @param weight - weight of the workspace, above 0; configurations differ only in it
 * @returns the configuration as INI text
 */
export const buildWeightConfiguration = (weight: number): string =>
  `[workspace.desk]\nkey_sha256[] = ${'a'.repeat(64)}\nweight = ${weight}\n`;

const parseActivation = (line: string): GenerationActivation | undefined => {
  try {
    const entry = JSON.parse(line) as Readonly<Record<string, unknown>>;
    if (entry.message !== ACTIVATION_MESSAGE) return undefined;
    return { generation: Number(entry.generation), atMs: Date.parse(String(entry.time)) };
  } catch {
    return undefined;
  }
};

/** Entry daemons as real processes in several data centres, a platform, and local agents that observe members and apply configurations. */
export class RealFleet {
  readonly platform: PlatformStandIn;
  readonly daemons = new Map<string, RealDaemon>();
  private readonly group = new ProcessGroup();
  private readonly agents: LocalAgent[] = [];
  private readonly proxies: FaultProxy[] = [];
  private hostCount = 0;

  private constructor(platform: PlatformStandIn) {
    this.platform = platform;
  }

  /** Starts the platform only; daemons and agents are started afterwards. */
  static async open(): Promise<RealFleet> {
    return new RealFleet(await startPlatform({}));
  }

  /**
   * Starts an entry daemon behind a fault proxy.
   *
   * @param vm - name of its VM
   * @param dataCentre - data centre of the VM
   * @param predecessor - a daemon that has ended; the new one reuses its peer port and proxy
   * @returns the daemon
   */
  async startDaemon(vm: string, dataCentre: string, predecessor?: RealDaemon): Promise<RealDaemon> {
    const peerAddress = predecessor?.peerAddress ?? (await this.findPeerAddress());
    const proxy = predecessor?.proxy ?? (await startFaultProxy({ target: peerAddress }));
    this.proxies.push(proxy);
    const seeds = this.agents.map((local) => local.address);
    const process = await this.group.startConfigured('entry', vm, {
      vm: { id: vm, data_centre: dataCentre },
      callers: { listen: '127.0.0.1:0' },
      administration: { listen: '127.0.0.1:0' },
      peer: { listen: peerAddress, advertise: proxy.hostPort, seeds },
      platform: { address: this.platform.address },
      log: { level: 'info', format: 'json' },
      shutdown: { settle_time: '100ms' },
    });
    const daemon = { vm, dataCentre, process, proxy, peerAddress };
    this.daemons.set(vm, daemon);
    return daemon;
  }

  /**
   * Starts a fleet agent in this process.
   *
   * @param vm - VM name under which the agent joins the fleet
   * @param dataCentre - data centre of the VM
   * @returns the agent and its peer address
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
    if (daemon === undefined) throw new Error(`no daemon with the VM name ${vm}`);
    return daemon;
  }

  /** Lists the generations that a daemon has activated since its start, in the order of its log. */
  listActivations(vm: string): readonly GenerationActivation[] {
    const lines = this.getDaemon(vm).process.stderr.split('\n');
    return lines.flatMap((line) => parseActivation(line) ?? []);
  }

  getActiveGeneration(vm: string): number {
    return this.listActivations(vm).at(-1)?.generation ?? 0;
  }

  /** Waits until the given generation or a later one is active at all given daemons. */
  async waitForGeneration(
    generation: number,
    vms: Iterable<string> = this.daemons.keys(),
  ): Promise<void> {
    const names = [...vms];
    await waitUntil(
      `generation ${generation} is active at ${names.join(', ')}`,
      () => names.every((vm) => this.getActiveGeneration(vm) >= generation),
      WAIT_TIMEOUT_MS,
    );
  }

  /** Waits until a member has one of the given states at an agent; undefined means not listed. */
  async waitForMemberState(
    local: LocalAgent,
    vm: string,
    states: readonly (MemberState | undefined)[],
  ): Promise<void> {
    const getState = (): MemberState | undefined =>
      local.agent.getMembers().find((member) => member.vm === vm)?.state;
    await waitUntil(
      `state of member ${vm} is ${states.map(String).join(' or ')}`,
      () => states.includes(getState()),
      WAIT_TIMEOUT_MS,
    );
  }

  /** Counts activations, over all daemons, of a generation older than the one active before. */
  countGenerationDecreases(): number {
    let reverts = 0;
    for (const vm of this.daemons.keys()) {
      const generations = this.listActivations(vm).map((entry) => entry.generation);
      reverts += generations.filter((value, at) => value < (generations[at - 1] ?? 0)).length;
    }
    return reverts;
  }

  /** Finds an address on a host of its own: a proxy or another process could take a port that was free on a shared one. */
  private async findPeerAddress(): Promise<string> {
    const host = buildLoopbackHost(SUBNET, this.hostCount);
    this.hostCount += 1;
    return `${host}:${await findFreePort(host)}`;
  }

  /** Stops all agents, daemons and proxies, and the platform. */
  async stop(): Promise<void> {
    for (const local of this.agents) local.stop();
    await this.group.stop();
    await Promise.all([...new Set(this.proxies)].map((proxy) => proxy.stop()));
    await this.platform.stop();
  }
}

const WAIT_TIMEOUT_MS = 120_000;
