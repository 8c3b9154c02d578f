import { hashText, toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { PREFILL_TOKENS_PER_MS } from '../placement/index.js';
import { computeRoomShare, isEngineFull, rankWaiting, WorkspaceWork } from '../waiting/index.js';

import type { WorkspaceName } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { WorkLoads } from '../load/index.js';
import type { WaitingRequest } from '../waiting/index.js';

/** How the queues of the VMs treat workspaces. */
export enum RoomFairness {
  /** All requests of a rank count alike. */
  None = 'none',
  /** Each VM counts only the work that it has sent itself. */
  Own = 'own',
  /** Each VM also counts what the others have reported. */
  Shared = 'shared',
  /** In addition, workspaces with more than their share leave a part of the engine to others. */
  Reserved = 'reserved',
}

/** Requests of one kind that arrive at random times and VMs. */
export interface RoomTraffic {
  readonly name: string;
  readonly perSecond: number;
  readonly priority: number;
  readonly promptTokens: number;
  /** Time from the first event to the end, in milliseconds. */
  readonly streamMs: number;
  readonly targetMs: number;
  /** One workspace for all requests without it. */
  readonly workspace?: string;
}

/** Size of a simulated deployment with one engine, and the rules that its VMs follow. */
export interface RoomSite {
  readonly vms: number;
  /** Age of what a VM knows of the requests of the others, in milliseconds at most. */
  readonly reportIntervalMs: number;
  readonly slots: number;
  /** Whether requests of the most urgent rank are sent to a full engine. */
  readonly sendsUrgent: boolean;
  readonly fairness?: RoomFairness;
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
  readonly workspace: WorkspaceName;
  readonly workTokens: number;
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
  readonly #work: readonly WorkspaceWork[];
  readonly #reportedWork: WorkLoads[];
  readonly #reportedQueues: number[];
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
    this.#reportedQueues = this.#queues.map(() => 0);
    this.#work = this.#queues.map(() => new WorkspaceWork());
    this.#reportedWork = this.#queues.map(() => new Map());
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
        workspace: toBranded<WorkspaceName>(traffic.workspace ?? ''),
        workTokens: traffic.promptTokens,
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
    if (tick % Math.ceil(reportIntervalMs / STEP_MS) === 0) {
      this.#reportedRuns[vm] = this.#runs[vm] ?? 0;
      this.#reportedQueues[vm] = this.#queues[vm]?.length ?? 0;
      this.#reportedWork[vm] = this.#work[vm]?.list(nowMs) ?? new Map();
    }
    const queue = this.#queues[vm] ?? [];
    if (queue.length === 0 || tick % (PASS_INTERVAL_MS / STEP_MS) !== 0) return;
    for (const request of this.#rank(vm, queue, nowMs)) {
      const others = this.#reportedRuns.reduce((sum, runs) => sum + runs, 0);
      const runs = others - (this.#reportedRuns[vm] ?? 0) + (this.#runs[vm] ?? 0);
      const room = slots * this.#computeRoomShare(vm, request, nowMs);
      if (isEngineFull(room, runs, sendsUrgent && request.priority === firstRank)) continue;
      if (this.#engineQueue.length >= slots * QUEUE_SHARE) this.#rejected += 1;
      else {
        queue.splice(queue.indexOf(request), 1);
        this.#runs[vm] = (this.#runs[vm] ?? 0) + 1;
        this.#engineQueue.push(request);
        this.#work[vm]?.record(request.workspace, request.workTokens, nowMs);
      }
    }
  }

  #rank(vm: number, queue: readonly RoomRequest[], nowMs: number): readonly RoomRequest[] {
    const { fairness = RoomFairness.None } = this.site;
    if (fairness === RoomFairness.None) return rankWaiting(queue, nowMs);
    return rankWaiting(queue, nowMs, (workspace) => this.#getWork(vm, workspace, nowMs));
  }

  #getWork(vm: number, workspace: WorkspaceName, nowMs: number): number {
    const hash = hashText(workspace);
    const own = this.#work[vm]?.get(hash, nowMs) ?? 0;
    if (this.site.fairness === RoomFairness.Own) return own;
    return this.#reportedWork.reduce(
      (sum, work, index) => sum + (index === vm ? 0 : (work.get(hash) ?? 0)),
      own,
    );
  }

  #computeRoomShare(vm: number, { workspace }: RoomRequest, nowMs: number): number {
    if (this.site.fairness !== RoomFairness.Reserved) return 1;
    const waitingElsewhere = this.#reportedQueues.reduce(
      (sum, length, index) => sum + (index === vm ? 0 : length),
      0,
    );
    if (waitingElsewhere === 0) return 1;
    const totals = new Map<number, number>();
    for (const work of this.#reportedWork) {
      for (const [hash, tokens] of work) totals.set(hash, (totals.get(hash) ?? 0) + tokens);
    }
    const sum = [...totals.values()].reduce((total, tokens) => total + tokens, 0);
    const meanWork = sum / Math.max(1, totals.size);
    return computeRoomShare({
      work: this.#getWork(vm, workspace, nowMs),
      meanWork,
      waitingElsewhere,
    });
  }
}
