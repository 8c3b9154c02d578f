import { ResultCode, SardinegradeError } from '../errors/index.js';

/** One fault in an INI text. */
export interface SettingFault {
  readonly line: number;
  /** Section and key, joined by dots. */
  readonly key: string;
  readonly message: string;
}

/** A settings file that cannot be used. */
export class SettingsError extends SardinegradeError {
  readonly faults: readonly SettingFault[];

  constructor(file: string, faults: readonly SettingFault[]) {
    const lines = faults.map((fault) => `${file}:${fault.line}: ${fault.key}: ${fault.message}`);
    super(ResultCode.SettingInvalid, lines.join('\n'));
    this.name = 'SettingsError';
    this.faults = faults;
  }
}
