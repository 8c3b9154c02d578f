import { toBranded } from '@sardinegrade/common';
import { Membership } from '@sardinegrade/fleet';
import { FleetProtocol } from '@sardinegrade/peer';

import { EventQueue } from './EventQueue.js';

import type { VmId } from '@sardinegrade/common';
import type { Member, PartnerChoice, MemberState } from '@sardinegrade/fleet';
import type { Random } from '../../../load/index.js';

/** What a virtual fleet is made of, and how badly its network behaves. */
export interface VirtualFleetOptions {
  readonly dataCentres: readonly { readonly name: string; readonly daemons: number }[];
  readonly partnerChoice: PartnerChoice;
  readonly random: Random;
  /** Part of calls that time out. */
  readonly lossShare: number;
  /** Each daemon stands still once in so long on average, 0 for never, for up to the other. */
  readonly pauseEveryMs: number;
  readonly pauseLimitMs: number;
}

/** What a virtual fleet has done. */
export interface VirtualCounts {
  /** Bytes of messages, without framing. */
  readonly messageBytes: number;
  readonly calls: number;
  /** Calls to a daemon to which the caller had no open channel. */
  readonly connects: number;
}

/** One change of state that one daemon noted about another. */
export interface VirtualSighting {
  readonly atMs: number;
  readonly by: string;
  readonly about: string;
  readonly state: MemberState;
}

interface VirtualDaemon {
  readonly vm: VmId;
  state: Membership.MembershipState;
  isRunning: boolean;
  pausedUntilMs: number;
  /** Open channels, the least recently used first. */
  readonly channels: Set<string>;
}

const TICK_MS = 200;
const LATENCY_MS = 0.5;
const FETCH_MS = 5;
const CHANNELS = 32;

/** Membership machines on virtual time, connected by calls that may fail: no sockets, no processes. */
export class VirtualFleet {
  readonly queue = new EventQueue();
  readonly sightings: VirtualSighting[] = [];
  private readonly options: VirtualFleetOptions;
  private readonly daemons = new Map<string, VirtualDaemon>();
  private counts = { messageBytes: 0, calls: 0, connects: 0 };
  private readonly cutDataCentres = new Set<string>();

  constructor(options: VirtualFleetOptions) {
    this.options = options;
    for (const { name, daemons } of options.dataCentres) {
      for (let index = 0; index < daemons; index += 1) this.addDaemon(`${name}-${index}`, name);
    }
  }

  /** Starts a daemon; one of the same name that has stopped comes back empty. */
  addDaemon(vm: string, dataCentre: string): void {
    const first = this.options.dataCentres[0]?.name ?? '';
    const settings = {
      vm: toBranded<VmId>(vm),
      dataCentre: toBranded<Member['dataCentre']>(dataCentre),
      seeds: [`${first}-0`, `${dataCentre}-0`],
      partnerChoice: this.options.partnerChoice,
    };
    const daemon: VirtualDaemon = {
      vm: settings.vm,
      state: Membership.createMembership(settings, vm, this.createContext()),
      isRunning: true,
      pausedUntilMs: 0,
      channels: new Set(),
    };
    this.daemons.set(vm, daemon);
    this.queue.schedule(this.options.random() * TICK_MS, () => this.tick(daemon));
    if (this.options.pauseEveryMs > 0) this.schedulePause(daemon);
  }

  /** Ends a daemon without a word. */
  abortDaemon(vm: string): void {
    const daemon = this.daemons.get(vm);
    if (daemon === undefined) return;
    daemon.isRunning = false;
    this.daemons.delete(vm);
  }

  /** Cuts a data centre off from all others, or joins it again. */
  setCut(dataCentre: string, isCut: boolean): void {
    if (isCut) this.cutDataCentres.add(dataCentre);
    else this.cutDataCentres.delete(dataCentre);
  }

  listRunning(): readonly string[] {
    return [...this.daemons.keys()];
  }

  /** Puts a generation of the configuration into force at one daemon, as its watch would. */
  setGeneration(vm: string, generation: number): void {
    const daemon = this.daemons.get(vm);
    if (daemon === undefined) return;
    this.handle(daemon, {
      kind: Membership.MembershipEventKind.ConfigurationInstalled,
      generation,
    });
  }

  getState(vm: string): Membership.MembershipState | undefined {
    return this.daemons.get(vm)?.state;
  }

  getCounts(): VirtualCounts {
    return { ...this.counts };
  }

  private createContext(): Membership.MembershipContext {
    // An epoch that makes incarnations look as they do in earnest.
    return { nowMs: 1_000_000_000_000 + this.queue.nowMs, random: this.options.random };
  }

  private schedulePause(daemon: VirtualDaemon): void {
    const { random, pauseEveryMs, pauseLimitMs } = this.options;
    this.queue.schedule(random() * 2 * pauseEveryMs, () => {
      daemon.pausedUntilMs = this.queue.nowMs + random() * pauseLimitMs;
      if (daemon.isRunning) this.schedulePause(daemon);
    });
  }

  private tick(daemon: VirtualDaemon): void {
    if (!daemon.isRunning) return;
    this.queue.schedule(TICK_MS, () => this.tick(daemon));
    if (this.queue.nowMs < daemon.pausedUntilMs) return;
    this.handle(daemon, { kind: Membership.MembershipEventKind.Tick });
  }

  private handle(
    daemon: VirtualDaemon,
    event: Membership.MembershipEvent,
  ): readonly Membership.MembershipAction[] {
    const step = Membership.reduceMembership(daemon.state, event, this.createContext());
    daemon.state = step.state;
    for (const action of step.actions) this.perform(daemon, action);
    return step.actions;
  }

  private perform(daemon: VirtualDaemon, action: Membership.MembershipAction): void {
    switch (action.kind) {
      case Membership.MembershipActionKind.Ping:
      case Membership.MembershipActionKind.PingFresh:
        this.sendPing(daemon, action.probeId, action.target, action.gossip);
        return;
      case Membership.MembershipActionKind.PingIndirect:
        this.sendIndirect(daemon, action.probeId, action.helper, action.target, action.gossip);
        return;
      case Membership.MembershipActionKind.Sync:
        this.sendSync(daemon, action);
        return;
      case Membership.MembershipActionKind.ReportChange:
        this.recordSighting(daemon, action.change.member);
        return;
      case Membership.MembershipActionKind.ReportGeneration:
        this.fetchGeneration(daemon, action.generation);
        return;
      case Membership.MembershipActionKind.ListVms:
      case Membership.MembershipActionKind.ReportNews:
      case Membership.MembershipActionKind.ReplyPing:
      case Membership.MembershipActionKind.ReplySync:
        return;
    }
  }

  /** Stands for the fetch of the text from the daemon that was heard of it. */
  private fetchGeneration(daemon: VirtualDaemon, generation: number): void {
    if (generation <= daemon.state.generation) return;
    this.queue.schedule(FETCH_MS, () => {
      if (!daemon.isRunning || generation <= daemon.state.generation) return;
      this.handle(daemon, {
        kind: Membership.MembershipEventKind.ConfigurationInstalled,
        generation,
      });
    });
  }

  private recordSighting(daemon: VirtualDaemon, { vm, state }: Member): void {
    this.sightings.push({ atMs: this.queue.nowMs, by: daemon.vm, about: vm, state });
  }

  /** Counts a call and tells whether it gets through. */
  private openCall(daemon: VirtualDaemon, address: string): VirtualDaemon | undefined {
    this.counts.calls += 1;
    if (!daemon.channels.delete(address)) this.counts.connects += 1;
    daemon.channels.add(address);
    for (const oldest of daemon.channels) {
      if (daemon.channels.size <= CHANNELS) break;
      daemon.channels.delete(oldest);
    }
    const target = this.daemons.get(address);
    if (target === undefined || this.options.random() < this.options.lossShare) return undefined;
    if (this.queue.nowMs < target.pausedUntilMs) return undefined;
    return this.isCut(daemon, target) ? undefined : target;
  }

  private isCut(left: VirtualDaemon, right: VirtualDaemon): boolean {
    const [a, b] = [left.state.self.dataCentre, right.state.self.dataCentre];
    return a !== b && (this.cutDataCentres.has(a) || this.cutDataCentres.has(b));
  }

  private countBytes(...messages: readonly Uint8Array[]): void {
    for (const message of messages) this.counts.messageBytes += message.length;
  }

  private takePing(
    target: VirtualDaemon,
    from: VmId,
    gossip: Membership.Gossip,
  ): { readonly gossip: Membership.Gossip; readonly isUnknown: boolean } {
    const actions = this.handle(target, {
      kind: Membership.MembershipEventKind.Ping,
      from,
      gossip,
    });
    const reply = actions.find(({ kind }) => kind === Membership.MembershipActionKind.ReplyPing);
    if (reply?.kind !== Membership.MembershipActionKind.ReplyPing) throw new Error('no reply');
    const wire = {
      from: target.vm,
      gossip: Membership.encodeGossip(reply.gossip),
      isUnknown: reply.isUnknown,
    };
    const request = { from, to: target.vm, gossip: Membership.encodeGossip(gossip) };
    this.countBytes(
      FleetProtocol.PingRequest.encode(request).finish(),
      FleetProtocol.PingReply.encode(wire).finish(),
    );
    return reply;
  }

  private scheduleAnswer(
    daemon: VirtualDaemon,
    afterMs: number,
    event: Membership.MembershipEvent,
  ): void {
    const handleArrival = (): void => {
      if (!daemon.isRunning) return;
      const waitMs = daemon.pausedUntilMs - this.queue.nowMs;
      // A process that stands still reads its answers when it goes on.
      if (waitMs > 0) this.queue.schedule(waitMs, handleArrival);
      else this.handle(daemon, event);
    };
    this.queue.schedule(afterMs, handleArrival);
  }

  private sendPing(
    daemon: VirtualDaemon,
    probeId: number,
    target: Member,
    gossip: Membership.Gossip,
  ): void {
    const failed = { kind: Membership.MembershipEventKind.PingFailed, probeId } as const;
    const reached = this.openCall(daemon, target.address);
    if (reached === undefined) {
      this.scheduleAnswer(daemon, Membership.PING_TIMEOUT_MS, failed);
      return;
    }
    this.queue.schedule(LATENCY_MS, () => {
      if (!reached.isRunning) {
        this.scheduleAnswer(daemon, Membership.PING_TIMEOUT_MS, failed);
        return;
      }
      const reply = this.takePing(reached, daemon.vm, gossip);
      this.scheduleAnswer(daemon, LATENCY_MS, {
        kind: Membership.MembershipEventKind.PingAnswered,
        probeId,
        from: reached.vm,
        gossip: reply.gossip,
        isUnknown: reply.isUnknown,
      });
    });
  }

  private sendIndirect(
    daemon: VirtualDaemon,
    probeId: number,
    helper: Member,
    target: Member,
    gossip: Membership.Gossip,
  ): void {
    const failed = { kind: Membership.MembershipEventKind.PingFailed, probeId } as const;
    const through = this.openCall(daemon, helper.address);
    const reached = through === undefined ? undefined : this.openCall(through, target.address);
    if (reached === undefined) {
      this.scheduleAnswer(daemon, Membership.INDIRECT_TIMEOUT_MS, failed);
      return;
    }
    const reply = this.takePing(reached, daemon.vm, gossip);
    this.scheduleAnswer(daemon, 4 * LATENCY_MS, {
      kind: Membership.MembershipEventKind.PingAnswered,
      probeId,
      from: target.vm,
      gossip: reply.gossip,
      isUnknown: false,
    });
  }

  private sendSync(
    daemon: VirtualDaemon,
    action: Extract<Membership.MembershipAction, { kind: Membership.MembershipActionKind.Sync }>,
  ): void {
    const { address, isPush } = action;
    const reached = this.openCall(daemon, address);
    if (reached === undefined) {
      const failed = { kind: Membership.MembershipEventKind.SyncFailed, address } as const;
      this.scheduleAnswer(daemon, Membership.SYNC_TIMEOUT_MS, failed);
      return;
    }
    const { members, digests } = action;
    const sender = daemon.state.self;
    const actions = this.handle(reached, {
      kind: Membership.MembershipEventKind.Sync,
      sender,
      members,
      generation: 0,
      digests,
    });
    const reply = actions.find(({ kind }) => kind === Membership.MembershipActionKind.ReplySync);
    if (reply?.kind !== Membership.MembershipActionKind.ReplySync) throw new Error('no reply');
    this.countBytes(
      ...[...members, ...reply.members, sender].map((member) =>
        FleetProtocol.Member.encode(Membership.encodeMember(member)).finish(),
      ),
    );
    this.scheduleAnswer(daemon, 2 * LATENCY_MS, {
      kind: Membership.MembershipEventKind.SyncAnswered,
      address,
      from: reached.vm,
      members: reply.members,
      news: reply.news,
      generation: 0,
      buckets: reply.buckets,
      isPush,
    });
  }
}
