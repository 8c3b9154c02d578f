import { rankByRendezvous, ResultCode } from '@sardinegrade/common';
import { DispatchActionKind, DispatchEventKind } from '@sardinegrade/dispatch';

import { UNAVAILABLE_DISPATCHER_COOLDOWN_MS } from './constants.js';
import { ShardChooser } from './ShardChooser.js';
import { ShardTable } from './shards.js';

import type { Clock, Configuration, DataCentreName, UpstreamId, VmId } from '@sardinegrade/common';
import type { DispatchAction, GrantRequest, RandomSource } from '@sardinegrade/dispatch';
import type { DispatchHost } from './DispatchHost.js';
import type { ShardRequest } from './ShardChooser.js';
import type {
  GrantRequestDetails,
  DispatchMember,
  DispatcherConnection,
  DispatcherConnectionListener,
  GrantListener,
  GrantTicket,
  Shard,
  ShardKey,
} from './types.js';

/** Settings and dependencies of a `GrantBroker`. */
export interface GrantBrokerOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly shardSize: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly host: DispatchHost;
  /** Opens a session with the dispatchers of another daemon. */
  readonly openSession: (
    member: DispatchMember,
    listener: DispatcherConnectionListener,
  ) => DispatcherConnection & { readonly close: () => void };
}

type Refusal = Extract<DispatchAction, { readonly kind: DispatchActionKind.Refuse }>;

/** A grant request without a decision, or a granted request that was not released yet. */
interface OpenRequest {
  readonly details: GrantRequestDetails;
  readonly listener: GrantListener;
  readonly shardRequest: ShardRequest;
  /** Shards that refused the request because they have no engine for it. */
  readonly triedShards: Set<ShardKey>;
  shardKey: ShardKey;
  dispatcherVm: VmId;
  heldUpstream: UpstreamId | undefined;
  grantedAtMs: number;
}

/**
 * Requests grants from dispatchers for the requests of this daemon. If a dispatcher fails or a shard changes, it
 * moves the open requests and grants to the new dispatcher.
 */
export class GrantBroker {
  readonly #options: GrantBrokerOptions;
  readonly #openRequests = new Map<string, OpenRequest>();
  readonly #sessions = new Map<VmId, DispatcherConnection & { readonly close: () => void }>();
  readonly #unavailableUntilMs = new Map<VmId, number>();
  readonly #chooser: ShardChooser;
  readonly #localConnection: DispatcherConnection;
  readonly #listener: DispatcherConnectionListener;
  #members: readonly DispatchMember[] = [];
  #table: ShardTable | undefined;

  constructor(options: GrantBrokerOptions) {
    this.#options = options;
    this.#chooser = new ShardChooser({ ...options, isReachable: this.#isReachable });
    this.#localConnection = this.#createLocalConnection();
    this.#listener = {
      onActions: (vm, actions) => {
        for (const action of actions) this.#handleAction(vm, action);
      },
      onLoads: this.#chooser.updateLoads,
      onDisconnect: this.#handleDisconnect,
    };
  }

  /**
   * Applies a configuration. Undecided requests and running grants whose shard or dispatcher changed move to the new
   * one.
   *
   * @param configuration - the new configuration
   */
  readonly applyConfiguration = (configuration: Configuration): void => {
    this.#table = new ShardTable(configuration, this.#options.shardSize);
    this.#options.host.applyConfiguration(configuration, this.#table);
    for (const [askId, request] of this.#openRequests) this.#reassign(askId, request);
  };

  /**
   * Updates the list of live daemons; requests whose dispatcher changed move to the new one.
   *
   * @param members - the live daemons, including this one
   */
  readonly updateMembers = (members: readonly DispatchMember[]): void => {
    this.#members = members;
    for (const [vm, session] of this.#sessions) {
      if (members.some((member) => member.vm === vm)) continue;
      this.#sessions.delete(vm);
      session.close();
    }
    for (const [askId, request] of this.#openRequests) this.#reassign(askId, request);
  };

  /**
   * Requests a slot on an engine.
   *
   * @param poolAndTier - the pool of the service's upstreams, and the tier of the request's class
   * @param details - the grant request
   * @param listener - receives the grant, a refusal or a preemption
   * @returns the ticket, or undefined if the pool has no upstream in any data centre
   */
  readonly requestGrant = (
    poolAndTier: Pick<ShardRequest, 'pool' | 'tier'>,
    details: GrantRequestDetails,
    listener: GrantListener,
  ): GrantTicket | undefined => {
    const shardRequest = { ...poolAndTier, prefixBlocks: details.prefixBlocks };
    const shard = this.#chooseShard(shardRequest, new Set());
    if (shard === undefined) return undefined;
    const request: OpenRequest = {
      details,
      listener,
      shardRequest,
      triedShards: new Set(),
      shardKey: shard.key,
      dispatcherVm: this.#findDispatcher(shard),
      heldUpstream: undefined,
      grantedAtMs: 0,
    };
    this.#openRequests.set(details.askId, request);
    this.#send(request);
    return this.#createTicket(details.askId);
  };

  /** @returns the number of undecided requests and of grants that were not released yet */
  readonly countOpen = (): number => this.#openRequests.size;

  /** Closes all sessions. */
  readonly close = (): void => {
    for (const session of this.#sessions.values()) session.close();
    this.#sessions.clear();
  };

  readonly #createTicket = (askId: string): GrantTicket => ({
    reportProgress: (tokens) => {
      const request = this.#openRequests.get(askId);
      if (request !== undefined)
        this.#getConnection(request.dispatcherVm).reportProgress(askId, tokens);
    },
    release: (release) => {
      const request = this.#openRequests.get(askId);
      if (request === undefined) return;
      this.#openRequests.delete(askId);
      const connection = this.#getConnection(request.dispatcherVm);
      if (request.heldUpstream === undefined) {
        connection.withdraw(askId);
        return;
      }
      const heldMs = this.#options.clock.getNowMs() - request.grantedAtMs;
      this.#chooser.recordHoldTime(request.shardRequest.pool, heldMs);
      connection.release({ ...release, askId });
    },
  });

  readonly #send = (request: OpenRequest): void => {
    const { vm } = this.#options;
    const grantRequest: GrantRequest = {
      ...request.details,
      vm,
      heldUpstream: request.heldUpstream,
    };
    this.#getConnection(request.dispatcherVm).requestGrant(request.shardKey, grantRequest);
  };

  /** Moves a request to its current shard and dispatcher if either has changed. */
  readonly #reassign = (askId: string, request: OpenRequest): void => {
    const shard = this.#findCurrentShard(request);
    if (shard === undefined) return;
    const dispatcherVm = this.#findDispatcher(shard);
    if (shard.key === request.shardKey && dispatcherVm === request.dispatcherVm) return;
    this.#sessions.get(request.dispatcherVm)?.withdraw(askId);
    if (request.dispatcherVm === this.#options.vm) this.#localConnection.withdraw(askId);
    request.shardKey = shard.key;
    request.dispatcherVm = dispatcherVm;
    this.#send(request);
  };

  readonly #findCurrentShard = (request: OpenRequest): Shard | undefined => {
    if (request.heldUpstream !== undefined)
      return this.#table?.findByUpstream(request.heldUpstream);
    const existing = this.#table?.getShard(request.shardKey);
    if (existing !== undefined && !request.triedShards.has(existing.key)) return existing;
    return this.#chooseShard(request.shardRequest, request.triedShards);
  };

  readonly #handleAction = (vm: VmId, action: DispatchAction): void => {
    if (!('askId' in action)) return;
    const request = this.#openRequests.get(action.askId);
    if (request?.dispatcherVm !== vm) {
      // The request has ended or moved to another dispatcher, for instance because this one was considered unavailable.
      // A late grant is withdrawn, which frees its slot.
      if (action.kind === DispatchActionKind.Grant)
        this.#findConnection(vm)?.withdraw(action.askId);
      return;
    }
    switch (action.kind) {
      case DispatchActionKind.Grant:
        if (request.heldUpstream !== undefined) return;
        request.heldUpstream = action.upstream;
        request.grantedAtMs = this.#options.clock.getNowMs();
        request.listener.onGrant(action.upstream, action.priority);
        return;
      case DispatchActionKind.Refuse:
        if (request.heldUpstream === undefined) this.#handleRefusal(vm, request, action);
        return;
      case DispatchActionKind.Preempt:
        request.listener.onPreempt(action.mode);
    }
  };

  readonly #handleRefusal = (vm: VmId, request: OpenRequest, refusal: Refusal): void => {
    const { askId, code, retryAfterMs } = refusal;
    if (code === ResultCode.NotReady && vm !== this.#options.vm) {
      // The dispatcher does not have the shard yet: the request moves to the next one in rendezvous order.
      this.#unavailableUntilMs.set(
        vm,
        this.#options.clock.getNowMs() + UNAVAILABLE_DISPATCHER_COOLDOWN_MS,
      );
      this.#reassign(askId, request);
      return;
    }
    if (code === ResultCode.NoUpstream && this.#tryOtherShard(request)) return;
    this.#openRequests.delete(askId);
    request.listener.onRefuse(code, retryAfterMs);
  };

  /** Sends the request to a shard that has not refused it yet, if necessary in another data centre. */
  readonly #tryOtherShard = (request: OpenRequest): boolean => {
    request.triedShards.add(request.shardKey);
    const shard = this.#chooseShard(request.shardRequest, request.triedShards);
    if (shard === undefined) return false;
    request.shardKey = shard.key;
    request.dispatcherVm = this.#findDispatcher(shard);
    this.#send(request);
    return true;
  };

  readonly #handleDisconnect = (vm: VmId): void => {
    this.#sessions.delete(vm);
    this.#unavailableUntilMs.set(
      vm,
      this.#options.clock.getNowMs() + UNAVAILABLE_DISPATCHER_COOLDOWN_MS,
    );
    for (const [askId, request] of this.#openRequests) {
      if (request.dispatcherVm === vm) this.#reassign(askId, request);
    }
  };

  readonly #isUnavailable = (vm: VmId): boolean =>
    (this.#unavailableUntilMs.get(vm) ?? 0) > this.#options.clock.getNowMs();

  /** Finds the daemon that dispatches a shard; falls back to this daemon if no other is available. */
  readonly #findDispatcher = (shard: Shard): VmId => {
    const vms = this.#members
      .filter((member) => member.dataCentre === shard.dataCentre)
      .map((member) => member.vm);
    for (const vm of rankByRendezvous(shard.key, vms)) {
      if (vm === this.#options.vm || !this.#isUnavailable(vm)) return vm;
    }
    return this.#options.vm;
  };

  readonly #chooseShard = (
    shardRequest: ShardRequest,
    triedShards: ReadonlySet<ShardKey>,
  ): Shard | undefined => {
    const shards = this.#table?.listByPool(shardRequest.pool) ?? [];
    return this.#chooser.choose(
      shards.filter(({ key }) => !triedShards.has(key)),
      shardRequest,
    );
  };

  readonly #isReachable = (dataCentre: DataCentreName): boolean =>
    this.#members.some(
      (member) => member.dataCentre === dataCentre && !this.#isUnavailable(member.vm),
    );

  readonly #findConnection = (vm: VmId): DispatcherConnection | undefined =>
    vm === this.#options.vm ? this.#localConnection : this.#sessions.get(vm);

  readonly #getConnection = (vm: VmId): DispatcherConnection => {
    const existing = this.#findConnection(vm);
    if (existing !== undefined) return existing;
    const member = this.#members.find((candidate) => candidate.vm === vm);
    if (member === undefined) return this.#localConnection;
    const session = this.#options.openSession(member, this.#listener);
    this.#sessions.set(vm, session);
    return session;
  };

  readonly #createLocalConnection = (): DispatcherConnection => {
    const { host, vm } = this.#options;
    const reply = (action: DispatchAction): void => {
      // Deferred, so that requestGrant returns its ticket before the listener is called.
      queueMicrotask(() => this.#handleAction(vm, action));
    };
    return {
      requestGrant: (shard, ask) => host.requestGrant(shard, ask, reply),
      withdraw: (askId) => host.update(askId, { kind: DispatchEventKind.Withdraw, askId }),
      reportProgress: (askId, tokens) =>
        host.update(askId, { kind: DispatchEventKind.Progress, askId, tokens }),
      release: (release) =>
        host.update(release.askId, { kind: DispatchEventKind.Release, release }),
    };
  };
}
