/** Ranks that engines know, 0 being the most urgent. */
const MAX_RANK = 9;

/** Route priorities that are told apart within one priority of workspaces. */
const ROUTE_PRIORITY_LEVELS = 3;

/** Priority of workspaces that have none, and of requests without a key: the middle of what engines can tell apart. */
const DEFAULT_WORKSPACE_PRIORITY = 1;

/**
 * Computes how urgent a request is. The workspace's priority goes first; among requests of equal workspaces the
 * route's decides, since all of a site's workspaces may have the same.
 *
 * Load pattern: free or bulk requests beside paying queries of the same engines.
 *
 * @param workspacePriority - of the workspace, undefined where it has none
 * @param routePriority - of the route
 * @returns the rank, 0 being the most urgent
 */
export const computeUrgency = (
  workspacePriority: number | undefined,
  routePriority: number,
): number => {
  const workspaceRank = (workspacePriority ?? DEFAULT_WORKSPACE_PRIORITY) * ROUTE_PRIORITY_LEVELS;
  const rank = workspaceRank + Math.min(ROUTE_PRIORITY_LEVELS - 1, Math.floor(routePriority));
  return Math.max(0, Math.min(MAX_RANK, rank));
};
