/** Number of requests at the head of the order that are tried in each pass. */
const HEAD_TRIES = 8;

/** Number of later requests that are tried in each pass, in rotation: their engines may be idle. */
const ROTATING_TRIES = 16;

/** The queued requests to try in a pass, and where the rotation continues in the next pass. */
export interface TrySelection<Request> {
  readonly requests: readonly Request[];
  readonly nextOffset: number;
}

/**
 * Selects the queued requests to try in one pass.
 *
 * Load pattern: hundreds of long prompts wait at a VM while load reports arrive all the time. Trying all of them on
 * each change used the CPU time that running requests needed.
 *
 * @param ranked - all queued requests, in the order of `rankWaiting`
 * @param offset - where the previous pass stopped, as an index into the requests after the head
 * @returns the head and a part of the other requests
 */
export const selectTries = <Request>(
  ranked: readonly Request[],
  offset: number,
): TrySelection<Request> => {
  const head = ranked.slice(0, HEAD_TRIES);
  const rest = ranked.slice(HEAD_TRIES);
  if (rest.length <= ROTATING_TRIES) return { requests: ranked, nextOffset: 0 };
  const first = offset % rest.length;
  const rotated = [...rest.slice(first), ...rest.slice(0, first)].slice(0, ROTATING_TRIES);
  return { requests: [...head, ...rotated], nextOffset: first + ROTATING_TRIES };
};
