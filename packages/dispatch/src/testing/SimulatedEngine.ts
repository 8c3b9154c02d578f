import type { EngineShape } from './types.js';

/** One answer that a simulated engine generates. */
export interface SimulatedStream {
  readonly askId: string;
  readonly isPoison: boolean;
  readonly startedAtMs: number;
  prefillLeftMs: number;
  /** Tokens that remain to be generated, possibly fractional. */
  tokensLeft: number;
  /** Tokens that have been generated, possibly fractional. */
  tokensMade: number;
  firstTokenAtMs: number | undefined;
  isPaused: boolean;
  /** Time spent on generating tokens, without the prefill, in milliseconds. */
  decodeMs: number;
}

/** Simulates an engine with continuous batching: more running streams are slower each; a paused one keeps its state. */
export class SimulatedEngine {
  readonly streams = new Map<string, SimulatedStream>();
  isAlive = true;
  /** Factor by which all computation takes longer. */
  slowdown = 1;

  constructor(readonly shape: EngineShape) {}

  get runningCount(): number {
    return this.listRunning().length;
  }

  /** Lists the running streams; streams beyond the slots wait in the engine's own queue, in order of their start. */
  listRunning(): readonly SimulatedStream[] {
    const running: SimulatedStream[] = [];
    for (const stream of this.streams.values()) {
      if (running.length >= this.shape.slots) break;
      if (!stream.isPaused) running.push(stream);
    }
    return running;
  }

  /** @returns the current interval between tokens of one stream, in milliseconds */
  computeIntervalMs(): number {
    const { baseIntervalMs, batchingCost, slots } = this.shape;
    return baseIntervalMs * this.slowdown * (1 + (batchingCost * this.runningCount) / slots);
  }

  /** Starts to generate an answer. */
  startAnswer(
    stream: Omit<SimulatedStream, 'prefillLeftMs'> & { readonly promptTokens: number },
  ): void {
    const { promptTokens, ...rest } = stream;
    const prefillLeftMs = promptTokens * this.shape.prefillMsPerToken * this.slowdown;
    this.streams.set(stream.askId, { ...rest, prefillLeftMs });
  }

  /** Cancels an answer. */
  cancel(askId: string): void {
    this.streams.delete(askId);
  }

  /** Crashes the engine, which ends all its streams. */
  stop(): void {
    this.isAlive = false;
    this.streams.clear();
  }

  /**
   * Advances all running streams.
   *
   * @param durationMs - duration of the step, in milliseconds
   * @param nowMs - time at the end of the step, in milliseconds
   * @returns whether a poison request crashed the engine
   */
  advance(durationMs: number, nowMs: number): boolean {
    const intervalMs = this.computeIntervalMs();
    for (const stream of this.listRunning()) {
      if (stream.isPoison) return true;
      this.advanceStream(stream, durationMs, intervalMs, nowMs);
    }
    return false;
  }

  private advanceStream(
    stream: SimulatedStream,
    durationMs: number,
    intervalMs: number,
    nowMs: number,
  ): void {
    const prefillMs = Math.min(stream.prefillLeftMs, durationMs);
    stream.prefillLeftMs -= prefillMs;
    const decodeMs = durationMs - prefillMs;
    if (decodeMs <= 0) return;
    stream.decodeMs += decodeMs;
    const tokens = Math.min(stream.tokensLeft, decodeMs / intervalMs);
    stream.tokensLeft -= tokens;
    stream.tokensMade += tokens;
    if (stream.tokensMade >= 1) stream.firstTokenAtMs ??= nowMs;
  }
}
