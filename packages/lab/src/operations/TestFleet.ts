import { hashKey } from '@sardinegrade/fleet';

import { formatIni, ProcessGroup } from '../harness/index.js';
import { runCommand } from './runCommand.js';

import type { IniSections, ManagedProcess } from '../harness/index.js';
import type { CommandResult } from './runCommand.js';

/** API keys of the fleet's two administrators and of its workspace. */
export const ADMINISTRATOR_KEY = 'ann-key';
export const READER_KEY = 'reader-key';
export const WORKSPACE_KEY = 'rig-key';

const MODEL = 'drill-7b';
const DATA_CENTRE = 'hobart';

/** Size and tracing of a fleet. */
export interface FleetOptions {
  readonly vms: number;
  readonly engines: number;
  /** Requests that an engine runs at once. */
  readonly slots: number;
  /** Address of an OpenTelemetry collector that receives the traces. */
  readonly otlpAddress?: string;
}

/** Runs stand-ins for the platform, the engines and a plain service, and entry daemons, each as a child process. */
export class TestFleet {
  readonly #group = new ProcessGroup();
  #platform: ManagedProcess | undefined;
  #service: ManagedProcess | undefined;
  #engines: readonly ManagedProcess[] = [];
  #vms: readonly ManagedProcess[] = [];
  #slots = 0;

  /**
   * Starts the stand-ins first, since the configuration of the daemons contains their addresses.
   *
   * @param options - number of processes, slots per engine, and the trace collector
   */
  readonly start = async (options: FleetOptions): Promise<void> => {
    this.#slots = options.slots;
    this.#platform = await this.#group.start('lab', 'platform', ['platform']);
    this.#service = await this.#group.start('lab', 'desk', ['service']);
    const engineArgs = ['engine', '--models', MODEL, '--slots', String(options.slots)];
    for (let number = 1; number <= options.engines; number += 1) {
      const engine = await this.#group.start('lab', `e${number}`, engineArgs);
      this.#engines = [...this.#engines, engine];
    }
    for (let number = 1; number <= options.vms; number += 1) {
      const vm = await this.#startVm(`vm-${number}`, options);
      this.#vms = [...this.#vms, vm];
    }
  };

  /** Stops all processes. */
  readonly stop = (): Promise<void> => this.#group.stop();

  get platform(): ManagedProcess {
    return this.#requireDefined(this.#platform);
  }

  /**
   * @param index - position in start order, from 0
   * @returns the process of the engine
   */
  readonly getEngineProcess = (index: number): ManagedProcess =>
    this.#requireDefined(this.#engines[index]);

  /**
   * @param index - position in start order, from 0
   * @returns the process of the entry daemon
   */
  readonly getEntryProcess = (index: number): ManagedProcess =>
    this.#requireDefined(this.#vms[index]);

  /**
   * Runs the operator's command-line tool with the addresses of all daemons.
   *
   * @param args - subcommand, arguments and options
   * @param key - API key of an administrator; by default the one that has all roles
   * @returns exit code, stdout and stderr
   */
  readonly runCli = (args: readonly string[], key = ADMINISTRATOR_KEY): Promise<CommandResult> => {
    const addresses = this.#vms.map((vm) => vm.getAddress('administration'));
    return runCommand({ addresses, key }, args);
  };

  /**
   * Writes a configuration of this fleet to a file.
   *
   * @param changes - replacements made in the text; each replaces only the first occurrence
   * @returns path of the file
   */
  readonly writeConfiguration = (
    changes: readonly (readonly [from: string, to: string])[] = [],
  ): string => {
    let text = formatIni(this.#buildConfiguration());
    for (const [from, to] of changes) text = text.replace(from, to);
    return this.#group.writeFile('fleet.ini', text);
  };

  /**
   * Sends a completion request to an entry daemon.
   *
   * @param index - position of the daemon in start order, from 0
   * @param requestId - sent as x-request-id and as the prompt
   * @param options - request class and maximum number of tokens
   * @returns the response of the daemon
   */
  readonly sendCompletion = (
    index: number,
    requestId: string,
    options: { readonly className?: string; readonly tokens?: number } = {},
  ): Promise<Response> => {
    const { className = 'query', tokens = 4 } = options;
    return fetch(`${this.getEntryProcess(index).getAddress('callers')}/v1/chat/completions`, {
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
   * Sends an order for the plain service to an entry daemon.
   *
   * @param index - position of the daemon in start order, from 0
   * @param key - idempotency key, also sent as x-request-id and as the body
   * @returns the response of the daemon
   */
  readonly sendOrder = (index: number, key: string): Promise<Response> =>
    fetch(`${this.getEntryProcess(index).getAddress('callers')}/services/booking/bits`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${WORKSPACE_KEY}`,
        'idempotency-key': key,
        'x-request-id': key,
      },
      body: key,
    });

  /**
   * Reads the metrics of an entry daemon.
   *
   * @param index - position of the daemon in start order, from 0
   * @returns metrics in the Prometheus text format
   */
  readonly readMetrics = async (index: number): Promise<string> => {
    const response = await fetch(
      `${this.getEntryProcess(index).getAddress('administration')}/metrics`,
      {
        headers: { authorization: `Bearer ${READER_KEY}` },
      },
    );
    return response.text();
  };

  readonly #requireDefined = <Value>(value: Value | undefined): Value => {
    if (value === undefined)
      throw new Error(
        'The process does not exist: the fleet has not been started, or the index is out of range.',
      );
    return value;
  };

  readonly #startVm = (id: string, { otlpAddress }: FleetOptions): Promise<ManagedProcess> => {
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

  readonly #buildConfiguration = (): IniSections => ({
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
      address: this.#requireDefined(this.#service).getAddress('address'),
    },
  });
}
