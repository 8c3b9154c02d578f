/** How log lines are written. */
export enum LogFormat {
  Text = 'text',
  Json = 'json',
}

/** Severities, most urgent first. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}
