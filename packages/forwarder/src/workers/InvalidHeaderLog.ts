import type { Logger } from '@sardinegrade/common';

/** Maximum number of logged headers that are remembered. */
const MAX_LOGGED = 1_024;

/** Maximum length of a value in the log, in characters. */
const MAX_LOGGED_TEXT = 80;

/** A header of a worker whose value is not allowed. */
export interface InvalidHeader {
  /** Id of the worker. */
  readonly upstream: string;
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  readonly text: string;
  /** Name of the header, where several are logged. */
  readonly header?: string;
}

/** Logs headers of workers whose values are not allowed, once for each worker instance and header. */
export class InvalidHeaderLog {
  readonly #logged = new Set<string>();

  /**
   * @param logger - receives the lines
   * @param message - message of the lines
   */
  constructor(
    private readonly logger: Logger,
    private readonly message: string,
  ) {}

  /** Logs a header unless it was logged before. */
  record({ upstream, instance, text, header }: InvalidHeader): void {
    const key = `${instance} ${header ?? ''}`;
    if (this.#logged.has(key) || this.#logged.size >= MAX_LOGGED) return;
    this.#logged.add(key);
    const value = text.slice(0, MAX_LOGGED_TEXT);
    this.logger.warn(this.message, {
      upstream,
      inputs: header === undefined ? { value } : { header, value },
    });
  }
}
