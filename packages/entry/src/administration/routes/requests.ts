import {
  AdministratorRole,
  explanationSchema,
  explanationsSchema,
  ResultCode,
  traceSchema,
  tracesSchema,
} from '@sardinegrade/common';

import { ApiError } from '../errors.js';
import { readLimit, readPathPart } from '../http/input.js';
import { describeRequest, describeTrace } from '../views/index.js';
import { LIMIT_PARAMETER } from './parameters.js';

import type { Route, RouteInput, RouteReply } from '../http/types.js';
import type { AdministrationContext } from '../types.js';

const handleExplain = (context: AdministrationContext, request: RouteInput): RouteReply => {
  const requestId = readPathPart(request, 'request_id');
  const entry = context.journal.find(requestId);
  if (entry !== undefined) return { body: describeRequest(entry, context.vm) };
  const message = `This VM has no account of request '${requestId}'; it keeps the latest ones only.`;
  throw new ApiError(ResultCode.UnknownTarget, message);
};

const handleTrace = (context: AdministrationContext, request: RouteInput): RouteReply => {
  const traceId = readPathPart(request, 'trace_id');
  const trace = context.traces.find(traceId);
  if (trace !== undefined) return { body: describeTrace(trace) };
  throw new ApiError(ResultCode.UnknownTarget, `This VM keeps no trace '${traceId}'.`);
};

/** Routes that show the decisions and traces of recent requests. */
export const REQUEST_ROUTES: readonly Route[] = [
  {
    method: 'GET',
    path: '/v1/requests',
    summary: 'Recent requests of this VM with their decisions, latest first.',
    role: AdministratorRole.Read,
    query: [LIMIT_PARAMETER],
    replySchema: explanationsSchema,
    handle: (context, request) => {
      const entries = context.journal.list(readLimit(request));
      return {
        body: { requests: entries.map((entry) => describeRequest(entry, context.vm)) },
      };
    },
  },
  {
    method: 'GET',
    path: '/v1/requests/{request_id}',
    summary: 'The decisions of one request: queue, grant, engine, attempts, codes.',
    role: AdministratorRole.Read,
    replySchema: explanationSchema,
    codes: [ResultCode.UnknownTarget],
    handle: handleExplain,
  },
  {
    method: 'GET',
    path: '/v1/traces',
    summary: 'Recent traces of this VM, latest first.',
    role: AdministratorRole.Read,
    query: [LIMIT_PARAMETER],
    replySchema: tracesSchema,
    handle: (context, request) => ({
      body: { traces: context.traces.list(readLimit(request)).map(describeTrace) },
    }),
  },
  {
    method: 'GET',
    path: '/v1/traces/{trace_id}',
    summary: 'The spans of one trace on this VM.',
    role: AdministratorRole.Read,
    replySchema: traceSchema,
    codes: [ResultCode.UnknownTarget],
    handle: handleTrace,
  },
];
