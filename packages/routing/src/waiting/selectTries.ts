/** Requests at the head of the order that are tried in each pass. */
const HEAD_TRIES = 8;

/** Requests further back that are tried in each pass, by turns: their engines may be free while the head waits. */
const ROTATING_TRIES = 16;

/** Which waiting requests are tried in a pass, and where the next one goes on. */
export interface TrySelection<Request> {
  readonly requests: readonly Request[];
  readonly nextOffset: number;
}

/**
 * Selects the waiting requests that are tried now.
 *
 * Load pattern: hundreds of long prompts wait at a VM while engines report all the time. Trying each of them at each
 * change took the processor from the requests that could go on.
 *
 * @param ranked - what waits, in order
 * @param offset - where the pass before left off behind the head
 * @returns the head, and a part of the others
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
