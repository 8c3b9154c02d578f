import { DispatchProtocol } from '@sardinegrade/peer';

import { SESSION_HEARTBEAT_MS, SESSION_SILENCE_MS } from './constants.js';
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
import type { DispatchMember, DispatchPort, DispatchPortListener, ShardKey } from './types.js';

const CHANNEL_OPTIONS = {
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2_000,
  // A session that comes back must not reuse a connection that fell silent.
  'grpc.use_local_subchannel_pool': 1,
} as const;

/** The entry daemon's end of a session with another daemon's dispatchers. */
export class PeerSession implements DispatchPort {
  readonly #vm: VmId;
  readonly #self: VmId;
  readonly #clock: Clock;
  readonly #listener: DispatchPortListener;
  readonly #client: InstanceType<typeof DispatchProtocol.DispatchClient>;
  readonly #stream: ClientDuplexStream<
    DispatchProtocol.EntryMessage,
    DispatchProtocol.DispatcherMessage
  >;
  readonly #waiting = new Set<string>();
  readonly #silenceTimer: NodeJS.Timeout;
  #outgoing: DispatchProtocol.EntryMessage | undefined;
  #lastHeardAtMs: number;
  #isIntroduced = false;
  #isClosed = false;

  constructor(
    member: DispatchMember,
    self: VmId,
    credentials: ChannelCredentials,
    clock: Clock,
    listener: DispatchPortListener,
  ) {
    this.#vm = member.vm;
    this.#self = self;
    this.#clock = clock;
    this.#listener = listener;
    this.#lastHeardAtMs = clock.getNowMs();
    this.#client = new DispatchProtocol.DispatchClient(
      member.address,
      credentials,
      CHANNEL_OPTIONS,
    );
    this.#stream = this.#client.session();
    this.#stream.on('data', this.#handleMessage);
    this.#stream.on('error', this.#lose);
    this.#stream.on('end', this.#lose);
    this.#silenceTimer = setInterval(this.#checkSilence, SESSION_HEARTBEAT_MS);
  }

  readonly ask = (shard: ShardKey, ask: GrantRequest): void => {
    const nowMs = this.#clock.getNowMs();
    if (this.#waiting.size === 0) this.#lastHeardAtMs = nowMs;
    if (ask.heldUpstream === undefined) this.#waiting.add(ask.askId);
    this.#getOutgoing().asks.push(encodeAsk(shard, ask, nowMs));
  };

  readonly withdraw = (askId: string): void => {
    this.#waiting.delete(askId);
    if (this.#removeUnsentAsk(askId)) return;
    this.#getOutgoing().withdrawals.push({ askId });
  };

  readonly reportProgress = (askId: string, tokens: number): void => {
    this.#getOutgoing().progress.push({ askId, tokens });
  };

  readonly release = (release: GrantRelease): void => {
    this.#waiting.delete(release.askId);
    if (this.#removeUnsentAsk(release.askId)) return;
    this.#getOutgoing().releases.push(encodeRelease(release));
  };

  /** Ends the session; the dispatcher gives up what was asked over it. */
  readonly close = (): void => {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#silenceTimer);
    this.#stream.end();
    this.#client.close();
  };

  readonly #handleMessage = (message: DispatchProtocol.DispatcherMessage): void => {
    const nowMs = this.#clock.getNowMs();
    this.#lastHeardAtMs = nowMs;
    const actions = decodeActions(message);
    for (const action of actions) if ('askId' in action) this.#waiting.delete(action.askId);
    if (message.loads.length > 0) this.#listener.onLoads(decodeLoads(message, nowMs));
    if (actions.length > 0) this.#listener.onActions(this.#vm, actions);
  };

  /** A receiver takes the ends in a message before its asks, so an ask that ended unsent must not be sent. */
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
    if (!this.#isIntroduced) message.vm = this.#self;
    this.#isIntroduced = true;
    this.#stream.write(message);
  };

  readonly #checkSilence = (): void => {
    if (this.#waiting.size === 0) return;
    if (this.#clock.getNowMs() - this.#lastHeardAtMs > SESSION_SILENCE_MS) this.#lose();
  };

  readonly #lose = (): void => {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#silenceTimer);
    this.#stream.cancel();
    this.#client.close();
    this.#listener.onLost(this.#vm);
  };
}
