import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { describeDifference } from './describeDifference.js';

import type { ConfigurationRecord } from '../../types.js';

/** Thrown if the configuration text has changed since the generation that a change is based on. */
export class ConfigurationConflictError extends SardinegradeError {
  readonly baseGeneration: number;
  /** The current generation. */
  readonly current: ConfigurationRecord;
  /** Unified diff from the current text to the text of the rejected change. */
  readonly difference: string;

  constructor(baseGeneration: number, current: ConfigurationRecord, text: string) {
    super(
      ResultCode.GenerationConflict,
      `The change starts from generation ${baseGeneration}; generation ${current.textGeneration} by ${current.author} stands.`,
    );
    this.name = 'ConfigurationConflictError';
    this.baseGeneration = baseGeneration;
    this.current = current;
    this.difference = describeDifference(
      { name: `generation ${current.textGeneration}`, text: current.text },
      { name: `change of generation ${baseGeneration}`, text },
    );
  }
}
