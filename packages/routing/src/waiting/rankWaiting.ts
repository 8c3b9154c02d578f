/** A queued request. */
export interface WaitingRequest {
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** When its first event is due to meet the target of its route. */
  readonly dueAtMs: number;
  /** Maximum prefill time, in milliseconds: that of an engine that has cached nothing of the prompt. */
  readonly prefillMs: number;
}

const canBeOnTime = (request: WaitingRequest, nowMs: number): boolean =>
  nowMs + request.prefillMs <= request.dueAtMs;

/**
 * Orders queued requests by priority. Within a priority, requests that can still be on time come first, ordered by the
 * latest time at which they must start; late requests follow, ordered by age.
 *
 * Load pattern: more long prompts than the engines can prefill, for some seconds. First come, first served would make
 * all of them late. How late an answer is does not matter as long as its caller still waits.
 *
 * @param requests - the queued requests
 * @param nowMs - current time, in milliseconds
 * @returns the same requests in the order in which to serve them
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
