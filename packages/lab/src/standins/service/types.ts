/** Options of a plain service stand-in. */
export interface ServiceOptions {
  readonly listen?: string;
  readonly behaviour?: Partial<ServiceBehaviour>;
  /** Called when a crash is triggered; by default the server is stopped. */
  readonly onCrash?: () => void;
  readonly random?: () => number;
}

/** Point of a call at which the service crashes. */
export enum CrashPoint {
  Never = 'never',
  /** Before the execution; the call is not executed. */
  Before = 'before',
  /** After the execution; the response is lost. */
  After = 'after',
}

/** Behaviour and faults of a service, which can be changed while it runs. */
export interface ServiceBehaviour {
  /** Delay before the execution. */
  readonly waitMs: number;
  /** Delay between the execution and its response. */
  readonly answerDelayMs: number;
  /** Fraction of calls, between 0 and 1, that are executed but whose response is lost. */
  readonly loseAnswers: number;
  /** Fraction of calls, between 0 and 1, that get status 503 and are not executed. */
  readonly refuse: number;
  /** Whether and when the next call crashes the service. */
  readonly crash: CrashPoint;
  /** Whether a call with a known `Idempotency-Key` gets the stored response and is not executed again. */
  readonly deduplicates: boolean;
  /** Whether the status lookup is available; otherwise it responds with 503. */
  readonly hasStatus: boolean;
}

/** Counters of a service since its start. */
export interface ServiceCounts {
  readonly calls: number;
  readonly executions: number;
  readonly refused: number;
  /** Executions by `Idempotency-Key`. */
  readonly byKey: Readonly<Record<string, number>>;
}
