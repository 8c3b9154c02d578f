import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { buildOpenAiError, ErrorFormat, keepUnreadAnswer, sendError } from '../callers/index.js';
import { COLLECTED_ANSWER_LIMIT_CHARACTERS } from './constants.js';

import type { ServerResponse } from 'node:http';
import type { CallerRequest } from '../callers/index.js';
import type { Usage } from './types.js';

const MS_PER_SECOND = 1_000;

/** Receives an answer token by token and sends it to the caller. */
export interface AnswerSink {
  /** Adds text; returns false if the caller reads more slowly than the engine generates. */
  readonly push: (text: string) => boolean;
  readonly finish: (finishReason: string, usage: Usage) => void;
  readonly fail: (error: SardinegradeError) => void;
}

/** Fields of a completion besides its text and token counts. */
export interface CompletionMetadata {
  readonly id: string;
  readonly model: string;
  readonly createdAtMs: number;
  readonly includesUsage: boolean;
}

const encodeUsage = ({ promptTokens, completionTokens }: Usage): object => ({
  prompt_tokens: promptTokens,
  completion_tokens: completionTokens,
  total_tokens: promptTokens + completionTokens,
});

const buildCommon = (metadata: CompletionMetadata, object: string): object => ({
  id: `chatcmpl-${metadata.id}`,
  object,
  created: Math.floor(metadata.createdAtMs / MS_PER_SECOND),
  model: metadata.model,
});

/** Streams an answer as server-sent events in OpenAI's format. */
export class StreamedAnswer implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #metadata: CompletionMetadata;
  readonly #chunkStart: string;
  #pending = '';
  #isFlushScheduled = false;

  constructor(response: ServerResponse, metadata: CompletionMetadata) {
    this.#response = response;
    this.#metadata = metadata;
    const common = JSON.stringify(buildCommon(metadata, 'chat.completion.chunk'));
    this.#chunkStart = `data: ${common.slice(0, -1)},"choices":`;
  }

  readonly push = (text: string): boolean => {
    this.#start();
    this.#append(`[{"index":0,"delta":{"content":${JSON.stringify(text)}},"finish_reason":null}]`);
    return !this.#response.writableNeedDrain;
  };

  readonly finish = (finishReason: string, usage: Usage): void => {
    this.#start();
    this.#append(`[{"index":0,"delta":{},"finish_reason":${JSON.stringify(finishReason)}}]`);
    if (this.#metadata.includesUsage) {
      this.#append(`[],"usage":${JSON.stringify(encodeUsage(usage))}`);
    }
    this.#pending += 'data: [DONE]\n\n';
    this.#flush();
    this.#response.end();
  };

  readonly fail = (error: SardinegradeError): void => {
    if (!this.#response.headersSent) {
      sendError(this.#response, ErrorFormat.OpenAi, error);
      return;
    }
    this.#pending += `data: ${JSON.stringify(buildOpenAiError(error))}\n\n`;
    this.#flush();
    this.#response.end();
  };

  readonly #start = (): void => {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      'x-accel-buffering': 'no',
    });
    this.#append('[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]');
  };

  readonly #append = (choices: string): void => {
    this.#pending += `${this.#chunkStart}${choices}}\n\n`;
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    // Tokens that are received in one read are sent in one write.
    queueMicrotask(this.#flush);
  };

  readonly #flush = (): void => {
    this.#isFlushScheduled = false;
    if (this.#pending === '') return;
    const text = this.#pending;
    this.#pending = '';
    if (!this.#response.writableEnded) this.#response.write(text);
  };
}

/** Collects an answer and sends it as one JSON object in OpenAI's format. */
export class CollectedAnswer implements AnswerSink {
  readonly #caller: CallerRequest;
  readonly #metadata: CompletionMetadata;
  #text = '';

  constructor(caller: CallerRequest, metadata: CompletionMetadata) {
    this.#caller = caller;
    this.#metadata = metadata;
  }

  readonly push = (text: string): boolean => {
    this.#text += text;
    return true;
  };

  readonly finish = (finishReason: string, usage: Usage): void => {
    if (this.#text.length > COLLECTED_ANSWER_LIMIT_CHARACTERS) {
      const message = 'The answer is too long to be sent in one piece; ask for a stream.';
      this.fail(new SardinegradeError(ResultCode.AnswerNotKept, message));
      return;
    }
    const body = JSON.stringify({
      ...buildCommon(this.#metadata, 'chat.completion'),
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: this.#text },
          finish_reason: finishReason,
        },
      ],
      usage: encodeUsage(usage),
    });
    const { response, ingress, workspace } = this.#caller;
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
    keepUnreadAnswer(response, ingress, workspace.name);
  };

  readonly fail = (error: SardinegradeError): void =>
    sendError(this.#caller.response, ErrorFormat.OpenAi, error);
}
