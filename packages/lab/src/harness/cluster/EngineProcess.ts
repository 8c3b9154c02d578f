import { readCounts, sendControl } from '../control.js';

import type { EngineCounts } from '../../standins/index.js';
import type { FaultProxy } from '../../proxy/index.js';
import type { ManagedProcess } from '../ManagedProcess.js';
import type { ProcessGroup } from '../ProcessGroup.js';
import type { EngineEndpoint } from './configurationText.js';
import type { ClusterEngine } from './types.js';

/** An engine of a cluster, which can be restarted at the same address after a crash. */
export class EngineProcess {
  readonly id: string;
  proxy: FaultProxy | undefined;
  /** Number of times the engine's process has exited. */
  crashes = 0;
  private readonly group: ProcessGroup;
  private readonly dataCentre: string;
  private readonly options: ClusterEngine;
  private current: ManagedProcess | undefined;
  private listen = '127.0.0.1:0';
  /** Last counters read from processes that have exited, one entry for each. */
  private readonly previousCounts: EngineCounts[] = [];
  private latestCounts: EngineCounts | undefined;
  /** Hashes of the prompts that got a slot in any of the engine's processes. */
  readonly startedPrompts = new Set<number>();

  constructor(group: ProcessGroup, id: string, dataCentre: string, options: ClusterEngine) {
    this.group = group;
    this.id = id;
    this.dataCentre = dataCentre;
    this.options = options;
  }

  get process(): ManagedProcess {
    if (this.current === undefined) throw new Error(`Engine '${this.id}' has not been started.`);
    return this.current;
  }

  /** Base address of the engine, without its proxy. */
  get address(): string {
    return this.process.getAddress('address');
  }

  get endpoint(): EngineEndpoint {
    const { slots } = this.options;
    const address = this.proxy?.address ?? this.address;
    return { id: this.id, dataCentre: this.dataCentre, address, slots };
  }

  /** Starts the engine, at its previous address if it has run before. */
  async start(): Promise<void> {
    const { slots, flags = {} } = this.options;
    const args = Object.entries({ slots, ...flags }).flatMap(([flag, value]) => [
      `--${flag}`,
      String(value),
    ]);
    const started = await this.group.start('lab', this.id, [
      'engine',
      '--listen',
      this.listen,
      ...args,
    ]);
    this.pushLatestCounts();
    this.current = started;
    this.listen = this.address.replace(/^http:\/\//, '');
    void started.exited.then(() => {
      this.crashes += 1;
    });
  }

  /** Changes the engine's behaviour through its control endpoint. */
  async setBehaviour(behaviour: Readonly<Record<string, unknown>>): Promise<void> {
    await sendControl(this.address, behaviour);
  }

  /** Reads the engine's counters a last time and kills its process, which simulates a crash. */
  async abort(): Promise<void> {
    await this.updateCounts();
    this.pushLatestCounts();
    await this.process.abort();
  }

  /** Sums the counters of all processes of the engine, as last read from each. */
  async readCounts(): Promise<EngineCounts> {
    await this.updateCounts();
    const all =
      this.latestCounts === undefined
        ? this.previousCounts
        : [...this.previousCounts, this.latestCounts];
    const total: Record<string, number> = {};
    for (const counts of all) {
      for (const [name, count] of Object.entries(counts)) {
        total[name] = (total[name] ?? 0) + Number(count);
      }
    }
    return total as unknown as EngineCounts;
  }

  /** Moves the latest counters to those of the exited processes. */
  private pushLatestCounts(): void {
    if (this.latestCounts !== undefined) this.previousCounts.push(this.latestCounts);
    this.latestCounts = undefined;
  }

  /** Reads the counters and started prompts, which are lost when the engine's process exits. */
  async updateCounts(): Promise<void> {
    if (!this.process.isRunning) return;
    this.latestCounts = (await readCounts(this.address)) as unknown as EngineCounts;
    const response = await fetch(`${this.address}/control/started`);
    for (const hash of (await response.json()) as number[]) this.startedPrompts.add(hash);
  }
}
