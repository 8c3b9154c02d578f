import type { AttemptId, UpstreamConfiguration } from '@sardinegrade/common';

import type { AttemptEnd } from './enums.js';

/** One attempt at an engine. */
export interface EngineAttempt {
  readonly attemptId: AttemptId;
  readonly upstream: UpstreamConfiguration;
  /** The caller's validated body in OpenAI's shape, encoded, always asking for a stream. */
  readonly body: string;
  /** Lower is served first. */
  readonly priority: number;
  /** Number of the first token wanted. */
  readonly resumeAt: number;
  readonly traceparent: string;
  /** Longest silence before the first token. */
  readonly firstTokenTimeoutMs: number;
  /** Longest silence between tokens. */
  readonly tokenTimeoutMs: number;
}

/** One numbered event of an engine's stream. */
export interface TokenEvent {
  readonly number: number;
  /** The text that this event adds to the answer. */
  readonly text: string;
}

/** How an attempt ended, told once. */
export interface AttemptOutcome {
  readonly end: AttemptEnd;
  readonly message: string;
  /** OpenAI's finish reason, present in a finished attempt. */
  readonly finishReason: string | undefined;
  /** When the upstream wants to be asked again. */
  readonly retryAfterMs: number | undefined;
}

/** Receives the events of an attempt. */
export interface AttemptListener {
  readonly onToken: (event: TokenEvent) => void;
  /** Called exactly once; nothing follows it. */
  readonly onEnd: (outcome: AttemptOutcome) => void;
}

/** A running attempt. */
export interface AttemptHandle {
  /** Stops reading from the engine until resumed, for back pressure. */
  readonly pauseReading: () => void;
  readonly resumeReading: () => void;
  /** Exempts the attempt from its timeouts while the engine holds it paused. */
  readonly setHeld: (isHeld: boolean) => void;
  /** Ends the attempt from this side and tells the engine to cancel it. */
  readonly abort: () => void;
}

/** A load report as the engine gives it; it lags. */
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
