import {
  AdministratorRole,
  ResultCode,
  servicesSchema,
  statusSchema,
  upstreamsSchema,
  vmsSchema,
  workspacesSchema,
} from '@sardinegrade/common';

import * as views from '../views/index.js';
import { requireConfiguration } from './configuration.js';

import type { Route } from '../http/types.js';

/** Routes that show the state of this daemon and of the fleet. */
export const STATUS_ROUTES: readonly Route[] = [
  {
    method: 'GET',
    path: '/v1/status',
    summary: 'This VM, the VMs that it knows, and each service after those that it depends on.',
    role: AdministratorRole.Read,
    replySchema: statusSchema,
    handle: (context) => ({ body: views.describeStatus(context) }),
  },
  {
    method: 'GET',
    path: '/v1/services',
    summary: 'Services, and their classes with attainment against targets.',
    role: AdministratorRole.Read,
    replySchema: servicesSchema,
    codes: [ResultCode.NotReady],
    handle: (context) => ({
      body: { services: views.describeServices(context, requireConfiguration(context)) },
    }),
  },
  {
    method: 'GET',
    path: '/v1/workspaces',
    summary: 'Workspaces with their attainment.',
    role: AdministratorRole.Read,
    replySchema: workspacesSchema,
    codes: [ResultCode.NotReady],
    handle: (context) => ({
      body: { workspaces: views.describeWorkspaces(context, requireConfiguration(context)) },
    }),
  },
  {
    method: 'GET',
    path: '/v1/vms',
    summary: 'VMs with their states and the generation that each has in force.',
    role: AdministratorRole.Read,
    replySchema: vmsSchema,
    handle: (context) => ({ body: { vms: views.describeVms(context) } }),
  },
  {
    method: 'GET',
    path: '/v1/upstreams',
    summary: 'Upstreams, with health and grants where this VM dispatches to them.',
    role: AdministratorRole.Read,
    replySchema: upstreamsSchema,
    codes: [ResultCode.NotReady],
    handle: (context) => ({
      body: { upstreams: views.describeUpstreams(context, requireConfiguration(context)) },
    }),
  },
];
