import { HTTP_STATUS, ResultCode, RunState } from '@sardinegrade/common';

import type { ServerResponse } from 'node:http';

const MS_PER_SECOND = 1_000;

/** A final answer of this VM's own. */
export interface LocalReply {
  readonly code: ResultCode;
  readonly message: string;
  /** When the caller may come back; only for requests that have not run. */
  readonly retryAfterMs?: number | undefined;
}

const SERVICE_UNAVAILABLE = 503;

const RUN_STATES: Readonly<Partial<Record<ResultCode, RunState>>> = {
  [ResultCode.UpstreamFailed]: RunState.Unknown,
  [ResultCode.UpstreamTimeout]: RunState.Unknown,
  [ResultCode.AnswerCut]: RunState.Unknown,
};

/**
 * Sends a final answer of this VM's own.
 *
 * @param response - the caller's response, of which nothing has been sent
 * @param reply - code, message and time to come back
 */
export const sendLocalReply = (response: ServerResponse, reply: LocalReply): void => {
  const run = RUN_STATES[reply.code] ?? RunState.NotRun;
  const body = JSON.stringify({ error: { code: reply.code, message: reply.message, run } });
  // A request that crashes workers may be well formed: here it is refused as not run, not called invalid.
  const status =
    reply.code === ResultCode.Quarantined ? SERVICE_UNAVAILABLE : HTTP_STATUS[reply.code];
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(reply.retryAfterMs === undefined
      ? {}
      : { 'retry-after': (reply.retryAfterMs / MS_PER_SECOND).toFixed(2) }),
  });
  response.end(body);
};
