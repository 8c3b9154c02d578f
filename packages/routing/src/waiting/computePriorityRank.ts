/** Least urgent rank that engines support; 0 is the most urgent. */
const MAX_RANK = 9;

/** Number of different route priorities within one workspace priority. */
const ROUTE_PRIORITY_LEVELS = 3;

/** Priority of workspaces without one and of requests without a key: the middle of the range that ranks can express. */
const DEFAULT_WORKSPACE_PRIORITY = 1;

/**
 * Computes the priority rank of a request. The workspace's priority takes precedence. The route's priority decides
 * between requests of equal workspace priority, since all workspaces of a site may have the same one.
 *
 * Load pattern: requests of workspaces on a free plan, or requests with a loose latency target, alongside requests of
 * paying workspaces on the same engines.
 *
 * @param workspacePriority - priority of the workspace; undefined if it has none
 * @param routePriority - priority of the route; 0 is the most urgent
 * @returns the rank; 0 is the most urgent
 */
export const computePriorityRank = (
  workspacePriority: number | undefined,
  routePriority: number,
): number => {
  const workspaceRank = (workspacePriority ?? DEFAULT_WORKSPACE_PRIORITY) * ROUTE_PRIORITY_LEVELS;
  const rank = workspaceRank + Math.min(ROUTE_PRIORITY_LEVELS - 1, Math.floor(routePriority));
  return Math.max(0, Math.min(MAX_RANK, rank));
};
