import type { Branded } from '@sardinegrade/common';

/** Identifies a part of a prompt that other prompts may share. */
export type PartId = Branded<'PartId'>;

/** A part of a prompt, in the order in which an engine reads it. */
export interface PromptPart {
  readonly id: PartId;
  readonly tokens: number;
}

/** Size and parts of a model request. */
export interface PromptShape {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}
