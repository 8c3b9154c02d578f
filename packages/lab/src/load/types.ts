import type { RunState } from '@sardinegrade/common';

/** A log-normal length, bounded. */
export interface LengthDistribution {
  readonly median: number;
  /** Standard deviation of the length's logarithm. */
  readonly spread: number;
  readonly maximum: number;
}

/** A time in which a class arrives faster. */
export interface Burst {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Factor on the class's rate. */
  readonly factor: number;
}

/** The requests of one class. */
export interface LoadClass {
  /** The class's name, which the caller also sends. */
  readonly name: string;
  readonly model: string;
  /** Whether its callers pay, for summaries. */
  readonly isPaying: boolean;
  readonly ratePerSecond: number;
  readonly bursts: readonly Burst[];
  /** Keys of the workspaces that send, the largest first. */
  readonly keys: readonly string[];
  /** Exponent of the share by rank of the workspaces; 0 for equal shares. */
  readonly workspaceSkew: number;
  readonly promptTokens: LengthDistribution;
  readonly answerTokens: LengthDistribution;
  /** Part of the prompt that all requests of a workspace share. */
  readonly sharedPart: number;
  readonly firstTokenTargetMs: number;
  readonly tokenIntervalTargetMs: number;
  /** Time after which the caller gives up. */
  readonly patienceMs: number;
}

/** A load. */
export interface LoadProfile {
  readonly seed: number;
  readonly durationMs: number;
  readonly classes: readonly LoadClass[];
}

/** One request of a plan. */
export interface PlannedRequest {
  readonly number: number;
  readonly atMs: number;
  readonly loadClass: LoadClass;
  readonly key: string;
  readonly prompt: string;
  readonly answerTokens: number;
}

/** How a request ended, as its caller sees it. */
export enum CallerOutcome {
  /** The whole answer, of this very request, with its closing marker. */
  Whole = 'whole',
  /** An answer that looks whole but is not the right one. */
  Wrong = 'wrong',
  /** Refused before any token, as not run. */
  Refused = 'refused',
  /** Failed before any token, not said to be not run. */
  Failed = 'failed',
  /** Ended after some tokens, with an error event or without the closing marker. */
  Cut = 'cut',
  /** The caller's patience ended. */
  GivenUp = 'given_up',
  /** No connection, or it broke before an answer. */
  Unreachable = 'unreachable',
}

/** What became of a request. Times count from the moment that the plan meant it to be sent. */
export interface RequestResult {
  readonly request: PlannedRequest;
  readonly outcome: CallerOutcome;
  /** When the plan meant it to be sent, and when it ended, in milliseconds of the run. */
  readonly atMs: number;
  readonly endedAtMs: number;
  readonly tokens: number;
  readonly firstTokenMs: number | undefined;
  readonly tokenIntervalMs: number | undefined;
  readonly longestIntervalMs: number;
  readonly code: number | undefined;
  readonly run: RunState | undefined;
}
