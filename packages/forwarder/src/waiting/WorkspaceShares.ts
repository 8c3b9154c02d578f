import { hashText } from '@sardinegrade/common';
import { computeRoomShare, WorkspaceWork } from '@sardinegrade/routing';

import type { WorkspaceName } from '@sardinegrade/common';
import type { KeyHolder, SharedLoadView, WorkLoads } from '@sardinegrade/routing';

/** Work for one workspace. */
export interface WorkspaceTokens {
  readonly workspace: WorkspaceName;
  readonly tokens: number;
}

/**
 * Work that the engines have lately done for each workspace, at all VMs. Nothing is counted unless the configuration has keys
 * of more than one workspace.
 */
export class WorkspaceShares {
  readonly #own = new WorkspaceWork();
  #names: ReadonlySet<WorkspaceName> = new Set();

  /**
   * @param sharedLoad - what other VMs have reported
   * @param getNowMs - reads a monotonic clock, in milliseconds
   */
  constructor(
    private readonly sharedLoad: SharedLoadView,
    private readonly getNowMs: () => number,
  ) {}

  /** Whether workspaces compete for the engines. */
  get isCompeting(): boolean {
    return this.#names.size > 1;
  }

  /** Replaces the workspaces by those of a configuration. */
  setHolders(holders: ReadonlyMap<string, KeyHolder> | undefined): void {
    this.#names = new Set([...(holders?.values() ?? [])].map(({ workspace }) => workspace));
  }

  /** Records the tokens of a request that is sent to an engine. */
  record(workspace: WorkspaceName, tokens: number): void {
    if (this.isCompeting) this.#own.record(workspace, tokens, this.getNowMs());
  }

  /** @returns the work that this VM has sent, for load messages */
  listOwn(): WorkLoads {
    return this.#own.list(this.getNowMs());
  }

  /** @returns the work for each workspace with any, for all VMs */
  list(): readonly WorkspaceTokens[] {
    if (!this.isCompeting) return [];
    return [...this.#names]
      .map((workspace) => ({ workspace, tokens: this.getWork(workspace) }))
      .filter(({ tokens }) => tokens > 0);
  }

  /** @returns tokens that engines have lately processed for a workspace, for all VMs */
  getWork(workspace: WorkspaceName): number {
    const hash = hashText(workspace);
    return this.#own.get(hash, this.getNowMs()) + this.sharedLoad.getWork(hash);
  }

  /**
   * Computes which part of an engine the requests of a workspace may use now.
   *
   * @param workspace - the workspace; undefined for requests without one
   * @returns a number from 0 to 1 (see `computeRoomShare`)
   */
  computeRoomShare(workspace: WorkspaceName | undefined): number {
    const waitingElsewhere = this.sharedLoad.waiting.requests;
    if (workspace === undefined || !this.isCompeting || waitingElsewhere === 0) return 1;
    const totals = new Map(this.sharedLoad.work);
    for (const [hash, tokens] of this.listOwn()) totals.set(hash, (totals.get(hash) ?? 0) + tokens);
    let sum = 0;
    for (const tokens of totals.values()) sum += tokens;
    const meanWork = sum / Math.max(1, totals.size);
    const work = totals.get(hashText(workspace)) ?? 0;
    return computeRoomShare({ work, meanWork, waitingElsewhere });
  }
}
