import { PartCrashTracker } from '@sardinegrade/routing';

import { hashInstance, toInstanceId } from '../workers/index.js';

import type { Logger, UpstreamId } from '@sardinegrade/common';
import type { PartEvidence, PartId, PromptParts, RefusedPart, Worker } from '@sardinegrade/routing';

/** Time in which sends that broke on one worker instance belong to the same event, in milliseconds. */
const BROKEN_LIFETIME_MS = 8_000;

/** Maximum number of prompts that are remembered for one worker instance. */
const MAX_BROKEN_PROMPTS = 1_024;

/** Maximum number of part ids in a log line. */
const MAX_LOGGED_PARTS = 16;

/** A send whose answer has not begun. */
export interface UnansweredSend {
  readonly worker: Worker;
  readonly parts: PromptParts;
  /** Cancels the send because a part of its prompt is refused. */
  readonly cancel: (refused: RefusedPart) => void;
}

/** Sends that broke on a worker instance before their answers began. */
interface BrokenSends {
  readonly atMs: number;
  readonly prompts: PromptParts[];
  /** Whether the instance is known to have ended. */
  hasEnded: boolean;
}

/** Dependencies of `PartQuarantine`. */
export interface PartQuarantineOptions {
  readonly logger: Logger;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  /** Whether the worker is registered and not leaving: a worker that has shut down did not crash. */
  readonly isInService: (worker: Worker) => boolean;
  /** Checks whether nothing listens at the address of a worker. */
  readonly isPortClosed: (address: string) => Promise<boolean>;
}

/**
 * Refuses requests with prompt parts that crash workers. The end of a worker is noticed by the sends that break on it,
 * seconds before its registration lapses; only prompts whose answers had not begun are suspects.
 */
export class PartQuarantine {
  readonly #tracker = new PartCrashTracker();
  readonly #unanswered = new Set<UnansweredSend>();
  readonly #broken = new Map<UpstreamId, BrokenSends>();
  #refused: ReadonlyMap<PartId, RefusedPart> = new Map();
  /** Whether this VM sends the first trial of a part. */
  isTrialVm: (part: PartId) => boolean = () => true;

  /** @param options - dependencies */
  constructor(private readonly options: PartQuarantineOptions) {}

  /** Number of parts whose requests are refused. */
  get refusedCount(): number {
    return this.#refused.size;
  }

  /** Whether evidence has to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#tracker.hasUnsent;
  }

  /** @returns the part because of which a request is refused, or undefined if it may be sent */
  findRefused(parts: PromptParts): RefusedPart | undefined {
    return this.#tracker.findRefused(parts, this.options.getNowMs(), this.isTrialVm);
  }

  /** Records that a prompt is sent to a worker. */
  addSend(send: UnansweredSend): void {
    this.#unanswered.add(send);
    this.#tracker.recordSend(send.parts, this.options.getNowMs());
  }

  /** Records that the answer to a send has begun, which clears the parts of its prompt. */
  recordAnswer(send: UnansweredSend): void {
    if (!this.#unanswered.delete(send)) return;
    this.#tracker.recordAnswer(send.parts, this.options.getNowMs());
    this.#applyChange();
  }

  /** Records that a send has ended for a reason that says nothing about its worker's process. */
  removeSend(send: UnansweredSend): void {
    this.#unanswered.delete(send);
  }

  /** Records that a send broke. If its answer had not begun, its prompt is a suspect in case the worker has ended. */
  recordBrokenSend(send: UnansweredSend): void {
    if (!this.#unanswered.delete(send)) return;
    const { worker, parts } = send;
    if (!this.options.isInService(worker)) return;
    const nowMs = this.options.getNowMs();
    this.#dropOldBroken(nowMs);
    const known = this.#broken.get(toInstanceId(worker));
    if (known?.hasEnded === true) {
      this.#recordCrash(worker, [parts]);
    } else if (known === undefined) {
      this.#broken.set(toInstanceId(worker), { atMs: nowMs, prompts: [parts], hasEnded: false });
      void this.#checkEnded(worker);
    } else if (known.prompts.length < MAX_BROKEN_PROMPTS) known.prompts.push(parts);
  }

  /** Records that a worker instance has ended, for example because its registration has lapsed. */
  recordInstanceEnd(worker: Worker): void {
    const broken = this.#broken.get(toInstanceId(worker));
    if (broken === undefined || broken.hasEnded) return;
    broken.hasEnded = true;
    this.#recordCrash(worker, broken.prompts);
  }

  /** Adds evidence that another VM has sent. */
  addEvidence(evidence: readonly PartEvidence[]): void {
    if (evidence.length === 0) return;
    this.#tracker.addEvidence(evidence, this.options.getNowMs());
    this.#applyChange();
  }

  /** @returns the evidence for the next message to other VMs */
  collectUnsent(): readonly PartEvidence[] {
    return this.#tracker.collectUnsent(this.options.getNowMs());
  }

  /** @returns the evidence for a VM that has just started */
  listEvidence(): readonly PartEvidence[] {
    return this.#tracker.listEvidence(this.options.getNowMs());
  }

  async #checkEnded(worker: Worker): Promise<void> {
    if (await this.options.isPortClosed(worker.address)) this.recordInstanceEnd(worker);
  }

  #recordCrash(worker: Worker, prompts: readonly PromptParts[]): void {
    const nowMs = this.options.getNowMs();
    const instance = hashInstance(worker);
    for (const parts of prompts) this.#tracker.recordCrash(parts, instance, nowMs);
    const ids = new Set(prompts.flatMap((parts) => parts.slice(0, -1).map(({ id }) => id)));
    this.options.logger.warn('worker ended before it answered requests', {
      upstream: worker.id,
      count: prompts.length,
      inputs: { shared_parts: [...ids].slice(0, MAX_LOGGED_PARTS).join(' ') },
    });
    this.#applyChange();
  }

  /** Logs which parts are refused or no longer refused, and cancels the unanswered sends with newly refused parts. */
  #applyChange(): void {
    const previous = this.#refused;
    const { refused } = this.#tracker;
    if (refused === previous) return;
    this.#refused = refused;
    const { logger, getNowMs } = this.options;
    for (const [part, { crashes, trialAtMs }] of refused) {
      if (previous.get(part)?.crashes === crashes) continue;
      logger.warn('prompt part refused: workers ended before they answered requests with it', {
        count: crashes,
        inputs: { part, next_trial_ms: Math.round(trialAtMs - getNowMs()) },
      });
    }
    for (const part of previous.keys()) {
      if (refused.has(part)) continue;
      logger.info('prompt part no longer refused', { inputs: { part } });
    }
    for (const send of [...this.#unanswered]) {
      const part = send.parts.slice(0, -1).find(({ id }) => refused.has(id) && !previous.has(id));
      const reason = part && refused.get(part.id);
      if (reason === undefined) continue;
      this.#unanswered.delete(send);
      send.cancel(reason);
    }
  }

  #dropOldBroken(nowMs: number): void {
    for (const [instance, { atMs }] of this.#broken) {
      if (nowMs - atMs > BROKEN_LIFETIME_MS) this.#broken.delete(instance);
    }
  }
}
