import { fileURLToPath } from 'node:url';

import { ManagedProcess } from '../../../harness/index.js';

import type { NodeOptions, NodeStatus } from './types.js';

const SCRIPT = fileURLToPath(new URL('./fleetNode.js', import.meta.url));

/** Processes of fleet agents that find each other. */
export class NodeGroup {
  private readonly processes: ManagedProcess[] = [];
  private readonly defaults: Pick<NodeOptions, 'platform' | 'partnerChoice'>;

  constructor(defaults: Pick<NodeOptions, 'platform' | 'partnerChoice'>) {
    this.defaults = defaults;
  }

  /**
   * Starts a process.
   *
   * @param dataCentre - where its agents are
   * @param agents - how many agents share the process
   * @returns its number, for `readStatus`
   */
  async start(dataCentre: string, agents: number): Promise<number> {
    const name = `${dataCentre}-${this.processes.length}`;
    const first = this.processes[0];
    const seeds = first === undefined ? [] : [first.getAddress('peer').replace('http://', '')];
    const options: NodeOptions = { ...this.defaults, name, dataCentre, agents, seeds };
    const started = this.createProcess(options);
    await started.waitListening();
    return this.processes.length - 1;
  }

  /**
   * Starts several processes at once, one agent in each.
   *
   * @param dataCentre - where the agents are
   * @param count - how many
   * @param seeds - whom they join by
   */
  async startTogether(dataCentre: string, count: number, seeds: readonly string[]): Promise<void> {
    const started = Array.from({ length: count }, (_, index) =>
      this.createProcess({
        ...this.defaults,
        name: `${dataCentre}-${index}`,
        dataCentre,
        agents: 1,
        seeds,
      }),
    );
    await Promise.all(started.map((process) => process.waitListening()));
  }

  /**
   * Reads what a process has spent.
   *
   * @param index - the process's number
   * @returns its status
   */
  async readStatus(index: number): Promise<NodeStatus> {
    const address = this.processes[index]?.getAddress('control') ?? '';
    return (await (await fetch(address)).json()) as NodeStatus;
  }

  /** Reads what every process has spent. */
  readAll(): Promise<readonly NodeStatus[]> {
    return Promise.all(this.processes.map((_process, index) => this.readStatus(index)));
  }

  private createProcess(options: NodeOptions): ManagedProcess {
    const args = ['--expose-gc', SCRIPT, JSON.stringify(options)];
    const created = new ManagedProcess({ name: options.name, args });
    this.processes.push(created);
    return created;
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map((started) => started.abort()));
    this.processes.length = 0;
  }
}
