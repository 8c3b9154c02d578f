import { toBranded } from '@sardinegrade/common';
import { UPSTREAM_ROLE } from '@sardinegrade/platform';

import { createMembership } from './createMembership.js';
import {
  decodeGossip,
  decodeMembers,
  decodeNews,
  encodeGossip,
  encodeMember,
  encodeNews,
} from './codec.js';
import {
  DATA_CENTRE_TIMEOUT_MS,
  INDIRECT_TIMEOUT_MS,
  PING_TIMEOUT_MS,
  SYNC_TIMEOUT_MS,
} from './constants.js';
import { MemberState, MembershipActionKind, MembershipEventKind } from './enums.js';
import { listOthers, pickForTask } from './members.js';
import { reduceMembership } from './reduceMembership.js';

import type { Clock, DataCentreName, VmId } from '@sardinegrade/common';
import type { FleetConnections, FleetProtocol, FleetResponders } from '@sardinegrade/peer';
import type { PlatformClient } from '@sardinegrade/platform';
import type { FleetSettings, Member, MembershipChange, News } from '../types.js';
import type {
  MembershipAction,
  MembershipContext,
  MembershipEvent,
  MembershipState,
} from './types.js';

type ActionOf<Kind extends MembershipActionKind> = Extract<MembershipAction, { kind: Kind }>;

/** Callbacks for membership changes, news and configuration generations received from peers. */
export interface MembershipObserver {
  readonly onChange: (change: MembershipChange) => void;
  readonly onNews: (news: News) => void;
  readonly onGeneration: (from: VmId, generation: number) => void;
}

/** Dependencies of a membership agent. */
export interface MembershipAgentOptions {
  readonly settings: FleetSettings;
  readonly connections: FleetConnections;
  readonly platform: Pick<PlatformClient, 'listVms'>;
  readonly clock: Clock;
  readonly random: () => number;
  readonly observer: MembershipObserver;
}

/** Runs the membership state machine with a clock, peer connections and the platform. */
export interface MembershipAgent {
  readonly responders: Pick<FleetResponders, 'ping' | 'pingIndirect' | 'sync'>;
  readonly start: (address: string) => void;
  /** Runs periodic work that is due; called several times a second. */
  readonly tick: () => void;
  /** Announces that this daemon is leaving; resolves once a peer has acknowledged it. */
  readonly leave: () => Promise<void>;
  readonly setGeneration: (generation: number) => void;
  readonly addNews: (news: News) => void;
  readonly getNews: () => readonly News[];
  readonly getMembers: () => readonly Member[];
  readonly getMember: (vm: VmId) => Member | undefined;
  /** Picks daemons of the local data centre for a task; all daemons there pick the same ones. */
  readonly pickForTask: (task: string, count: number) => readonly VmId[];
  readonly isJoined: () => boolean;
  readonly isReachable: (dataCentre: DataCentreName) => boolean;
}

const toUndefined = (): undefined => undefined;

class RunningMembership implements MembershipAgent {
  private state: MembershipState | undefined;
  private readonly options: MembershipAgentOptions;
  private readonly pendingLeaves = new Set<() => void>();

  constructor(options: MembershipAgentOptions) {
    this.options = options;
  }

  readonly start = (address: string): void => {
    this.state = createMembership(this.options.settings, address, this.createContext());
    this.tick();
  };

  readonly tick = (): void => {
    this.handle({ kind: MembershipEventKind.Tick });
  };

  readonly leave = async (): Promise<void> => {
    if (this.getOthers().length === 0) return;
    const answered = new Promise<void>((resolve) => this.pendingLeaves.add(resolve));
    this.handle({ kind: MembershipEventKind.Leave });
    await answered;
  };

  readonly setGeneration = (generation: number): void => {
    this.handle({ kind: MembershipEventKind.ConfigurationInstalled, generation });
  };

  readonly addNews = (news: News): void => {
    this.handle({ kind: MembershipEventKind.NewsFound, news });
  };

  readonly getNews = (): readonly News[] => {
    const nowMs = this.options.clock.getNowMs();
    const all = [...(this.state?.news.values() ?? [])].map((record) => record.news);
    return all.filter((news) => news.expiresAtMs > nowMs);
  };

  readonly getMembers = (): readonly Member[] =>
    this.state === undefined ? [] : [this.state.self, ...listOthers(this.state)];

  readonly getMember = (vm: VmId): Member | undefined => this.state?.records.get(vm)?.member;

  readonly pickForTask = (task: string, count: number): readonly VmId[] =>
    this.state === undefined
      ? []
      : pickForTask(this.state, this.options.settings.dataCentre, task, count);

  readonly isJoined = (): boolean => this.state?.isJoined ?? false;

  readonly isReachable = (dataCentre: DataCentreName): boolean => {
    if (dataCentre === this.options.settings.dataCentre) return true;
    const lastContactAtMs = this.state?.contacts.get(dataCentre) ?? -Infinity;
    return this.options.clock.getNowMs() - lastContactAtMs <= DATA_CENTRE_TIMEOUT_MS;
  };

  readonly responders: MembershipAgent['responders'] = {
    ping: (request) => this.replyPing(request),
    pingIndirect: (request) => this.replyPingIndirect(request),
    sync: (request) => this.replySync(request),
  };

  private getOthers(): readonly Member[] {
    return this.state === undefined ? [] : listOthers(this.state);
  }

  private createContext(): MembershipContext {
    return { nowMs: this.options.clock.getNowMs(), random: this.options.random };
  }

  /** Passes an event to the state machine and performs the resulting actions. */
  private handle(event: MembershipEvent): readonly MembershipAction[] {
    if (this.state === undefined) return [];
    const { state, actions } = reduceMembership(this.state, event, this.createContext());
    this.state = state;
    for (const action of actions) this.perform(action);
    return actions;
  }

  private perform(action: MembershipAction): void {
    switch (action.kind) {
      case MembershipActionKind.Ping:
      case MembershipActionKind.PingFresh:
        void this.sendPing(action);
        return;
      case MembershipActionKind.PingIndirect:
        void this.sendPingIndirect(action);
        return;
      case MembershipActionKind.Sync:
        void this.sendSync(action);
        return;
      case MembershipActionKind.ListVms:
        void this.listVms();
        return;
      case MembershipActionKind.ReportChange:
        this.options.observer.onChange(action.change);
        return;
      case MembershipActionKind.ReportNews:
        this.options.observer.onNews(action.news);
        return;
      case MembershipActionKind.ReportGeneration:
        this.options.observer.onGeneration(action.from, action.generation);
        return;
      case MembershipActionKind.ReplyPing:
      case MembershipActionKind.ReplySync:
        // Replies are returned by replyPing and replySync, which read them from the returned actions.
        return;
    }
  }

  private async sendPing(
    action: ActionOf<MembershipActionKind.Ping | MembershipActionKind.PingFresh>,
  ): Promise<void> {
    const { probeId, target } = action;
    const { connections, settings } = this.options;
    const isFresh = action.kind === MembershipActionKind.PingFresh;
    const send = isFresh ? connections.pingFresh : connections.ping;
    const gossip = encodeGossip(action.gossip);
    const request = { from: settings.vm, to: target.vm, gossip };
    const reply = await send(target.address, request, PING_TIMEOUT_MS).catch(toUndefined);
    if (reply === undefined) {
      this.handle({ kind: MembershipEventKind.PingFailed, probeId });
      return;
    }
    this.handle({
      kind: MembershipEventKind.PingAnswered,
      probeId,
      from: toBranded<VmId>(reply.from),
      gossip: decodeGossip(reply.gossip),
      isUnknown: reply.isUnknown,
    });
    this.completeLeave();
  }

  private async sendPingIndirect(
    action: ActionOf<MembershipActionKind.PingIndirect>,
  ): Promise<void> {
    const { probeId, helper, target } = action;
    const request: FleetProtocol.PingIndirectRequest = {
      from: this.options.settings.vm,
      targetVm: target.vm,
      targetAddress: target.address,
      gossip: encodeGossip(action.gossip),
    };
    const reply = await this.options.connections
      .pingIndirect(helper.address, request, INDIRECT_TIMEOUT_MS)
      .catch(toUndefined);
    if (reply?.reached !== true) {
      this.handle({ kind: MembershipEventKind.PingFailed, probeId });
      return;
    }
    this.handle({
      kind: MembershipEventKind.PingAnswered,
      probeId,
      from: target.vm,
      gossip: decodeGossip(reply.gossip),
      isUnknown: false,
    });
  }

  private async sendSync(action: ActionOf<MembershipActionKind.Sync>): Promise<void> {
    const { address, isPush } = action;
    const self = this.state?.self;
    if (self === undefined) return;
    const request: FleetProtocol.SyncRequest = {
      sender: encodeMember(self),
      members: action.members.map(encodeMember),
      generation: this.state?.generation ?? 0,
      digests: [...action.digests],
      news: action.news.map(encodeNews),
      newsDigests: [...action.newsDigests],
    };
    const reply = await this.options.connections
      .sync(address, request, SYNC_TIMEOUT_MS)
      .catch(toUndefined);
    if (reply === undefined) {
      this.handle({ kind: MembershipEventKind.SyncFailed, address });
      return;
    }
    this.handle({
      kind: MembershipEventKind.SyncAnswered,
      address,
      from: toBranded<VmId>(reply.from),
      members: decodeMembers(reply.members),
      news: decodeNews(reply.news),
      generation: reply.generation,
      buckets: reply.buckets,
      newsBuckets: reply.newsBuckets,
      isPush,
    });
  }

  private async listVms(): Promise<void> {
    const vms = await this.options.platform.listVms().catch(toUndefined);
    if (vms === undefined) {
      this.handle({ kind: MembershipEventKind.ListVmsFailed });
      return;
    }
    const addresses = vms
      .filter((vm) => vm.role !== UPSTREAM_ROLE && !vm.isLeaving)
      .map((vm) => vm.address);
    this.handle({ kind: MembershipEventKind.VmsListed, addresses });
  }

  private completeLeave(): void {
    if (this.state?.self.state !== MemberState.Leaving) return;
    for (const resolve of this.pendingLeaves) resolve();
    this.pendingLeaves.clear();
  }

  private replyPing(request: FleetProtocol.PingRequest): FleetProtocol.PingReply {
    const from = toBranded<VmId>(request.from);
    const gossip = decodeGossip(request.gossip);
    const actions = this.handle({ kind: MembershipEventKind.Ping, from, gossip });
    const reply = actions.find((action) => action.kind === MembershipActionKind.ReplyPing);
    return {
      from: this.options.settings.vm,
      gossip: reply === undefined ? undefined : encodeGossip(reply.gossip),
      isUnknown: reply?.isUnknown ?? false,
    };
  }

  private async replyPingIndirect(
    request: FleetProtocol.PingIndirectRequest,
  ): Promise<FleetProtocol.PingIndirectReply> {
    const { targetVm, targetAddress, gossip } = request;
    const ping = { from: request.from, to: targetVm, gossip };
    const reply = await this.options.connections
      .pingFresh(targetAddress, ping, PING_TIMEOUT_MS)
      .catch(toUndefined);
    return { reached: reply?.from === targetVm, gossip: reply?.gossip };
  }

  private replySync(request: FleetProtocol.SyncRequest): FleetProtocol.SyncReply {
    const [sender] = decodeMembers(request.sender === undefined ? [] : [request.sender]);
    if (sender === undefined) throw new Error('The sender is missing.');
    const actions = this.handle({
      kind: MembershipEventKind.Sync,
      sender,
      members: decodeMembers(request.members),
      generation: request.generation,
      digests: request.digests,
      news: decodeNews(request.news),
      newsDigests: request.newsDigests,
    });
    const reply = actions.find((action) => action.kind === MembershipActionKind.ReplySync);
    return {
      from: this.options.settings.vm,
      members: (reply?.members ?? []).map(encodeMember),
      news: (reply?.news ?? []).map(encodeNews),
      generation: this.state?.generation ?? 0,
      buckets: [...(reply?.buckets ?? [])],
      newsBuckets: [...(reply?.newsBuckets ?? [])],
    };
  }
}

/**
 * Creates an agent that runs the membership state machine.
 *
 * @param options - fleet settings and dependencies
 * @returns the agent, not started yet
 */
export const createMembershipAgent = (options: MembershipAgentOptions): MembershipAgent =>
  new RunningMembership(options);
