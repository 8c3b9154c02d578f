import { ResultCode, SardinegradeError } from '@sardinegrade/common';
import { z } from 'zod';

import { DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT } from './constants.js';

import type { ChatRequest } from './types.js';

const MODEL_NAME_LIMIT_CHARACTERS = 200;
const MESSAGES_LIMIT = 4_096;

const CONTENT_PART_SCHEMA = z.looseObject({ type: z.string(), text: z.string().optional() });

const MESSAGE_SCHEMA = z.looseObject({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool', 'function']),
  content: z.union([z.string(), z.array(CONTENT_PART_SCHEMA), z.null()]).optional(),
});

const TOKENS_SCHEMA = z.int().min(1).max(MAX_TOKENS_LIMIT).nullish();

const CHAT_SCHEMA = z.looseObject({
  model: z.string().min(1).max(MODEL_NAME_LIMIT_CHARACTERS),
  messages: z.array(MESSAGE_SCHEMA).min(1).max(MESSAGES_LIMIT),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: TOKENS_SCHEMA,
  max_completion_tokens: TOKENS_SCHEMA,
  temperature: z.number().min(0).max(2).nullish(),
  top_p: z.number().min(0).max(1).nullish(),
  presence_penalty: z.number().min(-2).max(2).nullish(),
  frequency_penalty: z.number().min(-2).max(2).nullish(),
  n: z.literal(1, 'one answer per request is supported').nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
  seed: z.int().nullish(),
  user: z.string().optional(),
});

type ChatBody = z.output<typeof CHAT_SCHEMA>;
type Message = z.output<typeof MESSAGE_SCHEMA>;

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new SardinegradeError(ResultCode.MalformedBody, 'The body is not valid JSON.');
  }
};

const validateBody = (value: unknown): ChatBody => {
  const result = CHAT_SCHEMA.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const field = issue === undefined || issue.path.length === 0 ? 'body' : issue.path.join('.');
  throw new SardinegradeError(
    ResultCode.InvalidField,
    `Field '${field}': ${issue?.message ?? 'invalid'}.`,
  );
};

const getText = ({ content }: Message): string => {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('\n');
};

const buildPrompt = (messages: readonly Message[]): string =>
  messages.map((message) => `${message.role}: ${getText(message)}`).join('\n');

/**
 * Parses the body of a completion request and validates it against OpenAI's published schema.
 *
 * @param body - the body as received
 * @returns the validated request
 * @throws SardinegradeError with code 1005 if the body is not JSON, 1006 with the name of the first invalid field
 */
export const parseChatRequest = (body: Buffer): ChatRequest => {
  const chat = validateBody(parseJson(body));
  const maxTokens = chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAX_TOKENS;
  const { stream_options: streamOptions, ...rest } = chat;
  return {
    model: chat.model,
    isStreamed: chat.stream ?? false,
    includesUsage: streamOptions?.include_usage ?? false,
    maxTokens,
    prompt: buildPrompt(chat.messages),
    engineBody: JSON.stringify({ ...rest, stream: true, max_tokens: maxTokens }),
  };
};
