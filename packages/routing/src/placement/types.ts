import type { Branded } from '@sardinegrade/common';

/** Identifies a part of a prompt. Prompts with equal leading parts share an engine's cache entries for them. */
export type PartId = Branded<'PartId'>;

/** A contiguous part of a prompt. */
export interface PromptPart {
  readonly id: PartId;
  readonly tokens: number;
}

/** Size of a model request and the parts that its prompt consists of. */
export interface PromptShape {
  /** In prompt order. The last part belongs to this request only; the others may occur in other prompts. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}
