import { ServiceKind, toBranded } from '@sardinegrade/common';

import type {
  ClassConfiguration,
  ClassName,
  ModelName,
  PoolName,
  ServiceConfiguration,
  ServiceName,
  UpstreamConfiguration,
  UpstreamId,
  WorkspaceConfiguration,
  WorkspaceName,
} from '@sardinegrade/common';
import type {
  ClassValues,
  ConfigurationValues,
  PoolValues,
  ServiceValues,
  UpstreamValues,
} from './schema.js';
import type { FleetConfiguration, PoolConfiguration, PoolModel } from './types.js';

const POOL_MODEL = /^([^@+]+)(?:@([^@+]+))?(?:\+([^@+]+))?$/;

const toClass = (name: ClassName, values: ClassValues): ClassConfiguration => ({
  name,
  tier: values.tier,
  priority: values.priority,
  firstTokenTargetMs: values.first_token_target,
  tokenIntervalTargetMs: values.token_interval_target,
  deadlineMs: values.deadline,
  minimumShare: values.minimum_share,
  queueLimit: values.queue_limit,
  workspaces: values.workspaces.map((workspace) => toBranded<WorkspaceName>(workspace)),
});

const toMap = <Name extends string, Values, Item>(
  record: Readonly<Record<string, Values>>,
  brand: (name: string) => Name,
  toItem: (name: Name, values: Values) => Item,
): ReadonlyMap<Name, Item> =>
  new Map(
    Object.entries(record).map(([key, values]) => {
      const name = brand(key);
      return [name, toItem(name, values)];
    }),
  );

const toService = (name: ServiceName, values: ServiceValues): ServiceConfiguration => ({
  name,
  kind: values.kind,
  model: values.model === undefined ? undefined : toBranded<ModelName>(values.model),
  pool: toBranded<PoolName>(values.pool),
  dependsOn: values.depends.map((target) => toBranded<ServiceName>(target)),
  classes: toMap(values.class, (key) => toBranded<ClassName>(key), toClass),
  defaultClass: toBranded<ClassName>(values.default_class ?? Object.keys(values.class)[0] ?? ''),
  repeatableMethods: new Set(values.repeatable),
  upstreamDeduplicates: values.upstream_deduplicates,
  statusLookupPath: values.status_lookup,
  orderRetentionMs: values.order_retention,
  retry: { budgetShare: values.retry_share, attemptLimit: values.attempts },
});

const toWorkspace = (
  name: WorkspaceName,
  values: ConfigurationValues['workspace'][string],
): WorkspaceConfiguration => ({ name, keyHashes: values.key_sha256, weight: values.weight });

const toUpstream = (id: UpstreamId, values: UpstreamValues): UpstreamConfiguration => ({
  id,
  pool: toBranded<PoolName>(values.pool),
  dataCentre: toBranded(values.data_centre),
  address: values.address,
  slots: values.slots,
  fencing: values.fencing,
  draining: values.draining,
});

const parsePoolModel = (text: string): PoolModel => {
  const match = POOL_MODEL.exec(text);
  return {
    model: toBranded<ModelName>(match?.[1] ?? text),
    version: match?.[2],
    adapter: match?.[3],
  };
};

const listServedModels = (pool: string, values: ConfigurationValues): readonly string[] =>
  Object.values(values.service)
    .filter((service) => service.kind === ServiceKind.Model && service.pool === pool)
    .flatMap((service) => service.model ?? []);

const toPools = (values: ConfigurationValues): ReadonlyMap<PoolName, PoolConfiguration> => {
  const toPool = (name: PoolName, pool: PoolValues | undefined): PoolConfiguration => ({
    name,
    models: (pool?.models ?? listServedModels(name, values)).map(parsePoolModel),
    role: pool?.role,
    copies: pool?.copies ?? 0,
  });
  const names = new Set([
    ...Object.values(values.upstream).map((upstream) => upstream.pool),
    ...Object.keys(values.pool),
  ]);
  return new Map(
    [...names].map((text) => {
      const name = toBranded<PoolName>(text);
      return [name, toPool(name, values.pool[text])];
    }),
  );
};

/**
 * Builds the configuration from validated values.
 *
 * @param text - configuration text that the values were read from
 * @param generation - generation of the text
 * @param values - validated values
 * @returns the configuration, without drain marks
 */
export const toConfiguration = (
  text: string,
  generation: number,
  values: ConfigurationValues,
): FleetConfiguration => ({
  generation,
  text,
  services: toMap(values.service, (key) => toBranded<ServiceName>(key), toService),
  workspaces: toMap(values.workspace, (key) => toBranded<WorkspaceName>(key), toWorkspace),
  upstreams: toMap(values.upstream, (key) => toBranded<UpstreamId>(key), toUpstream),
  pools: toPools(values),
  drains: [],
});
