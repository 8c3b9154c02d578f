import { ServiceKind } from '@sardinegrade/common';

import { findCycle } from './findCycle.js';

import type { IniDocument, SettingFault } from '@sardinegrade/common';
import type { ConfigurationValues, ServiceValues } from './schema.js';

/** A fault whose line has not been looked up yet. */
interface Fault {
  readonly path: readonly string[];
  readonly message: string;
}

const SHARE_TOLERANCE = 1e-9;

const formatNames = (names: readonly string[]): string =>
  names.length === 0 ? 'none is defined' : `defined are ${names.join(', ')}`;

const findDependencyFaults = (values: ConfigurationValues): readonly Fault[] => {
  const names = Object.keys(values.service);
  const dangling = Object.entries(values.service).flatMap(([name, service]) =>
    service.depends
      .filter((target) => !names.includes(target))
      .map((target) => ({
        path: ['service', name, 'depends'],
        message: `no service '${target}'; ${formatNames(names)}`,
      })),
  );
  const edges = new Map(
    Object.entries(values.service).map(([name, service]) => [name, service.depends]),
  );
  const cycle = findCycle(edges);
  if (cycle === undefined) return dangling;
  const path = ['service', cycle[0] ?? '', 'depends'];
  return [...dangling, { path, message: `cycle ${cycle.join(' -> ')}` }];
};

const findModelFaults = (values: ConfigurationValues): readonly Fault[] => {
  const owners = new Map<string, string>();
  const faults: Fault[] = [];
  for (const [name, { kind, model }] of Object.entries(values.service)) {
    const path = ['service', name, 'model'];
    if (kind === ServiceKind.Plain) {
      if (model !== undefined) faults.push({ path, message: 'only a model service has a model' });
      continue;
    }
    if (model === undefined) {
      faults.push({ path, message: 'is missing; write the name that callers use' });
      continue;
    }
    const owner = owners.get(model);
    if (owner !== undefined) {
      faults.push({ path, message: `service '${owner}' has model '${model}' already` });
    }
    owners.set(model, owner ?? name);
  }
  return faults;
};

const findClassFaults = (values: ConfigurationValues): readonly Fault[] => {
  const workspaces = Object.keys(values.workspace);
  return Object.entries(values.service).flatMap(([service, { class: classes }]) =>
    Object.entries(classes).flatMap(([name, { workspaces: allowed }]) =>
      allowed
        .filter((workspace) => !workspaces.includes(workspace))
        .map((workspace) => ({
          path: ['service', service, 'class', name, 'workspaces'],
          message: `no workspace '${workspace}'; ${formatNames(workspaces)}`,
        })),
    ),
  );
};

const findDefaultClassFault = (name: string, service: ServiceValues): Fault | undefined => {
  const names = Object.keys(service.class);
  const path = ['service', name, 'default_class'];
  if (names.length === 0) {
    return { path: ['service', name], message: `write a section [service.${name}.class.CLASS]` };
  }
  if (service.default_class === undefined) {
    if (names.length === 1) return undefined;
    return { path, message: `is missing; write one of ${names.join(', ')}` };
  }
  if (names.includes(service.default_class)) return undefined;
  return { path, message: `no class '${service.default_class}'; write one of ${names.join(', ')}` };
};

const findShareFault = (name: string, service: ServiceValues): Fault | undefined => {
  const shares = Object.values(service.class).map((values) => values.minimum_share);
  const sum = shares.reduce((total, share) => total + share, 0);
  if (sum <= 1 + SHARE_TOLERANCE) return undefined;
  const last = Object.keys(service.class).at(-1) ?? '';
  return {
    path: ['service', name, 'class', last, 'minimum_share'],
    message: `minimum shares of service '${name}' add up to ${sum.toFixed(3)}; at most 1 is accepted`,
  };
};

const findServiceFaults = (values: ConfigurationValues): readonly Fault[] =>
  Object.entries(values.service).flatMap(([name, service]) =>
    [findDefaultClassFault(name, service), findShareFault(name, service)].filter(
      (fault) => fault !== undefined,
    ),
  );

const findPoolFaults = (values: ConfigurationValues): readonly Fault[] => {
  const poolsWithUpstreams = new Set(
    Object.values(values.upstream).map((upstream) => upstream.pool),
  );
  const poolsWithServices = new Set(Object.values(values.service).map((service) => service.pool));
  const names = [...poolsWithUpstreams].sort();
  const services = Object.entries(values.service)
    .filter(([, service]) => !poolsWithUpstreams.has(service.pool))
    .map(([name, { pool }]) => ({
      path: ['service', name, 'pool'],
      message: `no upstream in pool '${pool}'; pools with upstreams: ${names.join(', ') || 'none'}`,
    }));
  const pools = Object.keys(values.pool)
    .filter((name) => !poolsWithServices.has(name) && !poolsWithUpstreams.has(name))
    .map((name) => ({
      path: ['pool', name],
      message: `neither a service nor an upstream names pool '${name}'`,
    }));
  return [...services, ...pools];
};

const findKeyFaults = (values: ConfigurationValues): readonly Fault[] => {
  const owners = new Map<string, string>();
  const faults: Fault[] = [];
  for (const [name, workspace] of Object.entries(values.workspace)) {
    for (const hash of workspace.key_sha256) {
      const owner = owners.get(hash);
      owners.set(hash, name);
      if (owner === undefined) continue;
      faults.push({
        path: ['workspace', name, 'key_sha256'],
        message: `key hash ${hash.slice(0, 8)}… stands at workspace '${owner}' already`,
      });
    }
  }
  return faults;
};

const FAULT_FINDERS = [
  findModelFaults,
  findDependencyFaults,
  findServiceFaults,
  findClassFaults,
  findPoolFaults,
  findKeyFaults,
];

/**
 * Validates rules that span several keys: references, cycles, sums and duplicates.
 *
 * @param values - values whose keys have been validated individually
 * @param document - the parsed text, for line numbers
 * @returns all faults with their lines
 */
export const findFaults = (
  values: ConfigurationValues,
  document: IniDocument,
): readonly SettingFault[] =>
  FAULT_FINDERS.flatMap((find) => find(values)).map(({ path, message }) => ({
    line: document.findLine(path),
    key: path.join('.'),
    message,
  }));
