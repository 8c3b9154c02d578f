import type { Ingress } from '@sardinegrade/ingress';
import type { ServerResponse } from 'node:http';

/** Memory that an unread answer needs beside its bytes, in bytes. */
const UNREAD_COST_BYTES = 8 * 1_024;

/**
 * Counts an answer that has been written completely as held until its caller has read it. The connection of the oldest one
 * closes if all together need too much memory.
 *
 * @param response - the response, which has ended
 * @param ingress - limits of what clients make this process hold
 * @param workspace - workspace of the caller
 */
export const keepUnreadAnswer = (
  response: ServerResponse,
  ingress: Ingress,
  workspace: string,
): void => {
  // The system has taken most answers at once.
  if (response.writableLength === 0) return;
  const { unreadAnswers } = ingress;
  // An answer behind another one has no connection of its own.
  const closeConnection = (): void => void response.req.socket.destroy();
  response.once('close', () => unreadAnswers.remove(closeConnection));
  unreadAnswers.add(closeConnection, UNREAD_COST_BYTES + response.writableLength, workspace);
};
