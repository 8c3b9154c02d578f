import type { WorkspaceName } from '@sardinegrade/common';

/** A queued request. */
export interface WaitingRequest {
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** When its first event is due to meet the target of its route. */
  readonly dueAtMs: number;
  /** Maximum prefill time, in milliseconds: that of an engine that has cached nothing of the prompt. */
  readonly prefillMs: number;
  /** Workspace that competes with others for the engines; undefined if all requests count alike. */
  readonly workspace?: WorkspaceName | undefined;
  /** Whether it was refused before and has come back. */
  readonly hasReturned?: boolean;
  /** Prompt and expected output tokens. */
  readonly workTokens?: number;
}

/** A request with what decides its place within its rank. */
interface RankedRequest<Request> {
  readonly request: Request;
  readonly isOnTime: boolean;
  readonly key: number;
}

/** Returns the tokens that engines have lately processed for a workspace. */
export type GetWork = (workspace: WorkspaceName) => number;

const canBeOnTime = (request: WaitingRequest, nowMs: number): boolean =>
  nowMs + request.prefillMs <= request.dueAtMs;

const compareRequests = <Request extends WaitingRequest>(
  left: RankedRequest<Request>,
  right: RankedRequest<Request>,
): number =>
  left.request.priority - right.request.priority ||
  Number(right.request.hasReturned ?? false) - Number(left.request.hasReturned ?? false) ||
  Number(right.isOnTime) - Number(left.isOnTime) ||
  left.key - right.key;

/**
 * Computes for each request the work of its workspace once those before it have been served. More urgent requests count
 * for those of the same workspace that follow.
 */
const listWorkBefore = <Request extends WaitingRequest>(
  ranked: readonly RankedRequest<Request>[],
  getWork: GetWork,
): readonly number[] => {
  const sums = new Map<WorkspaceName, number>();
  return ranked.map(({ request: { workspace, workTokens = 0 } }) => {
    if (workspace === undefined) return 0;
    const tokens = sums.get(workspace) ?? getWork(workspace);
    sums.set(workspace, tokens + workTokens);
    return tokens;
  });
};

/**
 * Orders queued requests by priority. Within a priority, the workspace for which engines have worked least lately comes first,
 * counting what is served before. Within a workspace, requests that have
 * come back after a refusal come first, then those that can still be on time, ordered by the latest
 * time at which they must start; late requests follow, ordered by age.
 *
 * Load pattern: more long prompts than the engines can prefill, for some seconds. First come, first served would make
 * all of them late. How late an answer is does not matter as long as its caller still waits. One workspace may send several
 * times its usual load: it delays itself, not the others.
 *
 * @param requests - the queued requests
 * @param nowMs - current time, in milliseconds
 * @param getWork - work of a workspace; without it all requests of a priority count alike
 * @returns the same requests in the order in which to serve them
 */
export const rankWaiting = <Request extends WaitingRequest>(
  requests: readonly Request[],
  nowMs: number,
  getWork?: GetWork,
): readonly Request[] => {
  const ranked = requests
    .map((request) => {
      const isOnTime = canBeOnTime(request, nowMs);
      const key = isOnTime ? request.dueAtMs - request.prefillMs : request.arrivedAtMs;
      return { request, isOnTime, key };
    })
    .sort(compareRequests);
  if (getWork === undefined) return ranked.map(({ request }) => request);
  const workBefore = listWorkBefore(ranked, getWork);
  return ranked
    .map((entry, index) => ({ ...entry, work: workBefore[index] ?? 0 }))
    .sort(
      (left, right) =>
        left.request.priority - right.request.priority ||
        left.work - right.work ||
        compareRequests(left, right),
    )
    .map(({ request }) => request);
};
