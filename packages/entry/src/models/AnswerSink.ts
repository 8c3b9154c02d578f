import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { buildOpenAiError, ErrorFormat, sendError } from '../callers/index.js';
import { COLLECTED_ANSWER_LIMIT_CHARACTERS } from './constants.js';

import type { ServerResponse } from 'node:http';
import type { Usage } from './types.js';

const MS_PER_SECOND = 1_000;

/** Takes an answer token by token and gives it to the caller. */
export interface AnswerSink {
  /** Adds text; answers false where the caller reads slower than the answer grows. */
  readonly push: (text: string) => boolean;
  readonly finish: (finishReason: string, usage: Usage) => void;
  readonly fail: (error: SardinegradeError) => void;
}

/** What an answer says about itself. */
export interface AnswerHeading {
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

const buildCommon = (heading: AnswerHeading, object: string): object => ({
  id: `chatcmpl-${heading.id}`,
  object,
  created: Math.floor(heading.createdAtMs / MS_PER_SECOND),
  model: heading.model,
});

/** Streams an answer as server-sent events in OpenAI's shape. */
export class StreamedAnswer implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #heading: AnswerHeading;
  readonly #chunkStart: string;
  #pending = '';
  #isFlushScheduled = false;

  constructor(response: ServerResponse, heading: AnswerHeading) {
    this.#response = response;
    this.#heading = heading;
    const common = JSON.stringify(buildCommon(heading, 'chat.completion.chunk'));
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
    if (this.#heading.includesUsage) {
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
    // Tokens that arrive in one read leave in one write.
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

/** Collects an answer and sends it as one JSON object in OpenAI's shape. */
export class CollectedAnswer implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #heading: AnswerHeading;
  #text = '';

  constructor(response: ServerResponse, heading: AnswerHeading) {
    this.#response = response;
    this.#heading = heading;
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
      ...buildCommon(this.#heading, 'chat.completion'),
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: this.#text },
          finish_reason: finishReason,
        },
      ],
      usage: encodeUsage(usage),
    });
    this.#response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    this.#response.end(body);
  };

  readonly fail = (error: SardinegradeError): void =>
    sendError(this.#response, ErrorFormat.OpenAi, error);
}
