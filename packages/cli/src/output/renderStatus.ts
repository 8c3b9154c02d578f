import { formatNumber, formatShare } from './format.js';
import { renderTable } from './renderTable.js';

import type {
  ClassView,
  LatencyView,
  ServiceView,
  StatusView,
  UpstreamView,
  VmView,
} from '@sardinegrade/common';

const NO_CONFIGURATION =
  'No configuration is in force yet; sardinegrade apply FILE makes the first one.';

const formatLatency = (latency: LatencyView | undefined, targetMs: number): string => {
  const measured = latency === undefined ? '' : `${Math.round(latency.p95_ms)}`;
  return `${measured || '-'}/${Math.round(targetMs)} ms`;
};

const renderServices = (services: readonly ServiceView[]): string =>
  renderTable(
    ['SERVICE', 'STATE', 'UPSTREAMS', 'DEPENDS ON', 'WHY'],
    services.map((service) => [
      service.name,
      service.state,
      `${service.upstreams_in_use}/${service.upstreams}`,
      service.depends_on.join(', '),
      service.reasons.join('; '),
    ]),
  );

const toClassRow = (service: ServiceView, view: ClassView): readonly string[] => [
  `${service.name}.${view.name}`,
  view.tier,
  `${view.queued}/${view.queue_limit}`,
  formatShare(view.attainment.share),
  String(view.attainment.requests),
  service.kind === 'model' ? formatLatency(view.first_token, view.first_token_target_ms) : '',
  service.kind === 'model' ? formatLatency(view.token_interval, view.token_interval_target_ms) : '',
];

const renderClasses = (services: readonly ServiceView[]): string =>
  renderTable(
    ['CLASS', 'TIER', 'QUEUED', 'ATTAINED', 'REQUESTS', 'FIRST TOKEN P95', 'INTERVAL P95'],
    services.flatMap((service) => service.classes.map((view) => toClassRow(service, view))),
  );

const renderVms = (vms: readonly VmView[]): string =>
  renderTable(
    ['VM', 'DATA CENTRE', 'STATE', 'GENERATION', 'DRAINING'],
    vms.map((vm) => [
      vm.vm,
      vm.data_centre,
      vm.state,
      formatNumber(vm.generation),
      vm.draining ? 'yes' : '',
    ]),
  );

/**
 * Renders the status of the fleet.
 *
 * @param status - status of one daemon, or the merged status of several
 * @returns tables of services, classes and VMs
 */
export const renderStatus = (status: StatusView): string => {
  const { generation, highest_generation: highest } = status;
  const lag = highest > generation ? `, ${highest} is on its way` : '';
  const drains = status.drains.map(({ scope, name, author }) => `${scope} ${name} (by ${author})`);
  const drainLine = drains.length === 0 ? [] : [`Draining: ${drains.join(', ')}`];
  if (highest === 0) return [NO_CONFIGURATION, renderVms(status.vms)].join('\n\n');
  const head = [`Generation ${generation} in force${lag}.`, ...drainLine].join('\n');
  return [
    head,
    renderServices(status.services),
    renderClasses(status.services),
    renderVms(status.vms),
  ].join('\n\n');
};

/**
 * Renders a list of upstreams.
 *
 * @param upstreams - the upstreams, in row order
 * @returns a table
 */
export const renderUpstreams = (upstreams: readonly UpstreamView[]): string =>
  renderTable(
    [
      'UPSTREAM',
      'POOL',
      'DATA CENTRE',
      'HEALTH',
      'GRANTED',
      'LIMIT',
      'SLOTS',
      'FENCING',
      'DRAINING',
      'ADDRESS',
    ],
    upstreams.map((upstream) => [
      upstream.id,
      upstream.pool,
      upstream.data_centre,
      upstream.health ?? '',
      formatNumber(upstream.granted),
      formatNumber(upstream.limit),
      String(upstream.slots),
      upstream.fencing,
      upstream.draining ? 'yes' : '',
      upstream.address,
    ]),
  );
