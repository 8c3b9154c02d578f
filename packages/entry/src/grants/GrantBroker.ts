import { rankByRendezvous, ResultCode } from '@sardinegrade/common';
import { DispatchActionKind, DispatchEventKind } from '@sardinegrade/dispatch';

import { LOST_DISPATCHER_COOLDOWN_MS } from './constants.js';
import { ShardChooser } from './ShardChooser.js';
import { ShardTable } from './shards.js';

import type { Clock, Configuration, DataCentreName, UpstreamId, VmId } from '@sardinegrade/common';
import type { DispatchAction, GrantRequest, RandomSource } from '@sardinegrade/dispatch';
import type { DispatchHost } from './DispatchHost.js';
import type { ShardRequest } from './ShardChooser.js';
import type {
  AskDetails,
  DispatchMember,
  DispatchPort,
  DispatchPortListener,
  GrantListener,
  GrantTicket,
  Shard,
  ShardKey,
} from './types.js';

/** What a broker needs of its daemon. */
export interface GrantBrokerOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly shardSize: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly host: DispatchHost;
  /** Opens a session with another daemon's dispatchers. */
  readonly openSession: (
    member: DispatchMember,
    listener: DispatchPortListener,
  ) => DispatchPort & { readonly close: () => void };
}

type Refusal = Extract<DispatchAction, { readonly kind: DispatchActionKind.Refuse }>;

interface OpenAsk {
  readonly details: AskDetails;
  readonly listener: GrantListener;
  readonly route: ShardRequest;
  /** Shards that said that they have no engine for it. */
  readonly passed: Set<ShardKey>;
  shard: ShardKey;
  target: VmId;
  held: UpstreamId | undefined;
  grantedAtMs: number;
}

/** Asks dispatchers for grants on behalf of this daemon's requests, and follows them through fail-overs. */
export class GrantBroker {
  readonly #options: GrantBrokerOptions;
  readonly #open = new Map<string, OpenAsk>();
  readonly #sessions = new Map<VmId, DispatchPort & { readonly close: () => void }>();
  readonly #lostUntilMs = new Map<VmId, number>();
  readonly #chooser: ShardChooser;
  readonly #self: DispatchPort;
  readonly #listener: DispatchPortListener;
  #members: readonly DispatchMember[] = [];
  #table: ShardTable | undefined;

  constructor(options: GrantBrokerOptions) {
    this.#options = options;
    this.#chooser = new ShardChooser({ ...options, isReachable: this.#isReachable });
    this.#self = this.#createLocalPort();
    this.#listener = {
      onActions: (vm, actions) => {
        for (const action of actions) this.#handleAction(vm, action);
      },
      onLoads: this.#chooser.updateLoads,
      onLost: this.#handleLost,
    };
  }

  /**
   * Brings a configuration into force; running grants whose engine moved to another shard move along.
   *
   * @param configuration - the new configuration
   */
  readonly applyConfiguration = (configuration: Configuration): void => {
    this.#table = new ShardTable(configuration, this.#options.shardSize);
    this.#options.host.applyConfiguration(configuration, this.#table);
    for (const [askId, open] of this.#open) this.#replace(askId, open);
  };

  /**
   * Takes over a new list of live daemons; asks whose dispatcher changed move to the new one.
   *
   * @param members - the live daemons, this one among them
   */
  readonly updateMembers = (members: readonly DispatchMember[]): void => {
    this.#members = members;
    for (const [vm, session] of this.#sessions) {
      if (members.some((member) => member.vm === vm)) continue;
      this.#sessions.delete(vm);
      session.close();
    }
    for (const [askId, open] of this.#open) this.#replace(askId, open);
  };

  /**
   * Asks for an engine's slot.
   *
   * @param place - the pool of the service's upstreams, and the tier of the request's class
   * @param details - the ask
   * @param listener - receives what becomes of it
   * @returns the ticket, or undefined where the pool has no upstream anywhere
   */
  readonly ask = (
    place: Pick<ShardRequest, 'pool' | 'tier'>,
    details: AskDetails,
    listener: GrantListener,
  ): GrantTicket | undefined => {
    const route = { ...place, prefixBlocks: details.prefixBlocks };
    const shard = this.#chooseShard(route, new Set());
    if (shard === undefined) return undefined;
    const open: OpenAsk = {
      details,
      listener,
      route,
      passed: new Set(),
      shard: shard.key,
      target: this.#findTarget(shard),
      held: undefined,
      grantedAtMs: 0,
    };
    this.#open.set(details.askId, open);
    this.#send(open);
    return this.#createTicket(details.askId);
  };

  /** @returns how many asks and grants are open */
  readonly countOpen = (): number => this.#open.size;

  /** Closes all sessions. */
  readonly close = (): void => {
    for (const session of this.#sessions.values()) session.close();
    this.#sessions.clear();
  };

  readonly #createTicket = (askId: string): GrantTicket => ({
    reportProgress: (tokens) => {
      const open = this.#open.get(askId);
      if (open !== undefined) this.#getPort(open.target).reportProgress(askId, tokens);
    },
    release: (release) => {
      const open = this.#open.get(askId);
      if (open === undefined) return;
      this.#open.delete(askId);
      const port = this.#getPort(open.target);
      if (open.held === undefined) {
        port.withdraw(askId);
        return;
      }
      const heldMs = this.#options.clock.getNowMs() - open.grantedAtMs;
      this.#chooser.recordHold(open.route.pool, heldMs);
      port.release({ ...release, askId });
    },
  });

  readonly #send = (open: OpenAsk): void => {
    const { vm } = this.#options;
    const ask: GrantRequest = { ...open.details, vm, heldUpstream: open.held };
    this.#getPort(open.target).ask(open.shard, ask);
  };

  /** Moves an ask whose shard or dispatcher is another than before. */
  readonly #replace = (askId: string, open: OpenAsk): void => {
    const shard = this.#findCurrentShard(open);
    if (shard === undefined) return;
    const target = this.#findTarget(shard);
    if (shard.key === open.shard && target === open.target) return;
    this.#sessions.get(open.target)?.withdraw(askId);
    if (open.target === this.#options.vm) this.#self.withdraw(askId);
    open.shard = shard.key;
    open.target = target;
    this.#send(open);
  };

  readonly #findCurrentShard = (open: OpenAsk): Shard | undefined => {
    if (open.held !== undefined) return this.#table?.findByUpstream(open.held);
    const known = this.#table?.getShard(open.shard);
    if (known !== undefined && !open.passed.has(known.key)) return known;
    return this.#chooseShard(open.route, open.passed);
  };

  readonly #handleAction = (vm: VmId, action: DispatchAction): void => {
    if (!('askId' in action)) return;
    const open = this.#open.get(action.askId);
    if (open?.target !== vm) {
      // A dispatcher that was taken as lost decides late: its slot is given back.
      if (action.kind === DispatchActionKind.Grant) this.#findPort(vm)?.withdraw(action.askId);
      return;
    }
    switch (action.kind) {
      case DispatchActionKind.Grant:
        if (open.held !== undefined) return;
        open.held = action.upstream;
        open.grantedAtMs = this.#options.clock.getNowMs();
        open.listener.onGrant(action.upstream, action.priority);
        return;
      case DispatchActionKind.Refuse:
        if (open.held === undefined) this.#handleRefusal(vm, open, action);
        return;
      case DispatchActionKind.Preempt:
        open.listener.onPreempt(action.mode);
    }
  };

  readonly #handleRefusal = (vm: VmId, open: OpenAsk, refusal: Refusal): void => {
    const { askId, code, retryAfterMs } = refusal;
    if (code === ResultCode.NotReady && vm !== this.#options.vm) {
      // The dispatcher does not know the shard yet: the next in order takes the ask.
      this.#lostUntilMs.set(vm, this.#options.clock.getNowMs() + LOST_DISPATCHER_COOLDOWN_MS);
      this.#replace(askId, open);
      return;
    }
    if (code === ResultCode.NoUpstream && this.#tryOtherShard(open)) return;
    this.#open.delete(askId);
    open.listener.onRefuse(code, retryAfterMs);
  };

  /** Where a shard has no engine left, another one may have, if need be in another data centre. */
  readonly #tryOtherShard = (open: OpenAsk): boolean => {
    open.passed.add(open.shard);
    const shard = this.#chooseShard(open.route, open.passed);
    if (shard === undefined) return false;
    open.shard = shard.key;
    open.target = this.#findTarget(shard);
    this.#send(open);
    return true;
  };

  readonly #handleLost = (vm: VmId): void => {
    this.#sessions.delete(vm);
    this.#lostUntilMs.set(vm, this.#options.clock.getNowMs() + LOST_DISPATCHER_COOLDOWN_MS);
    for (const [askId, open] of this.#open) {
      if (open.target === vm) this.#replace(askId, open);
    }
  };

  readonly #isLost = (vm: VmId): boolean =>
    (this.#lostUntilMs.get(vm) ?? 0) > this.#options.clock.getNowMs();

  /** Finds the dispatcher of a shard; this daemon itself where none other can be reached. */
  readonly #findTarget = (shard: Shard): VmId => {
    const names = this.#members
      .filter((member) => member.dataCentre === shard.dataCentre)
      .map((member) => member.vm);
    for (const vm of rankByRendezvous(shard.key, names)) {
      if (vm === this.#options.vm || !this.#isLost(vm)) return vm;
    }
    return this.#options.vm;
  };

  readonly #chooseShard = (
    route: ShardRequest,
    passed: ReadonlySet<ShardKey>,
  ): Shard | undefined => {
    const shards = this.#table?.listOfPool(route.pool) ?? [];
    return this.#chooser.choose(
      shards.filter(({ key }) => !passed.has(key)),
      route,
    );
  };

  readonly #isReachable = (dataCentre: DataCentreName): boolean =>
    this.#members.some((member) => member.dataCentre === dataCentre && !this.#isLost(member.vm));

  readonly #findPort = (vm: VmId): DispatchPort | undefined =>
    vm === this.#options.vm ? this.#self : this.#sessions.get(vm);

  readonly #getPort = (vm: VmId): DispatchPort => {
    const known = this.#findPort(vm);
    if (known !== undefined) return known;
    const member = this.#members.find((candidate) => candidate.vm === vm);
    if (member === undefined) return this.#self;
    const session = this.#options.openSession(member, this.#listener);
    this.#sessions.set(vm, session);
    return session;
  };

  readonly #createLocalPort = (): DispatchPort => {
    const { host, vm } = this.#options;
    const reply = (action: DispatchAction): void => {
      // Decisions reach the request only after the call that asked has returned.
      queueMicrotask(() => this.#handleAction(vm, action));
    };
    return {
      ask: (shard, ask) => host.ask(shard, ask, reply),
      withdraw: (askId) => host.update(askId, { kind: DispatchEventKind.Withdraw, askId }),
      reportProgress: (askId, tokens) =>
        host.update(askId, { kind: DispatchEventKind.Progress, askId, tokens }),
      release: (release) =>
        host.update(release.askId, { kind: DispatchEventKind.Release, release }),
    };
  };
}
