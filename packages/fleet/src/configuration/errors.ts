import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import type { SettingFault } from '@sardinegrade/common';

/** Thrown for an invalid configuration text; lists all faults found. */
export class ConfigurationError extends SardinegradeError {
  readonly faults: readonly SettingFault[];

  constructor(faults: readonly SettingFault[]) {
    const lines = faults.map(
      (fault) => `configuration:${fault.line}: ${fault.key}: ${fault.message}`,
    );
    super(ResultCode.ConfigurationInvalid, lines.join('\n'));
    this.name = 'ConfigurationError';
    this.faults = faults;
  }
}
