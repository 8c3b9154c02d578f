import type { AttemptId, UpstreamConfiguration } from '@sardinegrade/common';

import type { AttemptEnd } from './enums.js';

/** One attempt to run a request on an engine. */
export interface EngineAttempt {
  readonly attemptId: AttemptId;
  readonly upstream: UpstreamConfiguration;
  /** The caller's validated request body in OpenAI's format, encoded as JSON; always requests a stream. */
  readonly body: string;
  /** Lower values are served first. */
  readonly priority: number;
  /** Number of the first requested token; above 0 when an answer is resumed. */
  readonly resumeAt: number;
  readonly traceparent: string;
  /** Longest time without data before the first token, in milliseconds. */
  readonly firstTokenTimeoutMs: number;
  /** Longest time without data after the first token, in milliseconds. */
  readonly tokenTimeoutMs: number;
}

/** One numbered event of an engine's stream. */
export interface TokenEvent {
  readonly number: number;
  /** The text that this event adds to the answer. */
  readonly text: string;
}

/** How an attempt ended; reported once. */
export interface AttemptOutcome {
  readonly end: AttemptEnd;
  readonly message: string;
  /** OpenAI's finish reason; undefined unless the attempt finished. */
  readonly finishReason: string | undefined;
  /** Delay that the upstream requested before the next attempt, in milliseconds. */
  readonly retryAfterMs: number | undefined;
}

/** Receives the events of an attempt. */
export interface AttemptListener {
  readonly onToken: (event: TokenEvent) => void;
  /** Called exactly once, after the last token. */
  readonly onEnd: (outcome: AttemptOutcome) => void;
}

/** A running attempt. */
export interface AttemptHandle {
  /** Stops reading from the engine until resumed, for back pressure. */
  readonly pauseReading: () => void;
  readonly resumeReading: () => void;
  /** Suspends the attempt's timeouts while the engine has paused it. */
  readonly setPausedByEngine: (isPaused: boolean) => void;
  /** Ends the attempt and sends the engine a command to cancel it. */
  readonly abort: () => void;
}

/** Load report of an engine; it may be out of date. */
export interface EngineLoad {
  readonly atMs: number;
  readonly running: number;
  readonly queued: number;
  readonly paused: number;
  readonly slots: number;
  readonly cacheUse: number;
  readonly tokenIntervalMs: number;
  readonly isLeaving: boolean;
}

/** Prefix blocks that an engine stored or evicted. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}
