import { FencingSupport, ServiceKind, Tier, toBranded } from '@sardinegrade/common';

import { DispatchEventKind } from '../enums.js';

import type {
  ClassConfiguration,
  ClassName,
  Configuration,
  ServiceConfiguration,
  ServiceName,
  UpstreamConfiguration,
  UpstreamId,
  WorkspaceConfiguration,
  WorkspaceName,
} from '@sardinegrade/common';
import type { ReleaseReason } from '../enums.js';
import type { DispatchEvent, GrantRequest } from '../types.js';

/** Options of a test configuration. */
export interface ConfigurationShape {
  readonly engines: number;
  readonly slots: number;
  readonly classes?: readonly Partial<ClassConfiguration>[];
  readonly weights?: Readonly<Record<string, number>>;
  readonly drained?: readonly string[];
}

const SERVICE = toBranded<ServiceName>('counter');

const DEFAULT_CLASSES: readonly Partial<ClassConfiguration>[] = [
  { name: toBranded<ClassName>('query'), tier: Tier.Paying },
  { name: toBranded<ClassName>('history'), tier: Tier.Free, minimumShare: 0.1 },
];

const buildClass = (overrides: Partial<ClassConfiguration>): ClassConfiguration => ({
  name: toBranded<ClassName>('query'),
  tier: Tier.Paying,
  priority: 0,
  firstTokenTargetMs: 1_200,
  tokenIntervalTargetMs: 78,
  deadlineMs: 60_000,
  minimumShare: 0,
  queueLimit: 1_000,
  workspaces: [],
  ...overrides,
});

const buildService = (classes: readonly Partial<ClassConfiguration>[]): ServiceConfiguration => {
  const built = classes.map(buildClass);
  return {
    name: SERVICE,
    kind: ServiceKind.Model,
    model: toBranded('drill-7b'),
    pool: toBranded('pool'),
    dependsOn: [],
    classes: new Map(built.map((definition) => [definition.name, definition])),
    defaultClass: toBranded('query'),
    repeatableMethods: new Set(),
    upstreamDeduplicates: false,
    statusLookupPath: undefined,
    orderRetentionMs: 0,
    retry: { budgetShare: 0.1, attemptLimit: 3 },
  };
};

/**
 * Gets the identifier of an engine of a test configuration.
 *
 * @param index - position of the engine, from 0
 * @returns the identifier
 */
export const toEngineId = (index: number): UpstreamId => toBranded<UpstreamId>(`engine-${index}`);

const buildUpstream = (
  index: number,
  { slots, drained }: ConfigurationShape,
): UpstreamConfiguration => ({
  id: toEngineId(index),
  pool: toBranded('pool'),
  dataCentre: toBranded('hobart-1'),
  address: `http://127.0.0.1:${index + 1}`,
  slots,
  fencing: FencingSupport.Checked,
  draining: drained?.includes(toEngineId(index)) ?? false,
});

const buildWorkspaces = (
  weights: Readonly<Record<string, number>>,
): ReadonlyMap<WorkspaceName, WorkspaceConfiguration> =>
  new Map(
    Object.entries(weights).map(([name, weight]) => {
      const branded = toBranded<WorkspaceName>(name);
      return [branded, { name: branded, keyHashes: [], weight }];
    }),
  );

/**
 * Builds a configuration with one model service.
 *
 * @param shape - engines, slots and classes
 * @returns the configuration
 */
export const buildConfiguration = (shape: ConfigurationShape): Configuration => {
  const upstreams = Array.from({ length: shape.engines }, (_, index) =>
    buildUpstream(index, shape),
  );
  return {
    generation: 1,
    text: '',
    services: new Map([[SERVICE, buildService(shape.classes ?? DEFAULT_CLASSES)]]),
    workspaces: buildWorkspaces(shape.weights ?? {}),
    upstreams: new Map(upstreams.map((upstream) => [upstream.id, upstream])),
  };
};

/**
 * Builds the event that configures a dispatcher with all engines of a configuration.
 *
 * @param shape - engines, slots and classes
 * @returns the event
 */
export const buildConfiguredEvent = (shape: ConfigurationShape): DispatchEvent => {
  const configuration = buildConfiguration(shape);
  return {
    kind: DispatchEventKind.Configured,
    configuration,
    upstreams: [...configuration.upstreams.keys()],
  };
};

/** Options of a test ask, with plain strings for branded names. */
export type AskShape = Partial<
  Omit<GrantRequest, 'className' | 'workspace' | 'fingerprint' | 'requestId'>
> & {
  readonly askId: string;
  readonly className?: string;
  readonly workspace?: string;
  readonly fingerprint?: string;
  readonly requestId?: string;
};

/**
 * Builds an ask for the service of the test configuration.
 *
 * @param shape - the fields that differ from the defaults
 * @returns the ask
 */
export const buildAsk = (shape: AskShape): GrantRequest => {
  const { className, workspace, fingerprint, requestId, ...rest } = shape;
  return {
    vm: toBranded('vm-1'),
    service: SERVICE,
    arrivedAtMs: 0,
    deadlineAtMs: 60_000,
    promptTokens: 100,
    maxTokens: 200,
    prefixBlocks: [],
    resumeAt: 0,
    excludedUpstreams: [],
    attempt: 1,
    isSuspect: false,
    heldUpstream: undefined,
    ...rest,
    requestId: toBranded(requestId ?? `request-${shape.askId}`),
    className: toBranded(className ?? 'query'),
    workspace: toBranded(workspace ?? 'rig-desk'),
    fingerprint: toBranded(fingerprint ?? `fingerprint-${shape.askId}`),
  };
};

/**
 * Builds the event of an ask.
 *
 * @param ask - the request for a grant
 * @returns the event
 */
export const toAskEvent = (ask: GrantRequest): DispatchEvent => ({
  kind: DispatchEventKind.Ask,
  ask,
});

/**
 * Builds the event that ends a grant.
 *
 * @param askId - identifier of the granted request
 * @param reason - reason of the end
 * @param measured - token count and latencies, in milliseconds; 0 tokens and no latencies by default
 * @returns the event
 */
export const toReleaseEvent = (
  askId: string,
  reason: ReleaseReason,
  measured: { tokens?: number; firstTokenMs?: number; tokenIntervalMs?: number } = {},
): DispatchEvent => ({
  kind: DispatchEventKind.Release,
  release: {
    askId,
    reason,
    tokens: measured.tokens ?? 0,
    firstTokenMs: measured.firstTokenMs,
    tokenIntervalMs: measured.tokenIntervalMs,
  },
});
