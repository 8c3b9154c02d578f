import type { RunState } from '@sardinegrade/common';

/** Log-normal distribution of lengths in tokens, with an upper limit. */
export interface LengthDistribution {
  readonly median: number;
  /** Standard deviation of the length's logarithm. */
  readonly spread: number;
  readonly maximum: number;
}

/** A period in which requests of a class arrive at a higher rate. */
export interface Burst {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Factor by which the class's rate is multiplied. */
  readonly factor: number;
}

/** Properties of the requests of one class. */
export interface LoadClass {
  /** Name of the class, which is also sent with each request. */
  readonly name: string;
  readonly model: string;
  /** Whether its callers pay; used in summaries only. */
  readonly isPaying: boolean;
  readonly ratePerSecond: number;
  readonly bursts: readonly Burst[];
  /** API keys of the sending workspaces, the one with the most requests first. */
  readonly keys: readonly string[];
  /** Zipf exponent of the workspaces' shares of the requests; 0 gives equal shares. */
  readonly workspaceSkew: number;
  readonly promptTokens: LengthDistribution;
  readonly answerTokens: LengthDistribution;
  /** Fraction of the prompt, between 0 and 1, that all requests of a workspace share. */
  readonly sharedFraction: number;
  readonly firstTokenTargetMs: number;
  readonly tokenIntervalTargetMs: number;
  /** Time after which the caller aborts the request. */
  readonly timeoutMs: number;
}

/** Definition of a load. */
export interface LoadProfile {
  readonly seed: number;
  readonly durationMs: number;
  readonly classes: readonly LoadClass[];
}

/** A request of a plan. */
export interface PlannedRequest {
  /** Position in the plan, from 0. */
  readonly number: number;
  /** Planned send time, in milliseconds since the start of the run. */
  readonly atMs: number;
  readonly loadClass: LoadClass;
  readonly key: string;
  readonly prompt: string;
  readonly answerTokens: number;
}

/** Outcome of a request from its caller's point of view. */
export enum CallerOutcome {
  /** The complete, expected answer with its closing marker. */
  Complete = 'whole',
  /** An answer that is complete but has an unexpected text. */
  Wrong = 'wrong',
  /** Refused before the first token; the error states that the request was not run. */
  Refused = 'refused',
  /** Failed before the first token, without a statement that the request was not run. */
  Failed = 'failed',
  /** Ended after at least one token, with an error event or without the closing marker. */
  Truncated = 'cut',
  /** The caller's timeout expired or the run was stopped. */
  TimedOut = 'given_up',
  /** The connection failed or was closed before the first token. */
  Unreachable = 'unreachable',
}

/** Result of a request. Latencies are measured from its planned send time. */
export interface RequestResult {
  readonly request: PlannedRequest;
  readonly outcome: CallerOutcome;
  /** Planned send time, in milliseconds since the start of the run. */
  readonly atMs: number;
  /** End of the request, in milliseconds since the start of the run. */
  readonly endedAtMs: number;
  readonly tokens: number;
  readonly firstTokenMs: number | undefined;
  readonly tokenIntervalMs: number | undefined;
  readonly longestIntervalMs: number;
  readonly code: number | undefined;
  readonly run: RunState | undefined;
}
