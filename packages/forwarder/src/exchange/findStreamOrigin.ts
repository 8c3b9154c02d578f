import { setTimeout as sleep } from 'node:timers/promises';

import { RouteKind } from '@sardinegrade/routing';
import { MetricName, ResultCode } from '@sardinegrade/common';

import type { ServiceName } from '@sardinegrade/common';
import type { Route, StreamOrigin } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { LocalReply } from '../front/sendLocalReply.js';
import type { CallerRequest } from '../types.js';

/** Time after which a caller may ask again where its stream can go on, in milliseconds: another VM may know it. */
const UNKNOWN_RETRY_MS = 200;

/** Share of the remaining time in which the origin is awaited: the rest is left for another VM that may know it. */
const FETCH_TIME_SHARE = 0.5;

/** Separates the values of a header that was sent several times; each names another stream. */
const VALUE_SEPARATOR = ',';

/** How the origin of a resumed stream was found. */
enum OriginSource {
  /** The VM, or another one that told it, has relayed the first event. */
  Known = 'known',
  /** Only one build can have begun the stream. */
  OnlyBuild = 'only_build',
  /** All VMs begin streams by tables, which name one build. */
  Table = 'table',
  /** Several builds can have begun it. */
  Unknown = 'unknown',
}

const UNKNOWN_ORIGIN: LocalReply = {
  code: ResultCode.NoUpstream,
  message: 'The software version that began the stream is not known.',
  retryAfterMs: UNKNOWN_RETRY_MS,
};

/** An origin, and how it was found. */
interface FoundOrigin {
  readonly origin: StreamOrigin;
  readonly source: OriginSource;
}

const findKnownOrigin = (
  { streamOrigins, options }: ForwarderState,
  { resumedRequestId }: CallerRequest,
): StreamOrigin | undefined =>
  resumedRequestId && streamOrigins.find(resumedRequestId, options.getNowMs());

/** Computes the origin from the tables in the store. */
const fetchTableOrigin = async (
  state: ForwarderState,
  service: ServiceName,
  { resumedRequestId }: CallerRequest,
): Promise<StreamOrigin | undefined> => {
  if (resumedRequestId === undefined || resumedRequestId.includes(VALUE_SEPARATOR))
    return undefined;
  if (state.streamOrigins.isDisputed(resumedRequestId)) return undefined;
  const build = await state.fetchStreamBuild(service, resumedRequestId);
  return build === undefined ? undefined : { service, build };
};

/** Lists the origins that a stream of a service may have; undefined if they are not known. */
const fetchOriginsOf = async (
  state: ForwarderState,
  service: ServiceName,
): Promise<readonly StreamOrigin[] | undefined> =>
  (await state.fetchBuilds(service))?.map((build) => ({ service, build }));

/** Finds the origin of a stream that no VM has told of; undefined if it is not certain. */
const fetchOrigin = async (
  state: ForwarderState,
  route: Route,
  caller: CallerRequest,
): Promise<FoundOrigin | undefined> => {
  const services = state.listServices(route);
  const lists = await Promise.all(services.map((service) => fetchOriginsOf(state, service)));
  const origins = lists.every((list) => list !== undefined) ? lists.flat() : [];
  const [only, ...others] = origins;
  if (only === undefined) return undefined;
  if (others.length === 0) return { origin: only, source: OriginSource.OnlyBuild };
  // A table tells the build only where the service is known.
  if (services.length > 1) return undefined;
  const origin = await fetchTableOrigin(state, only.service, caller);
  return origin && { origin, source: OriginSource.Table };
};

/** Fetches the origin, or gives up after the time limit. */
const fetchOriginInTime = async (
  state: ForwarderState,
  route: Route,
  caller: CallerRequest,
  timeoutMs: number,
): Promise<FoundOrigin | undefined> => {
  const end = new AbortController();
  const expired = sleep(timeoutMs, undefined, { signal: end.signal }).catch(() => undefined);
  try {
    return await Promise.race([fetchOrigin(state, route, caller), expired]);
  } finally {
    end.abort();
  }
};

/**
 * Finds where a stream that a caller resumes began. Workers do not check this, and what two builds write does not fit
 * together, so a stream of unknown origin is refused.
 *
 * @param state - state of the forwarder
 * @param route - route of the request
 * @param caller - metadata of the request
 * @param remainingMs - time until the deadline of the request
 * @returns the origin, the reply by which the request is refused, or undefined if the request does not resume a stream
 */
export const findStreamOrigin = async (
  state: ForwarderState,
  route: Route,
  caller: CallerRequest,
  remainingMs: number,
): Promise<StreamOrigin | LocalReply | undefined> => {
  if (caller.lastEventId === undefined || !route.isResumable) return undefined;
  if (route.kind !== RouteKind.Streaming) return undefined;
  const known = findKnownOrigin(state, caller);
  const found =
    known === undefined
      ? await fetchOriginInTime(state, route, caller, remainingMs * FETCH_TIME_SHARE)
      : { origin: known, source: OriginSource.Known };
  const origin = found?.source ?? OriginSource.Unknown;
  state.metrics.addCount(MetricName.ResumedStreams, { origin });
  return found?.origin ?? UNKNOWN_ORIGIN;
};
