import type { AttemptId, UpstreamConfiguration } from '@sardinegrade/common';
import type { GrantRelease, ReleaseReason } from '@sardinegrade/dispatch';
import type { AttemptHandle } from '@sardinegrade/upstream';

/** A running attempt and the measurements that are reported to its dispatcher when it ends. */
export class RunningAttempt {
  readonly id: AttemptId;
  readonly upstream: UpstreamConfiguration;
  readonly handle: AttemptHandle;
  tokens = 0;
  readonly #startedAtMs: number;
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;

  constructor(
    id: AttemptId,
    upstream: UpstreamConfiguration,
    handle: AttemptHandle,
    startedAtMs: number,
  ) {
    this.id = id;
    this.upstream = upstream;
    this.handle = handle;
    this.#startedAtMs = startedAtMs;
  }

  readonly addToken = (nowMs: number): void => {
    this.#firstTokenAtMs ??= nowMs;
    this.#lastTokenAtMs = nowMs;
    this.tokens += 1;
  };

  readonly buildRelease = (reason: ReleaseReason): Omit<GrantRelease, 'askId'> => ({
    reason,
    tokens: this.tokens,
    firstTokenMs:
      this.#firstTokenAtMs === undefined ? undefined : this.#firstTokenAtMs - this.#startedAtMs,
    tokenIntervalMs:
      this.#firstTokenAtMs === undefined || this.tokens < 2
        ? undefined
        : (this.#lastTokenAtMs - this.#firstTokenAtMs) / (this.tokens - 1),
  });
}
