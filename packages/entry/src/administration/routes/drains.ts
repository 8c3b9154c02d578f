import {
  AdministratorRole,
  drainsSchema,
  drainScopeSchema,
  generationSchema,
  ResultCode,
} from '@sardinegrade/common';
import { DrainScope } from '@sardinegrade/fleet';

import { ApiError } from '../errors.js';
import { readChangeId, readPathPart } from '../http/input.js';
import { describeDrains } from '../views/index.js';
import { requireConfiguration } from './configuration.js';
import { CHANGE_ID_HEADER } from './parameters.js';

import type { GenerationView } from '@sardinegrade/common';
import type { Route, RouteInput, RouteReply } from '../http/types.js';
import type { AdministrationContext } from '../types.js';

const SCOPES: Readonly<Record<string, DrainScope>> = {
  vm: DrainScope.Vm,
  upstream: DrainScope.Upstream,
  data_centre: DrainScope.DataCentre,
};

/** Lists the valid drain names of each scope. */
const NAME_LISTERS: Readonly<
  Record<DrainScope, (context: AdministrationContext) => readonly string[]>
> = {
  [DrainScope.Vm]: ({ fleet }) => fleet.getMembers().map((member) => member.vm),
  [DrainScope.Upstream]: (context) => [...requireConfiguration(context).upstreams.keys()],
  [DrainScope.DataCentre]: (context) => [
    ...context.fleet.getMembers().map((member) => member.dataCentre),
    ...[...requireConfiguration(context).upstreams.values()].map(({ dataCentre }) => dataCentre),
  ],
};

const readScope = (request: RouteInput): DrainScope => {
  const text = readPathPart(request, 'scope');
  const result = drainScopeSchema.safeParse(text);
  const scope = result.success ? SCOPES[result.data] : undefined;
  if (scope !== undefined) return scope;
  const accepted = Object.keys(SCOPES).join(', ');
  throw new ApiError(ResultCode.UnknownTarget, `No scope '${text}'; it is one of ${accepted}.`);
};

const checkTargetName = (context: AdministrationContext, scope: DrainScope, name: string): void => {
  const names = [...new Set(NAME_LISTERS[scope](context))].sort();
  if (names.includes(name)) return;
  const message = `No ${scope} '${name}'; known are ${names.join(', ') || 'none'}.`;
  throw new ApiError(ResultCode.UnknownTarget, message);
};

const updateDrain = async (
  context: AdministrationContext,
  request: RouteInput,
  isDraining: boolean,
): Promise<RouteReply> => {
  const scope = readScope(request);
  const name = readPathPart(request, 'name');
  // Drains of names that no longer exist can still be cleared, so that no stale drain remains.
  if (isDraining) checkTargetName(context, scope, name);
  const author = request.administrator?.name ?? '';
  const record = await context.fleet.setDrain({
    drain: { scope, name, author, sinceMs: context.clock.getNowMs() },
    isDraining,
    changeId: readChangeId(request, context.newId),
  });
  const body: GenerationView = {
    generation: record.generation,
    text_generation: record.textGeneration,
    author: record.author,
    at_ms: record.atMs,
  };
  return { body };
};

const COMMON_ROUTE_FIELDS = {
  path: '/v1/drains/{scope}/{name}',
  role: AdministratorRole.Change,
  headers: [CHANGE_ID_HEADER],
  replySchema: generationSchema,
  codes: [ResultCode.UnknownTarget, ResultCode.PlatformUnavailable],
};

/** Routes that list, set and clear drains of VMs, upstreams and data centres. */
export const DRAIN_ROUTES: readonly Route[] = [
  {
    method: 'GET',
    path: '/v1/drains',
    summary: 'The drain marks in force.',
    role: AdministratorRole.Read,
    replySchema: drainsSchema,
    handle: (context) => ({ body: { drains: describeDrains(context) } }),
  },
  {
    ...COMMON_ROUTE_FIELDS,
    method: 'PUT',
    summary:
      'Marks a VM, upstream or data centre (scope vm, upstream, data_centre) to get no new work.',
    handle: (context, request) => updateDrain(context, request, true),
  },
  {
    ...COMMON_ROUTE_FIELDS,
    method: 'DELETE',
    summary: 'Clears a drain mark.',
    handle: (context, request) => updateDrain(context, request, false),
  },
];
