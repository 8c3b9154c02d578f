import { TunnelOutcome } from './enums.js';

/** Header of a request for a tunnel by which a VM says that no other VM has opened one; its value is `1`. */
export const LAST_RESORT_HEADER = 'tunnel-last-resort';

/**
 * Header of a request for a tunnel by which a VM asks for frames, and of the answer of a VM that sends them; its value is `1`.
 * Builds that know no frames ignore it.
 */
export const FRAMES_HEADER = 'tunnel-frames';

/** Status codes by which a VM answers a request for a tunnel. */
export const TUNNEL_STATUSES: Readonly<
  Record<Exclude<TunnelOutcome, TunnelOutcome.NoAnswer>, number>
> = {
  [TunnelOutcome.Opened]: 200,
  [TunnelOutcome.UnknownVm]: 403,
  [TunnelOutcome.UnknownWorker]: 404,
  [TunnelOutcome.Draining]: 409,
  [TunnelOutcome.Unreachable]: 502,
  [TunnelOutcome.Unavailable]: 503,
};

const OUTCOMES = new Map(
  [
    TunnelOutcome.Opened as const,
    TunnelOutcome.UnknownVm as const,
    TunnelOutcome.UnknownWorker as const,
    TunnelOutcome.Draining as const,
    TunnelOutcome.Unreachable as const,
    TunnelOutcome.Unavailable as const,
  ].map((outcome) => [TUNNEL_STATUSES[outcome], outcome]),
);

/** @returns the outcome that a status code stands for */
export const toTunnelOutcome = (
  status: number | undefined,
): Exclude<TunnelOutcome, TunnelOutcome.NoAnswer> =>
  OUTCOMES.get(status ?? 0) ?? TunnelOutcome.Unavailable;
