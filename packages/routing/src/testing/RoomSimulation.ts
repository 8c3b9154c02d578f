import { createRandomSource } from '@sardinegrade/dispatch';

import { PREFILL_TOKENS_PER_MS } from '../placement/index.js';
import { isEngineFull, rankWaiting } from '../waiting/index.js';

import type { RandomSource } from '@sardinegrade/dispatch';
import type { WaitingRequest } from '../waiting/index.js';

/** Requests of one kind that arrive at random times and VMs. */
export interface RoomTraffic {
  readonly name: string;
  readonly perSecond: number;
  readonly priority: number;
  readonly promptTokens: number;
  /** Time from the first event to the end, in milliseconds. */
  readonly streamMs: number;
  readonly targetMs: number;
}

/** Size of a simulated deployment with one engine, and the rules that its VMs follow. */
export interface RoomSite {
  readonly vms: number;
  /** Age of what a VM knows of the requests of the others, in milliseconds at most. */
  readonly reportIntervalMs: number;
  readonly slots: number;
  /** Whether requests of the most urgent rank are sent to a full engine. */
  readonly sendsUrgent: boolean;
}

/** Result counters of one kind of requests. */
export interface RoomCount {
  readonly sent: number;
  /** Requests whose first event came after the target, or not at all. */
  readonly late: number;
}

/** Results of a replay. */
export interface RoomResult {
  readonly counts: ReadonlyMap<string, RoomCount>;
  /** Requests that the engine rejected because its queue was full. */
  readonly rejected: number;
}

interface RoomRequest extends WaitingRequest {
  readonly traffic: RoomTraffic;
  readonly vm: number;
  firstEventAtMs: number;
}

const STEP_MS = 5;
const MS_PER_SECOND = 1_000;

/** Time to the first event after prefill, in milliseconds. */
const MIN_FIRST_EVENT_MS = 16;

/** Length of the queue at which an engine rejects requests, as a multiple of its slots. */
const QUEUE_SHARE = 2;

/** Time between two passes over the queue of a VM, in milliseconds. */
const PASS_INTERVAL_MS = 25;

/** Simulates VMs with queues of their own in front of one engine that prefills one prompt after another. */
export class RoomSimulation {
  readonly #random: RandomSource;
  readonly #queues: RoomRequest[][];
  /** Requests at the engine by VM, as the VM itself knows them, and as it last reported them. */
  readonly #runs: number[];
  readonly #reportedRuns: number[];
  #engineQueue: RoomRequest[] = [];
  #running: { readonly request: RoomRequest; readonly endAtMs: number }[] = [];
  #prefillFreeAtMs = 0;
  #rejected = 0;

  /**
   * @param site - size and rules
   * @param seed - seed of the arrivals
   */
  constructor(
    private readonly site: RoomSite,
    seed: number,
  ) {
    this.#random = createRandomSource(seed);
    this.#queues = Array.from({ length: site.vms }, () => []);
    this.#runs = this.#queues.map(() => 0);
    this.#reportedRuns = this.#queues.map(() => 0);
  }

  /**
   * Replays traffic.
   *
   * @param traffic - kinds of requests
   * @param seconds - time in which requests arrive
   * @returns the counters by the name of the kind
   */
  run(traffic: readonly RoomTraffic[], seconds: number): RoomResult {
    const requests = traffic
      .flatMap((kind) => this.#buildRequests(kind, seconds))
      .sort((left, right) => left.arrivedAtMs - right.arrivedAtMs);
    const firstRank = Math.min(...traffic.map(({ priority }) => priority));
    let next = 0;
    for (let nowMs = 0; nowMs < 2 * seconds * MS_PER_SECOND; nowMs += STEP_MS) {
      for (; (requests[next]?.arrivedAtMs ?? Infinity) <= nowMs; next += 1) {
        const request = requests[next];
        if (request !== undefined) this.#queues[request.vm]?.push(request);
      }
      this.#stepEngine(nowMs);
      for (const vm of this.#queues.keys()) this.#stepVm(vm, nowMs, firstRank);
    }
    const counts = traffic.map((kind): [string, RoomCount] => {
      const own = requests.filter((request) => request.traffic === kind);
      const late = own.filter(({ firstEventAtMs, dueAtMs }) => firstEventAtMs > dueAtMs);
      return [kind.name, { sent: own.length, late: late.length }];
    });
    return { counts: new Map(counts), rejected: this.#rejected };
  }

  #buildRequests(traffic: RoomTraffic, seconds: number): RoomRequest[] {
    return Array.from({ length: Math.round(traffic.perSecond * seconds) }, () => {
      const arrivedAtMs = this.#random() * seconds * MS_PER_SECOND;
      return {
        traffic,
        vm: Math.floor(this.#random() * this.site.vms),
        priority: traffic.priority,
        arrivedAtMs,
        dueAtMs: arrivedAtMs + traffic.targetMs,
        prefillMs: traffic.promptTokens / PREFILL_TOKENS_PER_MS,
        firstEventAtMs: Infinity,
      };
    });
  }

  #stepEngine(nowMs: number): void {
    for (const { request, endAtMs } of this.#running) {
      if (endAtMs <= nowMs) this.#runs[request.vm] = (this.#runs[request.vm] ?? 0) - 1;
    }
    this.#running = this.#running.filter(({ endAtMs }) => endAtMs > nowMs);
    this.#engineQueue.sort((left, right) => left.priority - right.priority);
    const started = this.#engineQueue.splice(0, this.site.slots - this.#running.length);
    for (const request of started) {
      this.#prefillFreeAtMs = Math.max(nowMs, this.#prefillFreeAtMs) + request.prefillMs;
      request.firstEventAtMs = this.#prefillFreeAtMs + MIN_FIRST_EVENT_MS;
      this.#running.push({ request, endAtMs: request.firstEventAtMs + request.traffic.streamMs });
    }
  }

  #stepVm(vm: number, nowMs: number, firstRank: number): void {
    const { reportIntervalMs, sendsUrgent, slots } = this.site;
    // Passes and reports of the VMs are spread over their intervals.
    const tick = Math.floor(nowMs / STEP_MS) + vm;
    if (tick % Math.ceil(reportIntervalMs / STEP_MS) === 0)
      this.#reportedRuns[vm] = this.#runs[vm] ?? 0;
    const queue = this.#queues[vm] ?? [];
    if (queue.length === 0 || tick % (PASS_INTERVAL_MS / STEP_MS) !== 0) return;
    for (const request of rankWaiting(queue, nowMs)) {
      const others = this.#reportedRuns.reduce((sum, runs) => sum + runs, 0);
      const runs = others - (this.#reportedRuns[vm] ?? 0) + (this.#runs[vm] ?? 0);
      if (isEngineFull(slots, runs, sendsUrgent && request.priority === firstRank)) continue;
      if (this.#engineQueue.length >= slots * QUEUE_SHARE) this.#rejected += 1;
      else {
        queue.splice(queue.indexOf(request), 1);
        this.#runs[vm] = (this.#runs[vm] ?? 0) + 1;
        this.#engineQueue.push(request);
      }
    }
  }
}
