import { readControl, sendControl } from '../control.js';

import type { EngineCounts } from '../../standins/index.js';
import type { FaultProxy } from '../../proxy/index.js';
import type { ManagedProcess } from '../ManagedProcess.js';
import type { ProcessGroup } from '../ProcessGroup.js';
import type { EnginePlace } from './configurationText.js';
import type { ClusterEngine } from './types.js';

/** An engine of a cluster, which can be started again at its address after a crash. */
export class EngineProcess {
  readonly id: string;
  proxy: FaultProxy | undefined;
  /** How often the engine has died. */
  crashes = 0;
  private readonly group: ProcessGroup;
  private readonly dataCentre: string;
  private readonly options: ClusterEngine;
  private running: ManagedProcess | undefined;
  private listen = '127.0.0.1:0';
  /** Tokens made by processes that are gone, as far as they were read. */
  private readonly earlier: EngineCounts[] = [];
  private latest: EngineCounts | undefined;
  /** Hashes of the prompts that were begun in any life. */
  readonly startedPrompts = new Set<number>();

  constructor(group: ProcessGroup, id: string, dataCentre: string, options: ClusterEngine) {
    this.group = group;
    this.id = id;
    this.dataCentre = dataCentre;
    this.options = options;
  }

  get process(): ManagedProcess {
    if (this.running === undefined) throw new Error(`${this.id} has not started.`);
    return this.running;
  }

  /** Base address of the engine itself. */
  get address(): string {
    return this.process.getAddress('address');
  }

  get place(): EnginePlace {
    const { slots } = this.options;
    const address = this.proxy?.address ?? this.address;
    return { id: this.id, dataCentre: this.dataCentre, address, slots };
  }

  /** Starts the engine, at its old address where it had one. */
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
    this.keepLatest();
    this.running = started;
    this.listen = this.address.replace(/^http:\/\//, '');
    void started.exited.then(() => {
      this.crashes += 1;
    });
  }

  /** Sets faults of the engine. */
  async setBehaviour(behaviour: Readonly<Record<string, unknown>>): Promise<void> {
    await sendControl(this.address, behaviour);
  }

  /** Ends the engine as a crash does, after a last look at its counts. */
  async abort(): Promise<void> {
    await this.observe();
    this.keepLatest();
    await this.process.abort();
  }

  /** Counts what the engine has done over all its lives, as far as it could be read. */
  async readCounts(): Promise<EngineCounts> {
    await this.observe();
    const all = this.latest === undefined ? this.earlier : [...this.earlier, this.latest];
    const total: Record<string, number> = {};
    for (const counts of all) {
      for (const [name, count] of Object.entries(counts)) {
        total[name] = (total[name] ?? 0) + Number(count);
      }
    }
    return total as unknown as EngineCounts;
  }

  /** Keeps the counts of a life that has ended. */
  private keepLatest(): void {
    if (this.latest !== undefined) this.earlier.push(this.latest);
    this.latest = undefined;
  }

  /** Looks at the counts, which go when the engine dies. */
  async observe(): Promise<void> {
    if (!this.process.isRunning) return;
    this.latest = (await readControl(this.address)) as unknown as EngineCounts;
    const response = await fetch(`${this.address}/control/started`);
    for (const hash of (await response.json()) as number[]) this.startedPrompts.add(hash);
  }
}
