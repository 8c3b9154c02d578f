import { LoadScope, NO_WAITING, NO_WORK } from '@sardinegrade/routing';

import { PLACEMENTS_FOR_WORK, PLACEMENTS_PER_DATAGRAM } from './constants.js';
import { encodePeerMessage, toLoadShare } from './loadMessages.js';

import type { LoadMessage } from '@sardinegrade/routing';

/**
 * Encodes a message, followed by messages with the placements that do not fit into it.
 *
 * @param message - the message
 * @returns the datagrams
 */
export const encodeLoad = (message: LoadMessage): readonly Uint8Array[] => {
  const { placements, work } = message;
  const first = PLACEMENTS_PER_DATAGRAM - (work === undefined ? 0 : PLACEMENTS_FOR_WORK);
  const datagrams: Uint8Array[] = [];
  let part = {
    ...message,
    paceSamples: [],
    placements: placements.slice(0, first),
  };
  for (let next = first; ; next += PLACEMENTS_PER_DATAGRAM) {
    datagrams.push(encodePeerMessage({ load: toLoadShare(part) }));
    if (next >= placements.length) return datagrams;
    part = {
      ...message,
      scope: LoadScope.News,
      engines: new Map(),
      waiting: NO_WAITING,
      work: NO_WORK,
      crashes: [],
      paceSamples: [],
      placements: placements.slice(next, next + PLACEMENTS_PER_DATAGRAM),
    };
  }
};
