import type { AttemptId, UpstreamConfiguration } from '@sardinegrade/common';

/** One attempt at an engine. */
export interface EngineAttempt {
  readonly attemptId: AttemptId;
  readonly upstream: UpstreamConfiguration;
  /** The caller's validated body, in OpenAI's shape, always asking for a stream. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Lower is served first. */
  readonly priority: number;
  readonly resumeAt: number;
  readonly traceparent: string;
  /** Longest silence before the first token, and between tokens. */
  readonly firstTokenTimeoutMs: number;
  readonly tokenTimeoutMs: number;
}

/** One numbered event of an engine's stream. */
export interface TokenEvent {
  readonly number: number;
  /** The text that this event adds to the answer. */
  readonly text: string;
  /** OpenAI's finish reason; undefined but in the last event. */
  readonly finishReason: string | undefined;
}

/** Why an attempt did not end with a whole answer. */
export enum AttemptFailure {
  /** The upstream said that it did not run the request. */
  Refused = 'refused',
  /** No connection was made; nothing was sent. */
  NotSent = 'not_sent',
  /** The stream or connection broke. */
  Died = 'died',
  /** No progress within the deadline. */
  Silent = 'silent',
  /** The answer carried another attempt's id or numbers out of order. */
  Crossed = 'crossed',
}
