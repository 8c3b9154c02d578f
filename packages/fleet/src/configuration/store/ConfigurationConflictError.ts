import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { describeDifference } from './describeDifference.js';

import type { ConfigurationRecord } from '../../types.js';

/** Someone else changed the configuration after the generation that this change started from. */
export class ConfigurationConflictError extends SardinegradeError {
  readonly baseGeneration: number;
  /** What stands instead. */
  readonly current: ConfigurationRecord;
  /** From what stands to what was wanted. */
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
