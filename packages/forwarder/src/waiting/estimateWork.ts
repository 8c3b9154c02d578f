import type { Fingerprint, WorkspaceName } from '@sardinegrade/common';
import type { KeyHolder, PromptShape, Route } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';

/** Workspace and size of a request, by which its place in the queue is decided. */
export interface RequestWork {
  /** Undefined if workspaces do not compete, and for requests that are not for a model: these are served by rank and due time. */
  readonly workspace: WorkspaceName | undefined;
  /** Prompt and expected output tokens. */
  readonly workTokens: number;
  /** Whether it was refused before and has come back. */
  readonly hasReturned: boolean;
}

/** A request as far as its work is concerned. */
export interface WorkingRequest {
  readonly route: Route;
  readonly holder: KeyHolder | undefined;
  readonly fingerprint: Fingerprint;
  /** The prompt is undefined if the request is not for a model. */
  readonly caller: { readonly prompt: PromptShape | undefined };
}

/**
 * Estimates the work of a request.
 *
 * @param state - state of the forwarder
 * @param request - the request
 * @returns its workspace, if it competes with others, its tokens, and whether it has come back
 */
export const estimateWork = (
  { pace, workspaces, refused, options }: ForwarderState,
  { route, holder, fingerprint, caller: { prompt } }: WorkingRequest,
): RequestWork => {
  const hasReturned = refused.has(fingerprint, options.getNowMs());
  const isCompeting = workspaces.isCompeting && prompt !== undefined;
  const workspace = isCompeting ? holder?.workspace : undefined;
  if (workspace === undefined || prompt === undefined)
    return { workspace, workTokens: 0, hasReturned };
  const { promptTokens, maxOutputTokens } = prompt;
  const events = pace.estimateEvents(route.name);
  const outputTokens = events === 0 ? maxOutputTokens : Math.min(maxOutputTokens, events);
  return { workspace, workTokens: promptTokens + outputTokens, hasReturned };
};
