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

/** Dependencies of a distribution agent. */
export interface DistributionAgentOptions {
  readonly connections: FleetConnections;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: () => number;
  readonly getAddress: (vm: VmId) => string | undefined;
  /** Receives each configuration that becomes active. */
  readonly onInstall: (configuration: FleetConfiguration) => void;
}

/** Runs the distribution state machine with a clock, peer connections and the platform. */
export interface DistributionAgent {
  readonly responder: FleetResponders['fetchConfiguration'];
  readonly tick: () => void;
  readonly addPeerGeneration: (from: VmId, generation: number) => void;
  readonly setWatcher: (isWatcher: boolean) => void;
  /** Adds a generation that this daemon has just written to the platform. */
  readonly addStoredRecord: (record: ConfigurationRecord) => void;
  readonly getConfiguration: () => FleetConfiguration | undefined;
  readonly getStatus: () => ConfigurationStatus;
  readonly stop: () => void;
}

const toUndefined = (): undefined => undefined;

const findRecord = (changes: readonly ObjectChange[]): ConfigurationRecord | undefined => {
  const latest = changes.findLast((change) => change.name === CONFIGURATION_NAME);
  return decodeRecord(latest?.object?.value);
};

/** Builds the configuration of a record; undefined if this version of the program cannot parse its text. */
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
  /** Configurations built from fetched records, so that activating a record doesn't parse it again. */
  private readonly builtConfigurations = new WeakMap<ConfigurationRecord, FleetConfiguration>();
  private readonly options: DistributionAgentOptions;
  private readonly abortController = new AbortController();

  constructor(options: DistributionAgentOptions) {
    this.options = options;
    this.state = createDistribution(this.createContext());
  }

  readonly responder: DistributionAgent['responder'] = (request) =>
    encodeRecordMessage(this.state.record, request.atLeast);

  readonly tick = (): void => {
    this.handle({ kind: DistributionEventKind.Tick });
  };

  readonly addPeerGeneration = (from: VmId, generation: number): void => {
    this.handle({ kind: DistributionEventKind.GenerationReported, from, generation });
  };

  readonly setWatcher = (isWatcher: boolean): void => {
    this.handle({ kind: DistributionEventKind.WatcherChanged, isWatcher });
  };

  readonly addStoredRecord = (record: ConfigurationRecord): void => {
    this.handle({ kind: DistributionEventKind.Stored, record });
  };

  readonly getConfiguration = (): FleetConfiguration | undefined => this.configuration;

  readonly getStatus = (): ConfigurationStatus => ({
    generation: this.configuration?.generation ?? 0,
    highestKnownGeneration: this.state.highestKnownGeneration,
    isWatcher: this.state.isWatcher,
  });

  readonly stop = (): void => this.abortController.abort();

  private createContext(): DistributionContext {
    return { nowMs: this.options.clock.getNowMs(), random: this.options.random };
  }

  private handle(event: DistributionEvent): void {
    if (this.abortController.signal.aborted) return;
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
        this.updateActiveConfiguration(action.record);
        return;
    }
  }

  /** Makes a record's configuration active. If its text cannot be parsed, the previous one stays active. */
  private updateActiveConfiguration(record: ConfigurationRecord): void {
    const configuration = this.builtConfigurations.get(record) ?? buildConfiguration(record);
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
            .catch(toUndefined);
    const record = reply === undefined ? undefined : decodeRecordMessage(reply);
    const configuration = record === undefined ? undefined : buildConfiguration(record);
    if (record === undefined || configuration === undefined) {
      this.handle({ kind: DistributionEventKind.FetchFailed, from });
      return;
    }
    this.builtConfigurations.set(record, configuration);
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
    const { signal } = this.abortController;
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
 * Creates an agent that runs the distribution state machine.
 *
 * @param options - dependencies of the agent
 * @returns the agent
 */
export const createDistributionAgent = (options: DistributionAgentOptions): DistributionAgent =>
  new RunningDistribution(options);
