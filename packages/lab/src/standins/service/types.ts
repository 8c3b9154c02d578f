/** How a plain service stand-in is started. */
export interface ServiceOptions {
  readonly listen?: string;
  readonly behaviour?: Partial<ServiceBehaviour>;
  /** Ends the process when a crash is brought about; by default the server is stopped. */
  readonly onCrash?: () => void;
  readonly random?: () => number;
}

/** When a service crashes. */
export enum CrashPoint {
  Never = 'never',
  /** Before the execution, which then does not take place. */
  Before = 'before',
  /** After the execution, whose answer is lost. */
  After = 'after',
}

/** Faults of a service that can be switched while it runs. */
export interface ServiceBehaviour {
  /** Wait before the execution. */
  readonly waitMs: number;
  /** Wait between the execution and its answer. */
  readonly answerDelayMs: number;
  /** Part of calls whose answer is lost after the execution. */
  readonly loseAnswers: number;
  /** Part of calls that are answered 503 without an execution. */
  readonly refuse: number;
  /** The next call crashes the service. */
  readonly crash: CrashPoint;
  /** A call with a known `Idempotency-Key` gets the first answer and is not executed. */
  readonly deduplicates: boolean;
  /** Whether the status look-up answers. */
  readonly hasStatus: boolean;
}

/** What a service has done. */
export interface ServiceCounts {
  readonly calls: number;
  readonly executions: number;
  readonly refused: number;
  /** Executions by `Idempotency-Key`. */
  readonly byKey: Readonly<Record<string, number>>;
}
