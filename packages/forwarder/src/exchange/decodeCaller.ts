import { normalizeParts } from '@sardinegrade/routing';

import type { IncomingMessage } from 'node:http';
import type { ForwarderState } from '../ForwarderState.js';
import type { CallerRequest } from '../types.js';

/**
 * Decodes the head of a request, and bounds what it lists: decisions and tables that outlive the request grow with it.
 *
 * @param state - state of the forwarder
 * @param request - the caller's request, which is passed on as it was received
 * @returns what the head says
 */
export const decodeCaller = (
  { options }: ForwarderState,
  { headers }: IncomingMessage,
): CallerRequest => {
  const caller = options.protocol.decodeRequest(headers);
  if (caller.prompt === undefined) return caller;
  return { ...caller, prompt: { ...caller.prompt, parts: normalizeParts(caller.prompt.parts) } };
};
