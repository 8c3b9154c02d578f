import { z } from 'zod';

const TEXT_PART = z.object({ type: z.literal('text'), text: z.string() });

const MESSAGE_SCHEMA = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(TEXT_PART)]).nullish(),
});

/** Fields of a completion request that the engine uses. */
export const COMPLETION_SCHEMA = z.object({
  model: z.string(),
  messages: z.array(MESSAGE_SCHEMA).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

export type CompletionRequest = z.output<typeof COMPLETION_SCHEMA>;

/** An order to load or unload a model or adapter, or to change the engine's role. */
export const ORDER_SCHEMA = z.object({
  fencing: z.number().int().nonnegative(),
  order: z.enum(['load', 'unload', 'role']),
  model: z.string().optional(),
  adapter: z.string().optional(),
  version: z.string().optional(),
  role: z.string().optional(),
  deadline_ms: z.number().positive().optional(),
});

export type EngineOrder = z.output<typeof ORDER_SCHEMA>;

/** Body of a control request. Absent fields keep their current values. */
export const CONTROL_SCHEMA = z.strictObject({
  crash: z.boolean().optional(),
  mute: z.boolean().optional(),
  slowdown: z.number().positive().optional(),
  leaving: z.boolean().optional(),
  load_lag_ms: z.number().nonnegative().optional(),
  cache_event_lag_ms: z.number().nonnegative().optional(),
  cache_event_loss: z.number().min(0).max(1).optional(),
  crash_marker: z.string().optional(),
  wrong_attempt_id: z.boolean().optional(),
});

export type EngineControl = z.output<typeof CONTROL_SCHEMA>;

const getText = ({ content }: CompletionRequest['messages'][number]): string => {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text).join('\n');
};

/**
 * Renders the messages of a request as the engine's prompt.
 *
 * @param request - the request whose messages are rendered
 * @returns the messages, each as `role: text`, separated by line breaks
 */
export const renderPrompt = (request: CompletionRequest): string =>
  request.messages.map((message) => `${message.role}: ${getText(message)}`).join('\n');
