import { fileURLToPath } from 'node:url';

import { ManagedProcess } from '../../../harness/index.js';

import type { NodeOptions, NodeStatus } from './types.js';

const SCRIPT = fileURLToPath(new URL('./fleetNode.js', import.meta.url));

/** A group of processes whose fleet agents join one fleet. */
export class NodeGroup {
  private readonly processes: ManagedProcess[] = [];
  private readonly defaults: Pick<NodeOptions, 'platform' | 'partnerChoice'>;

  constructor(defaults: Pick<NodeOptions, 'platform' | 'partnerChoice'>) {
    this.defaults = defaults;
  }

  /**
   * Starts a process whose agents join through the first process of the group.
   *
   * @param dataCentre - the data centre of its agents
   * @param agents - the number of agents in the process
   * @returns the index of the process, for `readStatus`
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
   * Starts several processes at the same time, with one agent in each.
   *
   * @param dataCentre - the data centre of the agents
   * @param count - the number of processes
   * @param seeds - addresses of the members through which the agents join
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
   * Reads the resources that a process has used so far.
   *
   * @param index - the index that `start` returned
   * @returns the status of the process
   */
  async readStatus(index: number): Promise<NodeStatus> {
    const address = this.processes[index]?.getAddress('control') ?? '';
    return (await (await fetch(address)).json()) as NodeStatus;
  }

  /** Reads the resources that every process has used so far. */
  readAll(): Promise<readonly NodeStatus[]> {
    return Promise.all(this.processes.map((_process, index) => this.readStatus(index)));
  }

  private createProcess(options: NodeOptions): ManagedProcess {
    const args = ['--expose-gc', SCRIPT, JSON.stringify(options)];
    const created = new ManagedProcess({ name: options.name, args });
    this.processes.push(created);
    return created;
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map((started) => started.abort()));
    this.processes.length = 0;
  }
}
