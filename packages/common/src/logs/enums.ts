/** Output format of log lines. */
export enum LogFormat {
  Text = 'text',
  Json = 'json',
}

/** Severities, most severe first. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}
