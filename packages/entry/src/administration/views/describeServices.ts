import { MetricName, pickWorseState, ServiceState } from '@sardinegrade/common';

import type {
  AttainmentView,
  ClassConfiguration,
  ClassView,
  Configuration,
  LatencyView,
  ServiceConfiguration,
  ServiceName,
  ServiceView,
} from '@sardinegrade/common';
import type { AdministrationContext, UpstreamState } from '../types.js';

const findLatency = (
  { metrics }: AdministrationContext,
  name: MetricName,
  service: string,
  className: string,
): LatencyView | undefined => {
  const latency = metrics.getLatency(name, service, className);
  if (latency === undefined) return undefined;
  const { count, p50Ms, p95Ms, p99Ms } = latency;
  return { count, p50_ms: p50Ms, p95_ms: p95Ms, p99_ms: p99Ms };
};

const describeClass = (
  context: AdministrationContext,
  service: ServiceName,
  configuration: ClassConfiguration,
): ClassView => {
  const { name } = configuration;
  const queue = context
    .listQueues()
    .find((state) => state.service === service && state.className === name);
  const attainment: AttainmentView = context.metrics.getClassAttainment(service, name);
  return {
    name,
    tier: configuration.tier,
    priority: configuration.priority,
    first_token_target_ms: configuration.firstTokenTargetMs,
    token_interval_target_ms: configuration.tokenIntervalTargetMs,
    deadline_ms: configuration.deadlineMs,
    minimum_share: configuration.minimumShare,
    queued: queue?.queued ?? 0,
    queue_limit: configuration.queueLimit,
    attainment,
    first_token: findLatency(context, MetricName.FirstToken, service, name),
    token_interval: findLatency(context, MetricName.TokenInterval, service, name),
    queue_wait: findLatency(context, MetricName.QueueWait, service, name),
  };
};

interface PoolUsage {
  readonly inUse: number;
  readonly total: number;
  /** One reason for each upstream that is not in use. */
  readonly reasons: readonly string[];
}

const measurePoolUsage = (
  configuration: Configuration,
  service: ServiceConfiguration,
  states: ReadonlyMap<string, UpstreamState>,
): PoolUsage => {
  const reasons: string[] = [];
  let total = 0;
  for (const upstream of configuration.upstreams.values()) {
    if (upstream.pool !== service.pool) continue;
    total += 1;
    const state = states.get(upstream.id);
    if (upstream.draining) reasons.push(`upstream ${upstream.id} is draining`);
    else if (state?.isInUse === false) reasons.push(`upstream ${upstream.id} is ${state.health}`);
  }
  return { inUse: total - reasons.length, total, reasons };
};

const deriveOwnState = ({ inUse, total }: PoolUsage): ServiceState => {
  if (inUse === 0) return ServiceState.Down;
  return inUse < total ? ServiceState.Degraded : ServiceState.Serving;
};

const describeService = (
  context: AdministrationContext,
  configuration: Configuration,
  service: ServiceConfiguration,
  dependencies: readonly ServiceView[],
): ServiceView => {
  const states = new Map(context.listUpstreamStates().map((state) => [state.upstream, state]));
  const pool = measurePoolUsage(configuration, service, states);
  const failing = dependencies.filter(({ state }) => state !== ServiceState.Serving);
  const reasons = failing.map(({ name, state }) => `depends on ${name}, which is ${state}`);
  const state = failing.map((view) => view.state).reduce(pickWorseState, deriveOwnState(pool));
  return {
    name: service.name,
    kind: service.kind,
    model: service.model,
    pool: service.pool,
    depends_on: [...service.dependsOn],
    state,
    reasons: [...pool.reasons, ...reasons],
    upstreams_in_use: pool.inUse,
    upstreams: pool.total,
    classes: [...service.classes.values()].map((configured) =>
      describeClass(context, service.name, configured),
    ),
  };
};

/**
 * Describes every service, based on the upstream states known to this daemon.
 *
 * @param context - state of this daemon
 * @param configuration - the active configuration
 * @returns the services in dependency order: each one follows the services it depends on
 */
export const describeServices = (
  context: AdministrationContext,
  configuration: Configuration,
): readonly ServiceView[] => {
  const views = new Map<ServiceName, ServiceView>();
  const addService = (service: ServiceConfiguration): void => {
    if (views.has(service.name)) return;
    for (const name of service.dependsOn) {
      const dependency = configuration.services.get(name);
      if (dependency !== undefined) addService(dependency);
    }
    const dependencies = service.dependsOn.flatMap((name) => views.get(name) ?? []);
    views.set(service.name, describeService(context, configuration, service, dependencies));
  };
  // The recursion terminates because configuration validation rejects dependency cycles.
  for (const service of configuration.services.values()) addService(service);
  return [...views.values()];
};
