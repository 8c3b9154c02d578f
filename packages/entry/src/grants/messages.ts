import { ResultCode } from '@sardinegrade/common';
import { DispatchActionKind, PreemptionMode, ReleaseReason } from '@sardinegrade/dispatch';
import { DispatchProtocol } from '@sardinegrade/peer';

import { decodeTrace, encodeTrace } from './traceBytes.js';

import type {
  ClassName,
  Fingerprint,
  RequestId,
  ServiceName,
  UpstreamId,
  VmId,
  WorkspaceName,
} from '@sardinegrade/common';
import type { DispatchAction, GrantRequest, GrantRelease } from '@sardinegrade/dispatch';
import type { ShardKey, ShardLoad } from './types.js';

const WireReason = DispatchProtocol.ReleaseReason;
const WireMode = DispatchProtocol.PreemptionMode;
const TENTHS_PER_MS = 10;

const REASON_TO_WIRE: Readonly<Record<ReleaseReason, DispatchProtocol.ReleaseReason>> = {
  [ReleaseReason.Finished]: WireReason.RELEASE_REASON_FINISHED,
  [ReleaseReason.CallerGone]: WireReason.RELEASE_REASON_CALLER_GONE,
  [ReleaseReason.UpstreamRefused]: WireReason.RELEASE_REASON_UPSTREAM_REFUSED,
  [ReleaseReason.UpstreamDied]: WireReason.RELEASE_REASON_UPSTREAM_DIED,
  [ReleaseReason.UpstreamSilent]: WireReason.RELEASE_REASON_UPSTREAM_SILENT,
  [ReleaseReason.Preempted]: WireReason.RELEASE_REASON_PREEMPTED,
};

const MODE_TO_WIRE: Readonly<Record<PreemptionMode, DispatchProtocol.PreemptionMode>> = {
  [PreemptionMode.Pause]: WireMode.PREEMPTION_MODE_PAUSE,
  [PreemptionMode.Resume]: WireMode.PREEMPTION_MODE_RESUME,
  [PreemptionMode.Cancel]: WireMode.PREEMPTION_MODE_CANCEL,
};

const invert = <Key extends string, Value extends number>(
  table: Readonly<Record<Key, Value>>,
): ReadonlyMap<number, Key> =>
  new Map((Object.entries(table) as [Key, Value][]).map(([key, value]) => [value, key]));

const REASON_FROM_WIRE = invert(REASON_TO_WIRE);
const MODE_FROM_WIRE = invert(MODE_TO_WIRE);

const KNOWN_CODES: ReadonlyMap<number, ResultCode> = new Map(
  Object.values(ResultCode)
    .filter((code) => typeof code === 'number')
    .map((code) => [code, code]),
);

/** Maps a code to its result code; an unknown code, sent by a newer daemon, is treated as an overload. */
const decodeResultCode = (code: number): ResultCode =>
  KNOWN_CODES.get(code) ?? ResultCode.Overloaded;

/**
 * Encodes a grant request. Its times become durations, since the clocks of VMs differ.
 *
 * @param shard - the shard that receives the request
 * @param ask - the grant request; its times are in the clock of this daemon
 * @param nowMs - current time, in milliseconds
 * @returns the message to send
 */
export const encodeAsk = (
  shard: ShardKey,
  ask: GrantRequest,
  nowMs: number,
): DispatchProtocol.Ask => ({
  askId: ask.askId,
  requestId: ask.requestId,
  service: ask.service,
  className: ask.className,
  workspace: ask.workspace,
  ageMs: Math.max(0, Math.round(nowMs - ask.arrivedAtMs)),
  remainingMs: Math.max(0, Math.round(ask.deadlineAtMs - nowMs)),
  promptTokens: ask.promptTokens,
  maxTokens: ask.maxTokens,
  prefixBlocks: [...ask.prefixBlocks],
  fingerprint: ask.fingerprint,
  resumeAt: ask.resumeAt,
  excludedUpstreams: [...ask.excludedUpstreams],
  attempt: ask.attempt,
  suspect: ask.isSuspect,
  shard,
  heldUpstream: ask.heldUpstream ?? '',
  trace: encodeTrace(ask.trace),
});

/**
 * Decodes a grant request. Its durations become times in the clock of this daemon.
 *
 * @param message - the received message
 * @param vm - the daemon that sent it
 * @param nowMs - current time, in milliseconds
 * @returns the grant request
 */
export const decodeAsk = (
  message: DispatchProtocol.Ask,
  vm: VmId,
  nowMs: number,
): GrantRequest => ({
  askId: message.askId,
  requestId: message.requestId as RequestId,
  vm,
  service: message.service as ServiceName,
  className: message.className as ClassName,
  workspace: message.workspace as WorkspaceName,
  arrivedAtMs: nowMs - message.ageMs,
  deadlineAtMs: nowMs + message.remainingMs,
  promptTokens: message.promptTokens,
  maxTokens: message.maxTokens,
  prefixBlocks: message.prefixBlocks,
  fingerprint: message.fingerprint as Fingerprint,
  resumeAt: message.resumeAt,
  excludedUpstreams: message.excludedUpstreams as UpstreamId[],
  attempt: message.attempt,
  isSuspect: message.suspect,
  heldUpstream: message.heldUpstream === '' ? undefined : (message.heldUpstream as UpstreamId),
  trace: decodeTrace(message.trace),
});

/**
 * Encodes the release of a grant.
 *
 * @param release - reason and measurements of the grant's end
 * @returns the message to send; a missing measurement is encoded as 0
 */
export const encodeRelease = (release: GrantRelease): DispatchProtocol.Release => ({
  askId: release.askId,
  tokens: release.tokens,
  reason: REASON_TO_WIRE[release.reason],
  firstTokenMs: Math.round(release.firstTokenMs ?? 0),
  tokenIntervalTenthMs: Math.round((release.tokenIntervalMs ?? 0) * TENTHS_PER_MS),
});

/**
 * Decodes the release of a grant.
 *
 * @param message - the received message; a time of 0 stands for no measurement
 * @returns the release; an unknown reason, sent by a newer daemon, becomes `CallerGone`
 */
export const decodeRelease = (message: DispatchProtocol.Release): GrantRelease => ({
  askId: message.askId,
  reason: REASON_FROM_WIRE.get(message.reason) ?? ReleaseReason.CallerGone,
  tokens: message.tokens,
  firstTokenMs: message.firstTokenMs === 0 ? undefined : message.firstTokenMs,
  tokenIntervalMs:
    message.tokenIntervalTenthMs === 0 ? undefined : message.tokenIntervalTenthMs / TENTHS_PER_MS,
});

/** @returns an empty message of an entry daemon; it collects everything sent in one turn of the event loop */
export const createEntryMessage = (): DispatchProtocol.EntryMessage => ({
  vm: '',
  asks: [],
  withdrawals: [],
  progress: [],
  releases: [],
});

/** @returns an empty message of a dispatcher; it collects everything sent in one turn of the event loop */
export const createDispatcherMessage = (): DispatchProtocol.DispatcherMessage => ({
  grants: [],
  refusals: [],
  preemptions: [],
  loads: [],
});

/**
 * Adds a decision to a dispatcher's message; actions that don't belong to a single grant request are skipped.
 *
 * @param message - the message to be sent next
 * @param action - the dispatcher's action
 */
export const appendAction = (
  message: DispatchProtocol.DispatcherMessage,
  action: DispatchAction,
): void => {
  switch (action.kind) {
    case DispatchActionKind.Grant:
      message.grants.push({
        askId: action.askId,
        upstream: action.upstream,
        priority: action.priority,
      });
      return;
    case DispatchActionKind.Refuse:
      message.refusals.push({
        askId: action.askId,
        code: action.code,
        retryAfterMs: Math.round(action.retryAfterMs ?? 0),
      });
      return;
    case DispatchActionKind.Preempt:
      message.preemptions.push({ askId: action.askId, mode: MODE_TO_WIRE[action.mode] });
      return;
    case DispatchActionKind.ProbeUpstream:
    case DispatchActionKind.Quarantine:
  }
};

/**
 * Decodes the decisions in a dispatcher's message.
 *
 * @param message - the received message
 * @returns the decisions in the order in which they are applied
 */
export const decodeActions = (
  message: DispatchProtocol.DispatcherMessage,
): readonly DispatchAction[] => [
  ...message.grants.map((grant) => ({
    kind: DispatchActionKind.Grant as const,
    askId: grant.askId,
    upstream: grant.upstream as UpstreamId,
    priority: grant.priority,
  })),
  ...message.refusals.map((refusal) => ({
    kind: DispatchActionKind.Refuse as const,
    askId: refusal.askId,
    code: decodeResultCode(refusal.code),
    retryAfterMs: refusal.retryAfterMs === 0 ? undefined : refusal.retryAfterMs,
  })),
  ...message.preemptions.map((preemption) => ({
    kind: DispatchActionKind.Preempt as const,
    askId: preemption.askId,
    mode: MODE_FROM_WIRE.get(preemption.mode) ?? PreemptionMode.Cancel,
  })),
];

/**
 * Decodes the shard loads that are included in a dispatcher's message.
 *
 * @param message - the received message
 * @param nowMs - current time, in milliseconds; becomes the time of the loads
 * @returns the load of each shard in the message
 */
export const decodeLoads = (
  message: DispatchProtocol.DispatcherMessage,
  nowMs: number,
): ReadonlyMap<ShardKey, ShardLoad> =>
  new Map(
    message.loads.map(({ shard, queued, granted, slots }) => [
      shard as ShardKey,
      { queuedByRank: queued, grantedByRank: granted, slots, atMs: nowMs },
    ]),
  );
