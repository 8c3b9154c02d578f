/** A request that waits for an engine. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** When its first event is due. */
  readonly dueAtMs: number;
  /** Time that an engine needs to read it, at most, in milliseconds. */
  readonly prefillMs: number;
}

const canBeOnTime = (request: WaitingRequest, nowMs: number): boolean =>
  nowMs + request.prefillMs <= request.dueAtMs;

/**
 * Orders waiting requests: the more urgent first; among equals those that can still be on time, by the moment
 * at which they have to begin; then the late ones by age.
 *
 * Load pattern: more long prompts than the engines can read for some seconds. First come, first served would
 * make all of them late; a late answer is worth the same however late, until its caller leaves.
 *
 * @param requests - what waits
 * @param nowMs - the present
 * @returns the same requests, the first to be served first
 */
export const rankWaiting = <Request extends WaitingRequest>(
  requests: readonly Request[],
  nowMs: number,
): readonly Request[] =>
  requests
    .map((request) => {
      const isOnTime = canBeOnTime(request, nowMs);
      const key = isOnTime ? request.dueAtMs - request.prefillMs : request.arrivedAtMs;
      return { request, isOnTime, key };
    })
    .sort(
      (left, right) =>
        left.request.priority - right.request.priority ||
        Number(right.isOnTime) - Number(left.isOnTime) ||
        left.key - right.key,
    )
    .map(({ request }) => request);
