import { ResultCode, SardinegradeError } from '../errors/index.js';

/** One invalid line or key of an INI text. */
export interface SettingFault {
  readonly line: number;
  /** Section and key, joined by dots. */
  readonly key: string;
  readonly message: string;
}

/** Thrown for a settings file that cannot be read or is invalid. */
export class SettingsError extends SardinegradeError {
  readonly faults: readonly SettingFault[];

  constructor(file: string, faults: readonly SettingFault[]) {
    const lines = faults.map((fault) => `${file}:${fault.line}: ${fault.key}: ${fault.message}`);
    super(ResultCode.SettingInvalid, lines.join('\n'));
    this.name = 'SettingsError';
    this.faults = faults;
  }
}
