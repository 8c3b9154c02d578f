import { HTTP_STATUS, ResultCode, RunState } from '@sardinegrade/common';

import type { ServerResponse } from 'node:http';

const MS_PER_SECOND = 1_000;

/** A final answer that this VM generates itself instead of relaying one. */
export interface LocalReply {
  readonly code: ResultCode;
  readonly message: string;
  /** Time after which the caller may retry, in milliseconds; only for requests that have not run. */
  readonly retryAfterMs?: number | undefined;
}

/**
 * Statuses of replies that differ from those of the codes. A request that crashes workers may be well-formed, so it is refused
 * as not run instead of reported as invalid. A body that came too slowly was never run, which 504 does not tell.
 */
const OWN_STATUSES: Readonly<Partial<Record<ResultCode, number>>> = {
  [ResultCode.Quarantined]: 503,
  [ResultCode.DeadlineBeforeStart]: 408,
};

/** Codes of requests that may have run; all others have not. */
const RUN_STATES: Readonly<Partial<Record<ResultCode, RunState>>> = {
  [ResultCode.UpstreamFailed]: RunState.Unknown,
  [ResultCode.UpstreamTimeout]: RunState.Unknown,
  [ResultCode.AnswerCut]: RunState.Unknown,
};

/**
 * Sends a final answer that this VM generates itself.
 *
 * @param response - response to the caller, of which nothing has been sent
 * @param reply - code, message and retry time
 */
export const sendLocalReply = (response: ServerResponse, reply: LocalReply): void => {
  const run = RUN_STATES[reply.code] ?? RunState.NotRun;
  const body = JSON.stringify({ error: { code: reply.code, message: reply.message, run } });
  const status = OWN_STATUSES[reply.code] ?? HTTP_STATUS[reply.code];
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(reply.retryAfterMs === undefined
      ? {}
      : { 'retry-after': (reply.retryAfterMs / MS_PER_SECOND).toFixed(2) }),
  });
  response.end(body);
};
