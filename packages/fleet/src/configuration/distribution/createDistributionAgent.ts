import { applyDrains } from '../drains.js';
import { parseConfiguration } from '../parseConfiguration.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME, decodeRecord } from '../store/index.js';
import { FETCH_TIMEOUT_MS, WATCH_TIMEOUT_MS } from './constants.js';
import { DistributionActionKind, DistributionEventKind } from './enums.js';
import { decodeRecordMessage, encodeRecordMessage } from './recordMessage.js';
import { createDistribution, reduceDistribution } from './reduceDistribution.js';

import type { Clock, VmId } from '@sardinegrade/common';
import type { FleetConnections, FleetResponders } from '@sardinegrade/peer';
import type { ObjectChange, PlatformClient } from '@sardinegrade/platform';
import type { ConfigurationRecord, ConfigurationStatus } from '../../types.js';
import type { FleetConfiguration } from '../types.js';
import type {
  DistributionAction,
  DistributionContext,
  DistributionEvent,
  DistributionState,
} from './types.js';

type ActionOf<Kind extends DistributionActionKind> = Extract<DistributionAction, { kind: Kind }>;

/** What the distribution agent needs. */
export interface DistributionAgentOptions {
  readonly connections: FleetConnections;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: () => number;
  readonly getAddress: (vm: VmId) => string | undefined;
  readonly onInstall: (configuration: FleetConfiguration) => void;
}

/** The distribution machine, connected to clock, peers and platform. */
export interface DistributionAgent {
  readonly responder: FleetResponders['fetchConfiguration'];
  readonly tick: () => void;
  readonly addHeard: (from: VmId, generation: number) => void;
  readonly setWatcher: (isWatcher: boolean) => void;
  readonly addStored: (record: ConfigurationRecord) => void;
  readonly getConfiguration: () => FleetConfiguration | undefined;
  readonly getStatus: () => ConfigurationStatus;
  readonly stop: () => void;
}

const expectNothing = (): undefined => undefined;

const findRecord = (changes: readonly ObjectChange[]): ConfigurationRecord | undefined => {
  const latest = changes.findLast((change) => change.name === CONFIGURATION_NAME);
  return decodeRecord(latest?.object?.value);
};

/** Builds what a record holds; undefined where this program cannot read its text. */
const buildConfiguration = (record: ConfigurationRecord): FleetConfiguration | undefined => {
  try {
    const configuration = parseConfiguration(record.text, record.generation);
    return applyDrains(configuration, record.drains);
  } catch {
    return undefined;
  }
};

class RunningDistribution implements DistributionAgent {
  private state: DistributionState;
  private configuration: FleetConfiguration | undefined;
  /** What a fetched record was found to hold, until it is put into force. */
  private readonly built = new WeakMap<ConfigurationRecord, FleetConfiguration>();
  private readonly options: DistributionAgentOptions;
  private readonly aborter = new AbortController();

  constructor(options: DistributionAgentOptions) {
    this.options = options;
    this.state = createDistribution(this.createContext());
  }

  readonly responder: DistributionAgent['responder'] = (request) =>
    encodeRecordMessage(this.state.record, request.atLeast);

  readonly tick = (): void => {
    this.handle({ kind: DistributionEventKind.Tick });
  };

  readonly addHeard = (from: VmId, generation: number): void => {
    this.handle({ kind: DistributionEventKind.Heard, from, generation });
  };

  readonly setWatcher = (isWatcher: boolean): void => {
    this.handle({ kind: DistributionEventKind.WatcherChanged, isWatcher });
  };

  readonly addStored = (record: ConfigurationRecord): void => {
    this.handle({ kind: DistributionEventKind.Stored, record });
  };

  readonly getConfiguration = (): FleetConfiguration | undefined => this.configuration;

  readonly getStatus = (): ConfigurationStatus => ({
    generation: this.configuration?.generation ?? 0,
    highestHeard: this.state.highestHeard,
    isWatcher: this.state.isWatcher,
  });

  readonly stop = (): void => this.aborter.abort();

  private createContext(): DistributionContext {
    return { nowMs: this.options.clock.getNowMs(), random: this.options.random };
  }

  private handle(event: DistributionEvent): void {
    if (this.aborter.signal.aborted) return;
    const { state, actions } = reduceDistribution(this.state, event, this.createContext());
    this.state = state;
    for (const action of actions) this.perform(action);
  }

  private perform(action: DistributionAction): void {
    switch (action.kind) {
      case DistributionActionKind.Fetch:
        void this.fetch(action);
        return;
      case DistributionActionKind.Read:
        void this.read();
        return;
      case DistributionActionKind.Watch:
        void this.watch(action);
        return;
      case DistributionActionKind.Install:
        this.applyRecord(action.record);
        return;
    }
  }

  private applyRecord(record: ConfigurationRecord): void {
    const configuration = this.built.get(record) ?? buildConfiguration(record);
    if (configuration === undefined) return;
    this.configuration = configuration;
    this.options.onInstall(configuration);
  }

  private async fetch(action: ActionOf<DistributionActionKind.Fetch>): Promise<void> {
    const { from, atLeast } = action;
    const address = this.options.getAddress(from);
    const reply =
      address === undefined
        ? undefined
        : await this.options.connections
            .fetchConfiguration(address, { atLeast }, FETCH_TIMEOUT_MS)
            .catch(expectNothing);
    const record = reply === undefined ? undefined : decodeRecordMessage(reply);
    const configuration = record === undefined ? undefined : buildConfiguration(record);
    if (record === undefined || configuration === undefined) {
      this.handle({ kind: DistributionEventKind.FetchFailed, from });
      return;
    }
    this.built.set(record, configuration);
    this.handle({ kind: DistributionEventKind.Fetched, record });
  }

  private async read(): Promise<void> {
    try {
      const object = await this.options.platform.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
      const record = decodeRecord(object?.value);
      const version = object?.version ?? 0;
      this.handle({ kind: DistributionEventKind.PlatformRead, version, record });
    } catch {
      this.handle({ kind: DistributionEventKind.PlatformFailed });
    }
  }

  private async watch(action: ActionOf<DistributionActionKind.Watch>): Promise<void> {
    const { platform } = this.options;
    const { signal } = this.aborter;
    const after = action.afterVersion;
    try {
      const result = await platform.watch(CONFIGURATION_KIND, after, WATCH_TIMEOUT_MS, signal);
      const record = findRecord(result.changes);
      const version = result.isTruncated ? undefined : result.version;
      this.handle({ kind: DistributionEventKind.PlatformWatched, version, record });
    } catch {
      this.handle({ kind: DistributionEventKind.PlatformFailed });
    }
  }
}

/**
 * Connects the distribution machine to clock, peers and platform.
 *
 * @param options - what the machine acts through
 * @returns the agent
 */
export const createDistributionAgent = (options: DistributionAgentOptions): DistributionAgent =>
  new RunningDistribution(options);
