/** Multiple of the mean work from which a workspace has more than its share: short bursts of few requests stay below it. */
const EXCESS_RATIO = 2;

/** Part of an engine that a workspace with more than its share leaves to others. */
const RESERVED_SHARE = 1 / 8;

/** Work for workspaces, and what waits at other VMs. */
export interface WorkspaceStanding {
  /** Tokens that engines have lately processed for the workspace. */
  readonly work: number;
  /** Mean over all workspaces with work. */
  readonly meanWork: number;
  /** Requests that wait at other VMs. */
  readonly waitingElsewhere: number;
}

/**
 * Computes which part of an engine's slots and of its permitted backlog the requests of a workspace may use. A workspace with
 * more than its share leaves the last places to others while requests wait at other VMs; their VMs then find one that is
 * free. Only a part of the engine is kept back, so that little stays unused if nobody else takes it.
 *
 * Load pattern: one workspace sends several times its usual load through many VMs, each of which has too few queued
 * requests for their order to matter.
 *
 * @param standing - work of the workspace compared with the others
 * @returns a number from 0 to 1; 1 without restriction
 */
export const computeRoomShare = ({
  work,
  meanWork,
  waitingElsewhere,
}: WorkspaceStanding): number =>
  waitingElsewhere > 0 && work > meanWork * EXCESS_RATIO ? 1 - RESERVED_SHARE : 1;
