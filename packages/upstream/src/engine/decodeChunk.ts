/** Fields of an OpenAI stream chunk that the router uses. */
export interface EngineChunk {
  readonly attemptId: string | undefined;
  readonly text: string;
  readonly finishReason: string | undefined;
}

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const toText = (value: unknown): string => (typeof value === 'string' ? value : '');

const toOptionalText = (value: unknown): string | undefined =>
  typeof value === 'string' ? value : undefined;

/**
 * Decodes one event of an engine's stream.
 *
 * @param data - JSON in the format of OpenAI's `chat.completion.chunk`, with an additional `attempt_id`
 * @returns the chunk, or undefined if the text is not one
 */
export const decodeChunk = (data: string): EngineChunk | undefined => {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    return undefined;
  }
  if (!isRecord(value) || !Array.isArray(value.choices)) return undefined;
  const choice: unknown = value.choices[0];
  if (!isRecord(choice)) return undefined;
  const delta = choice.delta;
  return {
    attemptId: toOptionalText(value.attempt_id),
    text: isRecord(delta) ? toText(delta.content) : '',
    finishReason: toOptionalText(choice.finish_reason),
  };
};
