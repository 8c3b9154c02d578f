import type { EngineShape } from './types.js';

/** One answer that a modelled engine computes. */
export interface ModelStream {
  readonly askId: string;
  readonly isPoison: boolean;
  readonly startedAtMs: number;
  prefillLeftMs: number;
  /** Tokens that it has still to make, and those that it has made, in fractions. */
  tokensLeft: number;
  tokensMade: number;
  firstTokenAtMs: number | undefined;
  isPaused: boolean;
  runMs: number;
}

/** A continuously batching engine: the more streams run, the slower each; a paused one keeps its state. */
export class ModelEngine {
  readonly streams = new Map<string, ModelStream>();
  isAlive = true;
  slowdown = 1;

  constructor(readonly shape: EngineShape) {}

  get runningCount(): number {
    return this.listRunning().length;
  }

  /** Streams beyond the slots wait in the engine's own queue, in order of their start. */
  listRunning(): readonly ModelStream[] {
    const running: ModelStream[] = [];
    for (const stream of this.streams.values()) {
      if (running.length >= this.shape.slots) break;
      if (!stream.isPaused) running.push(stream);
    }
    return running;
  }

  /** @returns the present interval between tokens of one stream */
  computeIntervalMs(): number {
    const { baseIntervalMs, batchingCost, slots } = this.shape;
    return baseIntervalMs * this.slowdown * (1 + (batchingCost * this.runningCount) / slots);
  }

  /** Begins an answer. */
  start(stream: Omit<ModelStream, 'prefillLeftMs'> & { readonly promptTokens: number }): void {
    const { promptTokens, ...rest } = stream;
    const prefillLeftMs = promptTokens * this.shape.prefillMsPerToken * this.slowdown;
    this.streams.set(stream.askId, { ...rest, prefillLeftMs });
  }

  /** Ends an answer early. */
  cancel(askId: string): void {
    this.streams.delete(askId);
  }

  /** Ends the engine with all that it runs. */
  abort(): void {
    this.isAlive = false;
    this.streams.clear();
  }

  /**
   * Computes for a while.
   *
   * @param durationMs - how long
   * @param nowMs - when the time ends
   * @returns whether a poisonous request ended the engine
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
    stream: ModelStream,
    durationMs: number,
    intervalMs: number,
    nowMs: number,
  ): void {
    const prefillMs = Math.min(stream.prefillLeftMs, durationMs);
    stream.prefillLeftMs -= prefillMs;
    const decodeMs = durationMs - prefillMs;
    if (decodeMs <= 0) return;
    stream.runMs += decodeMs;
    const tokens = Math.min(stream.tokensLeft, decodeMs / intervalMs);
    stream.tokensLeft -= tokens;
    stream.tokensMade += tokens;
    if (stream.tokensMade >= 1) stream.firstTokenAtMs ??= nowMs;
  }
}
