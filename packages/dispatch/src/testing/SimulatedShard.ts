import { DispatchActionKind, DispatchEventKind, PreemptionMode, ReleaseReason } from '../enums.js';
import { toAskEvent, toReleaseEvent } from './builders.js';
import { SimulatedEngine } from './SimulatedEngine.js';
import { SimulatedOutcome } from './enums.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { DispatchAction, DispatchEvent, Dispatcher, GrantRequest } from '../types.js';
import type { SimulatedStream } from './SimulatedEngine.js';
import type {
  EngineShape,
  SimulationObserver,
  SimulatedRequest,
  SimulatedResult,
} from './types.js';

/** State of one request at the daemon that asks for a grant. */
interface OpenRequest {
  readonly request: SimulatedRequest;
  ask: GrantRequest;
  engine: SimulatedEngine | undefined;
  tokensDone: number;
  firstTokenAtMs: number | undefined;
  runMs: number;
  wastedTokens: number;
  failures: number;
}

const MAX_FAILURES = 3;

/** Cost of computing a prompt token again, relative to a generated token. */
const WASTED_PROMPT_COST_RATIO = 0.1;

/**
 * Simulates a shard around a dispatcher: engines that generate answers, and daemons that ask for grants, report
 * progress, resume on another engine after a cancel or a crash, and give up after more than MAX_FAILURES crashes.
 * Time advances in steps; the simulation is deterministic.
 */
export class SimulatedShard {
  readonly engines: ReadonlyMap<UpstreamId, SimulatedEngine>;
  readonly results: SimulatedResult[] = [];
  private readonly openRequests = new Map<string, OpenRequest>();
  private readonly probes = new Set<UpstreamId>();
  private readonly cancelled = new Set<OpenRequest>();
  private nowMs = 0;

  constructor(
    private readonly dispatcher: Dispatcher,
    shapes: readonly EngineShape[],
    private readonly observe: SimulationObserver = () => undefined,
  ) {
    this.engines = new Map(shapes.map((shape) => [shape.id, new SimulatedEngine(shape)]));
  }

  get currentTimeMs(): number {
    return this.nowMs;
  }

  get openCount(): number {
    return this.openRequests.size;
  }

  /** Sends an event to the dispatcher and performs the returned actions. */
  send(event: DispatchEvent): void {
    const actions = this.dispatcher.handle(event, this.nowMs);
    this.observe(event, actions, this.nowMs);
    for (const action of actions) this.performAction(action);
  }

  /** Adds a request of a caller. */
  request(request: SimulatedRequest): void {
    this.openRequests.set(request.ask.askId, {
      request,
      ask: request.ask,
      engine: undefined,
      tokensDone: 0,
      firstTokenAtMs: undefined,
      runMs: 0,
      wastedTokens: 0,
      failures: 0,
    });
    this.send(toAskEvent(request.ask));
  }

  /** Cancels a request whose caller has disconnected. */
  cancel(askId: string): void {
    const open = this.openRequests.get(askId);
    if (open === undefined) return;
    open.engine?.cancel(askId);
    this.openRequests.delete(askId);
    this.send({ kind: DispatchEventKind.Withdraw, askId });
  }

  /** Crashes an engine; the daemons report the failed connections before the engine is reported lost. */
  stopEngine(upstream: UpstreamId): void {
    const engine = this.engines.get(upstream);
    if (engine?.isAlive !== true) return;
    const affected = [...this.openRequests.values()].filter((open) => open.engine === engine);
    for (const open of affected) {
      const stream = engine.streams.get(open.ask.askId);
      if (stream !== undefined) this.release(open, stream, ReleaseReason.UpstreamDied);
    }
    engine.stop();
    this.send({ kind: DispatchEventKind.UpstreamLost, upstream });
    for (const open of affected) {
      open.failures += 1;
      this.resume(open, { isSuspect: true });
    }
  }

  /** Restarts a crashed engine and sends the dispatcher the result of a passed probe. */
  startEngine(upstream: UpstreamId): void {
    const engine = this.engines.get(upstream);
    if (engine === undefined || engine.isAlive) return;
    engine.isAlive = true;
    this.send({ kind: DispatchEventKind.UpstreamProbed, upstream, isHealthy: true });
  }

  /** Advances the time: engines generate tokens, daemons report progress, the dispatcher receives a tick. */
  advance(durationMs: number): void {
    this.nowMs += durationMs;
    this.resumeCancelled();
    this.answerProbes();
    for (const engine of this.engines.values()) {
      if (!engine.isAlive) continue;
      if (engine.advance(durationMs, this.nowMs)) this.stopEngine(engine.shape.id);
    }
    for (const open of [...this.openRequests.values()]) this.reportProgress(open);
    this.send({ kind: DispatchEventKind.Tick });
  }

  /** Sends the current load of an engine as a report of the given time, which may be in the past. */
  reportLoad(upstream: UpstreamId, atMs: number, isLeaving = false): void {
    const engine = this.engines.get(upstream);
    if (engine === undefined) return;
    const report = {
      upstream,
      atMs,
      running: engine.runningCount,
      queued: 0,
      cacheUse: 0.5,
      tokenIntervalMs: engine.computeIntervalMs(),
      isLeaving,
    };
    this.send({ kind: DispatchEventKind.LoadReport, report });
  }

  /** @returns the ask identifiers of the requests that have not ended */
  listOpen(): readonly string[] {
    return [...this.openRequests.keys()];
  }

  private performAction(action: DispatchAction): void {
    switch (action.kind) {
      case DispatchActionKind.Grant:
        this.startStream(action.askId, action.upstream);
        return;
      case DispatchActionKind.Refuse:
        this.finish(this.openRequests.get(action.askId), SimulatedOutcome.Refused);
        return;
      case DispatchActionKind.Preempt:
        this.preempt(action.askId, action.mode);
        return;
      case DispatchActionKind.ProbeUpstream:
        this.probes.add(action.upstream);
        return;
      case DispatchActionKind.Quarantine:
        return;
    }
  }

  private answerProbes(): void {
    const probes = [...this.probes];
    this.probes.clear();
    for (const upstream of probes) {
      const isHealthy = this.engines.get(upstream)?.isAlive === true;
      this.send({ kind: DispatchEventKind.UpstreamProbed, upstream, isHealthy });
    }
  }

  private startStream(askId: string, upstream: UpstreamId): void {
    const open = this.openRequests.get(askId);
    const engine = this.engines.get(upstream);
    if (open === undefined || engine === undefined || open.engine === engine) return;
    open.engine = engine;
    engine.startAnswer({
      askId,
      isPoison: open.request.isPoison,
      startedAtMs: this.nowMs,
      promptTokens: open.ask.promptTokens + open.ask.resumeAt,
      tokensLeft: open.request.outputTokens - open.tokensDone,
      tokensMade: 0,
      firstTokenAtMs: undefined,
      isPaused: false,
      decodeMs: 0,
    });
  }

  private preempt(askId: string, mode: PreemptionMode): void {
    const open = this.openRequests.get(askId);
    const stream = open?.engine?.streams.get(askId);
    if (open === undefined || stream === undefined) return;
    stream.isPaused = mode !== PreemptionMode.Resume;
    if (mode === PreemptionMode.Cancel) this.cancelled.add(open);
  }

  private resumeCancelled(): void {
    const cancelled = [...this.cancelled];
    this.cancelled.clear();
    for (const open of cancelled) {
      const stream = open.engine?.streams.get(open.ask.askId);
      if (stream === undefined) continue;
      open.wastedTokens += WASTED_PROMPT_COST_RATIO * open.ask.promptTokens;
      this.release(open, stream, ReleaseReason.Preempted);
      this.resume(open, {});
    }
  }

  private reportProgress(open: OpenRequest): void {
    const { engine, ask } = open;
    const stream = engine?.streams.get(ask.askId);
    if (engine === undefined || stream === undefined) return;
    open.firstTokenAtMs ??= stream.firstTokenAtMs;
    if (stream.tokensLeft <= 0) {
      this.release(open, stream, ReleaseReason.Finished);
      this.finish(open, SimulatedOutcome.Finished);
      return;
    }
    if (stream.isPaused) return;
    const tokens = Math.floor(stream.tokensMade);
    this.send({ kind: DispatchEventKind.Progress, askId: ask.askId, tokens });
  }

  private release(open: OpenRequest, stream: SimulatedStream, reason: ReleaseReason): void {
    const { askId } = open.ask;
    open.engine?.cancel(askId);
    open.tokensDone += Math.floor(stream.tokensMade);
    open.runMs += stream.decodeMs;
    const firstTokenMs =
      stream.firstTokenAtMs === undefined ? undefined : stream.firstTokenAtMs - stream.startedAtMs;
    const tokens = Math.floor(stream.tokensMade);
    const tokenIntervalMs = stream.decodeMs / stream.tokensMade;
    const measured = firstTokenMs === undefined ? {} : { firstTokenMs, tokenIntervalMs };
    this.send(toReleaseEvent(askId, reason, { tokens, ...measured }));
  }

  private resume(open: OpenRequest, change: Partial<Pick<GrantRequest, 'isSuspect'>>): void {
    if (this.openRequests.get(open.ask.askId) !== open) return;
    this.openRequests.delete(open.ask.askId);
    open.engine = undefined;
    const attempt = open.ask.attempt + 1;
    if (open.failures > MAX_FAILURES) {
      this.recordResult(open, SimulatedOutcome.Interrupted);
      return;
    }
    const askId = `${open.request.ask.askId}#${attempt}`;
    open.ask = { ...open.ask, ...change, askId, attempt, resumeAt: open.tokensDone };
    this.openRequests.set(askId, open);
    this.send(toAskEvent(open.ask));
  }

  private finish(open: OpenRequest | undefined, outcome: SimulatedOutcome): void {
    if (open === undefined) return;
    this.openRequests.delete(open.ask.askId);
    const wasCut = outcome === SimulatedOutcome.Refused && open.tokensDone > 0;
    this.recordResult(open, wasCut ? SimulatedOutcome.Interrupted : outcome);
  }

  private recordResult(open: OpenRequest, outcome: SimulatedOutcome): void {
    const { request, firstTokenAtMs, tokensDone, runMs } = open;
    const isWhole = outcome === SimulatedOutcome.Finished;
    this.results.push({
      request,
      outcome,
      atMs: this.nowMs,
      firstTokenAtMs,
      meanIntervalMs: isWhole ? runMs / Math.max(1, tokensDone) : undefined,
      wastedTokens: open.wastedTokens + (isWhole ? 0 : tokensDone),
    });
  }
}
