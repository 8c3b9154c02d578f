import type { ForwarderState } from '../ForwarderState.js';
import type { ActiveSend } from './types.js';

/**
 * Records that one or more complete events of a stream have been received.
 *
 * @param state - state of the forwarder
 * @param active - the send that is being answered
 */
export const recordStreamEvents = (
  { partQuarantine, queue, options }: ForwarderState,
  active: ActiveSend,
): void => {
  active.hasFirstEvent = true;
  active.pace?.recordEvents(options.getNowMs());
  if (active.unanswered !== undefined) partQuarantine.recordAnswer(active.unanswered);
  if (active.run?.hasFirstEvent !== false) return;
  active.run.hasFirstEvent = true;
  queue.retryAll();
};
