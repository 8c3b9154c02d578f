import { sendJson } from '../http/index.js';

import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './Attempt.js';

/** Fields that all chunks of an answer share. */
export interface AnswerMetadata {
  /** The attempt id that the answer reports. */
  readonly attemptId: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly finishReason: string;
  readonly hasUsage: boolean;
}

const formatCommonFields = (metadata: AnswerMetadata, object: string): string => {
  const created = Math.floor(Date.now() / 1_000);
  const { attemptId, model } = metadata;
  const fields = { id: `chatcmpl-${attemptId}`, object, created, model, attempt_id: attemptId };
  return JSON.stringify(fields).slice(0, -1);
};

const buildUsage = (metadata: AnswerMetadata, tokens: number) => ({
  prompt_tokens: metadata.promptTokens,
  completion_tokens: tokens,
  total_tokens: metadata.promptTokens + tokens,
});

/**
 * Creates a sink that streams server-sent events.
 *
 * @param response - a response whose headers have not been sent yet
 * @param metadata - fields that all chunks share
 * @returns a sink that writes to the response
 */
export const createStreamSink = (
  response: ServerResponse,
  metadata: AnswerMetadata,
): AnswerSink => {
  const prefix = formatCommonFields(metadata, 'chat.completion.chunk');
  let tokens = 0;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-attempt-id': metadata.attemptId,
  });
  response.flushHeaders();
  return {
    writeToken: (index, text) => {
      tokens += 1;
      const delta = JSON.stringify(text);
      response.write(
        `id: ${index}\ndata: ${prefix},"choices":[{"index":0,"delta":{"content":${delta}},"finish_reason":null}]}\n\n`,
      );
    },
    finish: () => {
      const reason = JSON.stringify(metadata.finishReason);
      let tail = `data: ${prefix},"choices":[{"index":0,"delta":{},"finish_reason":${reason}}]}\n\n`;
      if (metadata.hasUsage) {
        const usage = JSON.stringify(buildUsage(metadata, tokens));
        tail += `data: ${prefix},"choices":[],"usage":${usage}}\n\n`;
      }
      response.end(`${tail}data: [DONE]\n\n`);
    },
    abort: () => {
      response.end();
    },
  };
};

/**
 * Creates a sink that responds with one JSON object.
 *
 * @param response - a response whose headers have not been sent yet
 * @param metadata - fields that describe the answer
 * @returns a sink that writes to the response
 */
export const createJsonSink = (response: ServerResponse, metadata: AnswerMetadata): AnswerSink => {
  const texts: string[] = [];
  return {
    writeToken: (_number, text) => {
      texts.push(text);
    },
    finish: () => {
      const message = { role: 'assistant', content: texts.join('') };
      const choice = { index: 0, message, finish_reason: metadata.finishReason };
      const fields = JSON.parse(`${formatCommonFields(metadata, 'chat.completion')}}`) as object;
      const usage = buildUsage(metadata, texts.length);
      sendJson(
        response,
        200,
        { ...fields, choices: [choice], usage },
        { 'x-attempt-id': metadata.attemptId },
      );
    },
    abort: () => {
      response.destroy();
    },
  };
};
