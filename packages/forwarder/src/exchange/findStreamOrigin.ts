import { chooseService, RouteKind } from '@sardinegrade/routing';
import { MetricName, ResultCode } from '@sardinegrade/common';

import type { Route, StreamOrigin } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { LocalReply } from '../front/sendLocalReply.js';
import type { CallerRequest } from '../types.js';

/** Time after which a caller may ask again where its stream can go on, in milliseconds: another VM may know it. */
const UNKNOWN_RETRY_MS = 200;

/** How the origin of a resumed stream was found. */
enum OriginSource {
  /** The VM, or another one that told it, has relayed the first event. */
  Known = 'known',
  /** Only one build can have begun the stream. */
  OnlyBuild = 'only_build',
  /** Several builds can have begun it. */
  Unknown = 'unknown',
}

const UNKNOWN_ORIGIN: LocalReply = {
  code: ResultCode.NoUpstream,
  message: 'The software version that began the stream is not known.',
  retryAfterMs: UNKNOWN_RETRY_MS,
};

const findKnownOrigin = (
  { streamOrigins, options }: ForwarderState,
  { resumedRequestId }: CallerRequest,
): StreamOrigin | undefined =>
  resumedRequestId && streamOrigins.find(resumedRequestId, options.getNowMs());

/** Finds the only build that can have begun a stream; undefined if there are several or they are not known. */
const fetchOnlyOrigin = async (
  state: ForwarderState,
  route: Route,
): Promise<StreamOrigin | undefined> => {
  const service = chooseService(route.shares, state.options.random);
  if (service === undefined) return undefined;
  const [build, ...others] = (await state.fetchBuilds(service)) ?? [];
  return build === undefined || others.length > 0 ? undefined : { service, build };
};

/**
 * Finds where a stream that a caller resumes began. Workers do not check this, and what two builds write does not fit
 * together, so a stream of unknown origin is refused.
 *
 * @param state - state of the forwarder
 * @param route - route of the request
 * @param caller - metadata of the request
 * @returns the origin, the reply by which the request is refused, or undefined if the request does not resume a stream
 */
export const findStreamOrigin = async (
  state: ForwarderState,
  route: Route,
  caller: CallerRequest,
): Promise<StreamOrigin | LocalReply | undefined> => {
  if (caller.lastEventId === undefined || !route.isResumable) return undefined;
  if (route.kind !== RouteKind.Streaming) return undefined;
  const known = findKnownOrigin(state, caller);
  const origin = known ?? (await fetchOnlyOrigin(state, route));
  const source = known === undefined ? OriginSource.OnlyBuild : OriginSource.Known;
  const outcome = origin === undefined ? OriginSource.Unknown : source;
  state.metrics.addCount(MetricName.ResumedStreams, { origin: outcome });
  return origin ?? UNKNOWN_ORIGIN;
};
