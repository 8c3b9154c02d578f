import { AdministratorRole, parseIniDocument, validateIni } from '@sardinegrade/common';
import { ENTRY_SETTINGS_SCHEMA, EntryDaemon } from '@sardinegrade/entry';
import { hashKey } from '@sardinegrade/fleet';

import { formatIni, waitUntil } from '../harness/index.js';
import { startEngine, startPlatform, startService } from '../standins/index.js';
import { buildSampleText, SAMPLE_KEYS } from './sample.js';

import type { DaemonAddresses } from '@sardinegrade/entry';
import type { EngineStandIn, PlatformStandIn, ServiceStandIn } from '../standins/index.js';

const VM_NAMES = ['vm-1', 'vm-2'] as const;
const ENGINE_COUNT = 2;

/** Options of the demonstration system. */
export interface DemoOptions {
  /** Port on which the first daemon accepts callers; 0 lets the operating system choose one. */
  readonly port: number;
  readonly logLevel: string;
  /** Files for TLS with callers and between the daemons; if absent, connections are unencrypted. */
  readonly tls?: DemoTlsFiles;
}

/** Paths of the TLS files. */
export interface DemoTlsFiles {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

interface DemoVm {
  readonly daemon: EntryDaemon;
  readonly addresses: DaemonAddresses;
}

const buildSettings = (
  vm: string,
  platform: string,
  seeds: readonly string[],
  options: DemoOptions,
) =>
  formatIni({
    vm: { id: vm, data_centre: 'hobart' },
    callers: {
      listen: `127.0.0.1:${seeds.length === 0 ? options.port : 0}`,
      tls_certificate: options.tls?.certificate,
      tls_key: options.tls?.key,
    },
    administration: { listen: '127.0.0.1:0' },
    'administrator.demo': {
      roles: Object.values(AdministratorRole),
      key_sha256: [hashKey(SAMPLE_KEYS.administrator)],
    },
    peer: {
      listen: '127.0.0.1:0',
      ...(seeds.length === 0 ? {} : { seeds }),
      tls_certificate: options.tls?.certificate,
      tls_key: options.tls?.key,
      tls_authority: options.tls?.authority,
    },
    platform: { address: platform },
    log: { level: options.logLevel },
  });

/** A complete small system in one process: platform, engines, a plain service and two entry daemons. */
export class DemoSystem {
  readonly platform: PlatformStandIn;
  readonly engines: readonly EngineStandIn[];
  readonly service: ServiceStandIn;
  readonly vms: readonly DemoVm[];

  private constructor(
    platform: PlatformStandIn,
    engines: readonly EngineStandIn[],
    service: ServiceStandIn,
    vms: readonly DemoVm[],
  ) {
    this.platform = platform;
    this.engines = engines;
    this.service = service;
    this.vms = vms;
  }

  /**
   * Starts the system and applies the sample configuration through the administration API.
   *
   * @param options - port, log level and TLS files
   * @returns the running system, ready on every VM
   */
  static readonly start = async (options: DemoOptions): Promise<DemoSystem> => {
    const platform = await startPlatform();
    const engines = await Promise.all(
      Array.from({ length: ENGINE_COUNT }, () =>
        startEngine({ models: ['drill-7b'], slots: 4, tokenIntervalMs: 10 }),
      ),
    );
    const service = await startService();
    const vms: DemoVm[] = [];
    for (const vm of VM_NAMES) {
      const seeds = vms.map(({ addresses }) => addresses.peer);
      const text = buildSettings(vm, platform.address, seeds, options);
      const settings = validateIni(parseIniDocument(text), ENTRY_SETTINGS_SCHEMA, `${vm}.ini`);
      const daemon = new EntryDaemon(settings);
      vms.push({ daemon, addresses: await daemon.start() });
    }
    const system = new DemoSystem(platform, engines, service, vms);
    await system.#applySample();
    await waitUntil('both VMs to be ready', () => vms.every(({ daemon }) => daemon.isReady()));
    return system;
  };

  /** Stops the daemons, then the stand-ins. */
  readonly stop = async (): Promise<void> => {
    await Promise.all(this.vms.map(({ daemon }) => daemon.shutDown()));
    await Promise.all(
      [...this.engines, this.service, this.platform].map((standIn) => standIn.stop()),
    );
  };

  /**
   * Gets the base address on which a VM accepts callers.
   *
   * @param index - index of the VM, from 0
   * @returns `http://host:port`
   */
  readonly getCallersAddress = (index: number): string =>
    `http://${this.vms[index]?.addresses.callers ?? ''}`;

  readonly getAdministrationAddress = (index: number): string =>
    `http://${this.vms[index]?.addresses.administration ?? ''}`;

  readonly #applySample = async (): Promise<void> => {
    const text = buildSampleText({
      engines: this.engines.map(({ address }) => address),
      service: this.service.address,
    });
    const response = await fetch(`${this.getAdministrationAddress(0)}/v1/configuration`, {
      method: 'PUT',
      headers: {
        authorization: `Bearer ${SAMPLE_KEYS.administrator}`,
        'if-match': '"0"',
        'content-type': 'text/plain',
      },
      body: text,
    });
    if (!response.ok)
      throw new Error(`The sample configuration was rejected: ${await response.text()}`);
  };
}
