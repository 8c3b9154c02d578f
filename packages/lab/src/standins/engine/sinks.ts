import { sendJson } from '../http/index.js';

import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './Attempt.js';

/** What the chunks of one answer have in common. */
export interface AnswerHead {
  /** The attempt id to show. */
  readonly attemptId: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly finishReason: string;
  readonly hasUsage: boolean;
}

const buildHead = (head: AnswerHead, object: string): string => {
  const created = Math.floor(Date.now() / 1_000);
  const { attemptId, model } = head;
  const fields = { id: `chatcmpl-${attemptId}`, object, created, model, attempt_id: attemptId };
  return JSON.stringify(fields).slice(0, -1);
};

const buildUsage = (head: AnswerHead, tokens: number) => ({
  prompt_tokens: head.promptTokens,
  completion_tokens: tokens,
  total_tokens: head.promptTokens + tokens,
});

/**
 * Makes a sink that streams server-sent events.
 *
 * @param response - the response, not begun yet
 * @param head - what the chunks have in common
 * @returns the sink
 */
export const createStreamSink = (response: ServerResponse, head: AnswerHead): AnswerSink => {
  const start = buildHead(head, 'chat.completion.chunk');
  let tokens = 0;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-attempt-id': head.attemptId,
  });
  response.flushHeaders();
  return {
    writeToken: (number, text) => {
      tokens += 1;
      const delta = JSON.stringify(text);
      response.write(
        `id: ${number}\ndata: ${start},"choices":[{"index":0,"delta":{"content":${delta}},"finish_reason":null}]}\n\n`,
      );
    },
    finish: () => {
      const reason = JSON.stringify(head.finishReason);
      let tail = `data: ${start},"choices":[{"index":0,"delta":{},"finish_reason":${reason}}]}\n\n`;
      if (head.hasUsage) {
        const usage = JSON.stringify(buildUsage(head, tokens));
        tail += `data: ${start},"choices":[],"usage":${usage}}\n\n`;
      }
      response.end(`${tail}data: [DONE]\n\n`);
    },
    cut: () => {
      response.end();
    },
  };
};

/**
 * Makes a sink that answers with one JSON object.
 *
 * @param response - the response, not begun yet
 * @param head - what describes the answer
 * @returns the sink
 */
export const createJsonSink = (response: ServerResponse, head: AnswerHead): AnswerSink => {
  const texts: string[] = [];
  return {
    writeToken: (_number, text) => {
      texts.push(text);
    },
    finish: () => {
      const message = { role: 'assistant', content: texts.join('') };
      const choice = { index: 0, message, finish_reason: head.finishReason };
      const fields = JSON.parse(`${buildHead(head, 'chat.completion')}}`) as object;
      const usage = buildUsage(head, texts.length);
      sendJson(
        response,
        200,
        { ...fields, choices: [choice], usage },
        { 'x-attempt-id': head.attemptId },
      );
    },
    cut: () => {
      response.destroy();
    },
  };
};
