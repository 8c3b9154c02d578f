import { hashPrefixBlocks } from '@sardinegrade/upstream';

import { deriveAnswer } from './answerText.js';
import { Attempt } from './Attempt.js';
import { Batch } from './Batch.js';
import { CacheEventLog } from './CacheEventLog.js';
import {
  DEFAULT_BATCH_SLOPE,
  DEFAULT_CACHE_BLOCKS,
  createCounts,
  NO_FAULTS,
  DEFAULT_PREFILL_TOKENS_PER_SECOND,
  QUEUED_PER_SLOT,
  DEFAULT_SLOTS,
  DEFAULT_TOKEN_INTERVAL_MS,
  TOKENS_PER_BLOCK,
} from './constants.js';
import { hashText } from './hashText.js';
import { LoadHistory } from './LoadHistory.js';
import { PrefixCache } from './PrefixCache.js';
import { renderPrompt } from './schemas.js';

import type { Answer } from './answerText.js';
import type { AnswerSink } from './Attempt.js';
import type { CompletionRequest } from './schemas.js';
import type { EngineBehaviour, EngineOptions } from './types.js';

const CHARACTERS_PER_TOKEN = 4;

/** An attempt that the engine is about to accept. */
export interface IncomingAttempt {
  readonly id: string;
  readonly body: string;
  readonly request: CompletionRequest;
  readonly priority: number;
  readonly resumeAt: number;
  readonly createSink: (answer: Answer, promptTokens: number) => AnswerSink;
}

/** Simulated engine with batching, prefix cache and load reports, independent of the HTTP protocol. */
export class Engine {
  readonly counts = createCounts();
  readonly cacheEvents = new CacheEventLog();
  /** Hashes of all prompts that got a slot, used to check that refused requests were not run. */
  readonly startedPrompts = new Set<number>();
  private readonly options: EngineOptions;
  private readonly onCrash: () => void;
  private readonly cache: PrefixCache;
  private readonly batch: Batch;
  private readonly loads = new LoadHistory();
  private readonly attempts = new Map<string, Attempt>();
  private behaviour: EngineBehaviour;
  private leavingSinceMs: number | undefined;

  constructor(options: EngineOptions, onCrash: () => void) {
    this.options = options;
    this.onCrash = onCrash;
    this.behaviour = NO_FAULTS;
    this.cache = new PrefixCache(options.cacheBlocks ?? DEFAULT_CACHE_BLOCKS);
    this.batch = new Batch({
      slots: this.slots,
      getStepMs: (running) => this.getStepMs(running),
      onStart: (attempt) => this.startPrefill(attempt),
      onToken: () => (this.counts.tokens += 1),
      onFinish: (attempt) => this.finish(attempt),
    });
    this.setBehaviour(options.behaviour ?? {});
    this.recordLoad();
  }

  get slots(): number {
    return this.options.slots ?? DEFAULT_SLOTS;
  }

  get isLeaving(): boolean {
    return this.behaviour.isLeaving;
  }

  get hasWrongAttemptId(): boolean {
    return this.behaviour.hasWrongAttemptId;
  }

  get isFull(): boolean {
    return this.batch.sizes.queued >= (this.options.queueLimit ?? this.slots * QUEUED_PER_SLOT);
  }

  setBehaviour(behaviour: Partial<EngineBehaviour>): void {
    this.behaviour = { ...this.behaviour, ...behaviour };
    if (!this.behaviour.isLeaving) this.leavingSinceMs = undefined;
    else this.leavingSinceMs ??= Date.now();
  }

  /** Counts a received attempt, whether it is accepted or refused. */
  recordArrival(): void {
    this.counts.received += 1;
    if (this.leavingSinceMs === undefined) return;
    this.counts.receivedWhileLeaving += 1;
    this.counts.lastReceivedAfterLeavingMs = Date.now() - this.leavingSinceMs;
  }

  hasAttempt(id: string): boolean {
    return this.attempts.has(id);
  }

  accept(incoming: IncomingAttempt): void {
    const { id, request, priority, resumeAt, body } = incoming;
    const prompt = renderPrompt(request);
    const maxTokens = request.max_completion_tokens ?? request.max_tokens ?? Infinity;
    const answer = deriveAnswer(prompt, maxTokens);
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const { crashMarker } = this.behaviour;
    const attempt = new Attempt({
      id,
      priority,
      promptTokens: promptTokens + resumeAt,
      promptHash: hashText(prompt),
      prefixBlocks: hashPrefixBlocks(prompt),
      answer,
      resumeAt,
      sink: incoming.createSink(answer, promptTokens),
      hasCrashMarker: crashMarker !== '' && body.includes(crashMarker),
    });
    this.attempts.set(id, attempt);
    this.batch.enqueue(attempt);
  }

  /** Cancels an attempt. Returns false if it is unknown or has already ended. */
  cancel(id: string): boolean {
    const attempt = this.attempts.get(id);
    if (attempt === undefined) return false;
    this.attempts.delete(id);
    if (!this.batch.remove(attempt)) return false;
    this.counts.cancelled += 1;
    attempt.options.sink.abort();
    return true;
  }

  pause(id: string): boolean {
    const attempt = this.attempts.get(id);
    if (attempt === undefined) return false;
    this.counts.paused += 1;
    this.batch.pause(attempt);
    return true;
  }

  resume(id: string): boolean {
    const attempt = this.attempts.get(id);
    if (attempt === undefined) return false;
    this.batch.resume(attempt);
    return true;
  }

  /** Records a load sample, which load reports show after the configured lag. */
  recordLoad(): void {
    const { running, queued, paused } = this.batch.sizes;
    this.loads.record({
      at_ms: Date.now(),
      running,
      queued,
      paused,
      slots: this.slots,
      cache_use: this.cache.use,
      token_interval_ms: this.getStepMs(Math.max(1, running)),
      leaving: this.behaviour.isLeaving,
    });
  }

  getLoad() {
    return this.loads.find(Date.now() - this.behaviour.loadLagMs);
  }

  stop(): void {
    this.batch.stop();
    this.attempts.clear();
  }

  private getStepMs(running: number): number {
    const baseIntervalMs = this.options.tokenIntervalMs ?? DEFAULT_TOKEN_INTERVAL_MS;
    const slope = this.options.batchSlope ?? DEFAULT_BATCH_SLOPE;
    return baseIntervalMs * (1 + slope * (running - 1)) * this.behaviour.slowdown;
  }

  /** Prefills the part of a prompt that is not cached. Returns the duration in milliseconds. */
  private startPrefill(attempt: Attempt): number {
    if (attempt.options.hasCrashMarker) {
      this.onCrash();
      return 0;
    }
    if (attempt.isPrefilled) return 0;
    attempt.isPrefilled = true;
    this.counts.started += 1;
    this.startedPrompts.add(attempt.options.promptHash);
    const { prefixBlocks, promptTokens } = attempt.options;
    const cached = this.cache.countCached(prefixBlocks) * TOKENS_PER_BLOCK;
    this.publishCacheChange(prefixBlocks);
    const tokens = Math.max(0, promptTokens - cached);
    this.counts.prefillTokens += tokens;
    this.counts.cachedTokens += cached;
    const tokensPerSecond =
      this.options.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND;
    return (tokens / tokensPerSecond) * 1_000 * this.behaviour.slowdown;
  }

  private publishCacheChange(blocks: readonly number[]): void {
    const { cacheEventLagMs, cacheEventLoss } = this.behaviour;
    const random = this.options.random ?? Math.random;
    const isLost = random() < cacheEventLoss;
    this.cacheEvents.append(this.cache.add(blocks), Date.now() + cacheEventLagMs, isLost);
  }

  private finish(attempt: Attempt): void {
    this.attempts.delete(attempt.options.id);
    this.counts.finished += 1;
    attempt.options.sink.finish();
  }
}
