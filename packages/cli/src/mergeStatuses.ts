import { pickWorseState } from '@sardinegrade/common';

import type {
  AttainmentView,
  ClassView,
  LatencyView,
  ServiceView,
  StatusView,
  VmView,
} from '@sardinegrade/common';

const mergeAttainment = (a: AttainmentView, b: AttainmentView): AttainmentView => {
  const requests = a.requests + b.requests;
  const attained = a.attained + b.attained;
  return { requests, attained, share: requests === 0 ? undefined : attained / requests };
};

/** Percentiles cannot be added, so those of the slower daemon are used for both. */
const pickSlower = (
  a: LatencyView | undefined,
  b: LatencyView | undefined,
): LatencyView | undefined => {
  if (a === undefined || b === undefined) return a ?? b;
  return a.p95_ms >= b.p95_ms ? a : b;
};

const mergeClass = (a: ClassView, b: ClassView | undefined): ClassView => {
  if (b === undefined) return a;
  return {
    ...a,
    queued: a.queued + b.queued,
    attainment: mergeAttainment(a.attainment, b.attainment),
    first_token: pickSlower(a.first_token, b.first_token),
    token_interval: pickSlower(a.token_interval, b.token_interval),
    queue_wait: pickSlower(a.queue_wait, b.queue_wait),
  };
};

const mergeService = (a: ServiceView, b: ServiceView | undefined): ServiceView => {
  if (b === undefined) return a;
  const classes = new Map(b.classes.map((view) => [view.name, view]));
  return {
    ...a,
    state: pickWorseState(a.state, b.state),
    reasons: [...new Set([...a.reasons, ...b.reasons])],
    upstreams_in_use: Math.min(a.upstreams_in_use, b.upstreams_in_use),
    classes: a.classes.map((view) => mergeClass(view, classes.get(view.name))),
  };
};

const pickNewer = (a: VmView, b: VmView | undefined): VmView => {
  if (b === undefined) return a;
  return (b.generation ?? 0) > (a.generation ?? 0) ? b : a;
};

const mergeVms = (a: readonly VmView[], b: readonly VmView[]): VmView[] => {
  const others = new Map(b.map((vm) => [vm.vm, vm]));
  const known = new Set(a.map((vm) => vm.vm));
  return [
    ...a.map((vm) => pickNewer(vm, others.get(vm.vm))),
    ...b.filter((vm) => !known.has(vm.vm)),
  ];
};

const mergePair = (a: StatusView, b: StatusView): StatusView => {
  const [newer, older] = b.generation > a.generation ? [b, a] : [a, b];
  const services = new Map(older.services.map((service) => [service.name, service]));
  return {
    ...newer,
    ready: a.ready && b.ready,
    highest_generation: Math.max(a.highest_generation, b.highest_generation),
    services: newer.services.map((service) => mergeService(service, services.get(service.name))),
    vms: mergeVms(newer.vms, older.vms),
  };
};

/**
 * Merges the statuses that several daemons report.
 *
 * @param first - status of one daemon
 * @param others - statuses of the other daemons
 * @returns one status: sums of queue lengths and attainment; ready only if all are; the worst state, latencies
 *   and number of upstreams in use; the rest from the status with the highest generation
 */
export const mergeStatuses = (first: StatusView, others: readonly StatusView[]): StatusView =>
  others.reduce(mergePair, first);
