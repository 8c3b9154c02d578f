import { DispatchProtocol } from '@sardinegrade/peer';

import { SESSION_HEARTBEAT_MS, SESSION_TIMEOUT_MS } from './constants.js';
import {
  createEntryMessage,
  decodeActions,
  decodeLoads,
  encodeAsk,
  encodeRelease,
} from './messages.js';

import type { ChannelCredentials, ClientDuplexStream } from '@grpc/grpc-js';
import type { Clock, VmId } from '@sardinegrade/common';
import type { GrantRequest, GrantRelease } from '@sardinegrade/dispatch';
import type {
  DispatchMember,
  DispatcherConnection,
  DispatcherConnectionListener,
  ShardKey,
} from './types.js';

const CHANNEL_OPTIONS = {
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2_000,
  // A reopened session must not reuse a shared connection that has stopped responding.
  'grpc.use_local_subchannel_pool': 1,
} as const;

/** Client side of a gRPC session between an entry daemon and the dispatchers of another daemon. */
export class PeerSession implements DispatcherConnection {
  readonly #peerVm: VmId;
  readonly #ownVm: VmId;
  readonly #clock: Clock;
  readonly #listener: DispatcherConnectionListener;
  readonly #client: InstanceType<typeof DispatchProtocol.DispatchClient>;
  readonly #stream: ClientDuplexStream<
    DispatchProtocol.EntryMessage,
    DispatchProtocol.DispatcherMessage
  >;
  readonly #undecidedAskIds = new Set<string>();
  readonly #timeoutTimer: NodeJS.Timeout;
  #outgoing: DispatchProtocol.EntryMessage | undefined;
  #lastReceivedAtMs: number;
  #isVmSent = false;
  #isClosed = false;

  constructor(
    member: DispatchMember,
    ownVm: VmId,
    credentials: ChannelCredentials,
    clock: Clock,
    listener: DispatcherConnectionListener,
  ) {
    this.#peerVm = member.vm;
    this.#ownVm = ownVm;
    this.#clock = clock;
    this.#listener = listener;
    this.#lastReceivedAtMs = clock.getNowMs();
    this.#client = new DispatchProtocol.DispatchClient(
      member.address,
      credentials,
      CHANNEL_OPTIONS,
    );
    this.#stream = this.#client.session();
    this.#stream.on('data', this.#handleMessage);
    this.#stream.on('error', this.#disconnect);
    this.#stream.on('end', this.#disconnect);
    this.#timeoutTimer = setInterval(this.#checkTimeout, SESSION_HEARTBEAT_MS);
  }

  readonly requestGrant = (shard: ShardKey, ask: GrantRequest): void => {
    const nowMs = this.#clock.getNowMs();
    if (this.#undecidedAskIds.size === 0) this.#lastReceivedAtMs = nowMs;
    if (ask.heldUpstream === undefined) this.#undecidedAskIds.add(ask.askId);
    this.#getOutgoing().asks.push(encodeAsk(shard, ask, nowMs));
  };

  readonly withdraw = (askId: string): void => {
    this.#undecidedAskIds.delete(askId);
    if (this.#removeUnsentAsk(askId)) return;
    this.#getOutgoing().withdrawals.push({ askId });
  };

  readonly reportProgress = (askId: string, tokens: number): void => {
    this.#getOutgoing().progress.push({ askId, tokens });
  };

  readonly release = (release: GrantRelease): void => {
    this.#undecidedAskIds.delete(release.askId);
    if (this.#removeUnsentAsk(release.askId)) return;
    this.#getOutgoing().releases.push(encodeRelease(release));
  };

  /** Closes the session; the dispatcher then withdraws the requests and grants that were opened over it. */
  readonly close = (): void => {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#timeoutTimer);
    this.#stream.end();
    this.#client.close();
  };

  readonly #handleMessage = (message: DispatchProtocol.DispatcherMessage): void => {
    const nowMs = this.#clock.getNowMs();
    this.#lastReceivedAtMs = nowMs;
    const actions = decodeActions(message);
    for (const action of actions) if ('askId' in action) this.#undecidedAskIds.delete(action.askId);
    if (message.loads.length > 0) this.#listener.onLoads(decodeLoads(message, nowMs));
    if (actions.length > 0) this.#listener.onActions(this.#peerVm, actions);
  };

  /**
   * Removes a request that ended before it was sent. The receiver processes the releases and withdrawals of a message
   * before its asks, so the ask would never be ended there.
   */
  readonly #removeUnsentAsk = (askId: string): boolean => {
    const asks = this.#outgoing?.asks ?? [];
    const index = asks.findIndex((ask) => ask.askId === askId);
    if (index >= 0) asks.splice(index, 1);
    return index >= 0;
  };

  readonly #getOutgoing = (): DispatchProtocol.EntryMessage => {
    if (this.#outgoing !== undefined) return this.#outgoing;
    this.#outgoing = createEntryMessage();
    setImmediate(this.#flush);
    return this.#outgoing;
  };

  readonly #flush = (): void => {
    const message = this.#outgoing;
    this.#outgoing = undefined;
    if (message === undefined || this.#isClosed) return;
    if (!this.#isVmSent) message.vm = this.#ownVm;
    this.#isVmSent = true;
    this.#stream.write(message);
  };

  readonly #checkTimeout = (): void => {
    if (this.#undecidedAskIds.size === 0) return;
    if (this.#clock.getNowMs() - this.#lastReceivedAtMs > SESSION_TIMEOUT_MS) this.#disconnect();
  };

  readonly #disconnect = (): void => {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#timeoutTimer);
    this.#stream.cancel();
    this.#client.close();
    this.#listener.onDisconnect(this.#peerVm);
  };
}
