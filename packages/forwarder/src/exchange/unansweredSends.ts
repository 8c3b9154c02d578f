import { SendFailure } from '@sardinegrade/routing';

import { isSuccess } from './sendToWorker.js';

import type { PromptShape, RefusedPart, Worker } from '@sardinegrade/routing';
import type { PartQuarantine, UnansweredSend } from '../quarantine/index.js';
import type { Send, SendEnd } from './sendToWorker.js';
import type { ActiveSend } from './types.js';

/** Number of parts from which a prompt has one that other prompts share: the last belongs to the request only. */
const MIN_PARTS_TO_SHARE = 2;

/** @returns why requests with a part are refused, for the log and the reply to the caller */
export const describeRefusedPart = ({ part }: RefusedPart): string =>
  `workers ended when they began to answer requests with the prompt part ${part}`;

/**
 * Records that a prompt is about to be sent to a worker.
 *
 * @param quarantine - tracks the send until its answer begins
 * @param worker - the worker
 * @param prompt - the prompt; undefined if the request is not for a model
 * @param getSend - returns the send once it has started
 * @returns the send without an answer, or undefined if no other prompt shares a part of this one
 */
export const addUnansweredSend = (
  quarantine: PartQuarantine,
  worker: Worker,
  prompt: PromptShape | undefined,
  getSend: () => Send | undefined,
): UnansweredSend | undefined => {
  if (prompt === undefined || prompt.parts.length < MIN_PARTS_TO_SHARE) return undefined;
  const cancel = (refused: RefusedPart): void =>
    getSend()?.cancel(SendFailure.Withdrawn, describeRefusedPart(refused));
  const send = { worker, parts: prompt.parts, cancel };
  quarantine.addSend(send);
  return send;
};

/**
 * Records how a send has ended. Its answer has begun if it had an event; a stream that ends before its first event may
 * have been cut by the end of its worker.
 *
 * @param quarantine - tracks the send until its answer begins
 * @param active - the send
 * @param end - how it ended
 */
export const finishUnansweredSend = (
  quarantine: PartQuarantine,
  { unanswered, isStream }: Pick<ActiveSend, 'unanswered' | 'isStream'>,
  end: SendEnd,
): void => {
  if (unanswered === undefined) return;
  const isAnswer = end.isComplete && isSuccess(end.head.status);
  const isBroken = !end.isComplete && end.failure === SendFailure.Broken;
  if (isAnswer && !isStream) quarantine.recordAnswer(unanswered);
  else if (isAnswer || isBroken) quarantine.recordBrokenSend(unanswered);
  else quarantine.removeSend(unanswered);
};
