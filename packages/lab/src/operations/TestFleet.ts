import { hashKey } from '@sardinegrade/fleet';

import { formatIni, ProcessGroup } from '../harness/index.js';
import { runCommand } from './runCommand.js';

import type { IniSections, ManagedProcess } from '../harness/index.js';
import type { CommandRun } from './runCommand.js';

/** Keys of the fleet's administrators and of its workspace. */
export const ADMINISTRATOR_KEY = 'ann-key';
export const READER_KEY = 'reader-key';
export const WORKSPACE_KEY = 'rig-key';

const MODEL = 'drill-7b';
const DATA_CENTRE = 'hobart';

/** How large a fleet is. */
export interface FleetSize {
  readonly vms: number;
  readonly engines: number;
  readonly slots: number;
  /** Address of a collector of traces. */
  readonly otlpAddress?: string;
}

/** A platform, engines, a plain service and entry daemons, as real processes. */
export class TestFleet {
  readonly #group = new ProcessGroup();
  #platform: ManagedProcess | undefined;
  #service: ManagedProcess | undefined;
  #engines: readonly ManagedProcess[] = [];
  #vms: readonly ManagedProcess[] = [];
  #slots = 0;

  /**
   * Starts the processes.
   *
   * @param size - how many, and where traces go
   */
  readonly start = async (size: FleetSize): Promise<void> => {
    this.#slots = size.slots;
    this.#platform = await this.#group.start('lab', 'platform', ['platform']);
    this.#service = await this.#group.start('lab', 'desk', ['service']);
    const engineArgs = ['engine', '--models', MODEL, '--slots', String(size.slots)];
    for (let number = 1; number <= size.engines; number += 1) {
      const engine = await this.#group.start('lab', `e${number}`, engineArgs);
      this.#engines = [...this.#engines, engine];
    }
    for (let number = 1; number <= size.vms; number += 1) {
      const vm = await this.#startVm(`vm-${number}`, size);
      this.#vms = [...this.#vms, vm];
    }
  };

  /** Ends all processes. */
  readonly stop = (): Promise<void> => this.#group.stop();

  get platform(): ManagedProcess {
    return this.#require(this.#platform);
  }

  /**
   * @param index - counted from 0
   * @returns an engine's process
   */
  readonly getEngine = (index: number): ManagedProcess => this.#require(this.#engines[index]);

  /**
   * @param index - counted from 0
   * @returns an entry daemon's process
   */
  readonly getVm = (index: number): ManagedProcess => this.#require(this.#vms[index]);

  /**
   * Runs the operator's command line against all daemons.
   *
   * @param args - the command line
   * @param key - whose key; that of an administrator with all roles by default
   * @returns exit code and output
   */
  readonly run = (args: readonly string[], key = ADMINISTRATOR_KEY): Promise<CommandRun> => {
    const addresses = this.#vms.map((vm) => vm.getAddress('administration'));
    return runCommand({ addresses, key }, args);
  };

  /**
   * Writes a configuration text to a file.
   *
   * @param changes - replacements within the text
   * @returns the file's path
   */
  readonly writeText = (changes: readonly (readonly [from: string, to: string])[] = []): string => {
    let text = formatIni(this.#createText());
    for (const [from, to] of changes) text = text.replace(from, to);
    return this.#group.writeFile('fleet.ini', text);
  };

  /**
   * Sends a completion request to an entry daemon.
   *
   * @param index - the daemon
   * @param requestId - the request's id
   * @param options - class and number of tokens
   * @returns the response
   */
  readonly complete = (
    index: number,
    requestId: string,
    options: { readonly className?: string; readonly tokens?: number } = {},
  ): Promise<Response> => {
    const { className = 'query', tokens = 4 } = options;
    return fetch(`${this.getVm(index).getAddress('callers')}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${WORKSPACE_KEY}`,
        'sardinegrade-class': className,
        'x-request-id': requestId,
      },
      body: JSON.stringify({
        model: MODEL,
        messages: [{ role: 'user', content: requestId }],
        max_tokens: tokens,
      }),
    });
  };

  /**
   * Sends an order to the plain service.
   *
   * @param index - the daemon
   * @param key - the order's key
   * @returns the response
   */
  readonly order = (index: number, key: string): Promise<Response> =>
    fetch(`${this.getVm(index).getAddress('callers')}/services/booking/bits`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${WORKSPACE_KEY}`,
        'idempotency-key': key,
        'x-request-id': key,
      },
      body: key,
    });

  /**
   * Reads a daemon's metrics.
   *
   * @param index - the daemon
   * @returns Prometheus text
   */
  readonly readMetrics = async (index: number): Promise<string> => {
    const response = await fetch(`${this.getVm(index).getAddress('administration')}/metrics`, {
      headers: { authorization: `Bearer ${READER_KEY}` },
    });
    return response.text();
  };

  readonly #require = <Value>(value: Value | undefined): Value => {
    if (value === undefined) throw new Error('The fleet has not been started so far.');
    return value;
  };

  readonly #startVm = (id: string, { otlpAddress }: FleetSize): Promise<ManagedProcess> => {
    const [first] = this.#vms;
    const seeds = first === undefined ? [] : [new URL(first.getAddress('peer')).host];
    return this.#group.startConfigured('entry', id, {
      vm: { id, data_centre: DATA_CENTRE },
      callers: { listen: '127.0.0.1:0' },
      administration: { listen: '127.0.0.1:0' },
      'administrator.ann': {
        roles: ['read', 'change', 'settle'],
        key_sha256: [hashKey(ADMINISTRATOR_KEY)],
      },
      'administrator.reader': { roles: ['read'], key_sha256: [hashKey(READER_KEY)] },
      peer: { listen: '127.0.0.1:0', seeds },
      platform: { address: this.platform.getAddress('address') },
      traces: { otlp_address: otlpAddress },
      log: { level: 'info', format: 'json' },
    });
  };

  readonly #createText = (): IniSections => ({
    'service.counter': {
      kind: 'model',
      model: MODEL,
      pool: 'engines',
      depends: ['booking'],
      default_class: 'query',
    },
    'service.counter.class.query': { tier: 'paying', minimum_share: 0.5 },
    'service.counter.class.report': { tier: 'free', minimum_share: 0.1, queue_limit: 1 },
    'service.booking': { kind: 'plain', pool: 'desk' },
    'service.booking.class.book': { tier: 'paying' },
    'workspace.rig-desk': { key_sha256: [hashKey(WORKSPACE_KEY)] },
    ...Object.fromEntries(
      this.#engines.map((engine, index) => [
        `upstream.e${index + 1}`,
        {
          pool: 'engines',
          data_centre: DATA_CENTRE,
          address: engine.getAddress('address'),
          slots: this.#slots,
        },
      ]),
    ),
    'upstream.d1': {
      pool: 'desk',
      data_centre: DATA_CENTRE,
      address: this.#require(this.#service).getAddress('address'),
    },
  });
}
