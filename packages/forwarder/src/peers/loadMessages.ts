import {
  MAX_COUNT,
  MAX_DURATION_MS,
  MAX_PER_SECOND,
  MAX_TOKENS,
  toBranded,
} from '@sardinegrade/common';
import { LoadProtocol } from '@sardinegrade/peer';
import { LoadScope, NO_WAITING } from '@sardinegrade/routing';

import { fromWirePaceSamples, toWirePaceSamples } from './paceMessages.js';

import type {
  BuildName,
  DataCentreName,
  Fingerprint,
  RequestId,
  ServiceName,
  UpstreamId,
  VmId,
} from '@sardinegrade/common';
import type {
  EngineLoad,
  LoadMessage,
  PartId,
  Placement,
  PromptPart,
  StreamOriginReport,
  WaitingLoad,
  WorkerWatch,
} from '@sardinegrade/routing';

/** Unit of backlogs in messages, in tokens: prefill of a hundred tokens takes two milliseconds. */
const TOKENS_PER_UNIT = 100;

/** Bounds of what a message may tell. */
const MAX_NAME_LENGTH = 200;
const MAX_ERA = 1e15;
const MAX_BACKLOG_UNITS = 10_000_000;

const WIRE_SCOPES: Readonly<Record<LoadScope, LoadProtocol.LoadScope>> = {
  [LoadScope.ForAll]: LoadProtocol.LoadScope.LOAD_SCOPE_FOR_ALL,
  [LoadScope.ForRelay]: LoadProtocol.LoadScope.LOAD_SCOPE_FOR_RELAY,
  [LoadScope.Digest]: LoadProtocol.LoadScope.LOAD_SCOPE_DIGEST,
  [LoadScope.News]: LoadProtocol.LoadScope.LOAD_SCOPE_NEWS,
};

const SCOPES_BY_WIRE = new Map(
  Object.values(LoadScope).map((scope): [LoadProtocol.LoadScope, LoadScope] => [
    WIRE_SCOPES[scope],
    scope,
  ]),
);

const MAX_UINT32 = 0xff_ff_ff_ff;

/** Rounds a number to one that a field can hold, 0 for NaN: the encoder throws for all others. */
const toWhole = (value: number, max: number): number =>
  Math.min(max, Math.max(0, Math.round(value) || 0));

const toUint32 = (value: number): number => toWhole(value, MAX_UINT32);

const toUint64 = (value: number): number => toWhole(value, Number.MAX_SAFE_INTEGER);

const toOptionalUint32 = (value: number | undefined): number | undefined =>
  value === undefined ? undefined : toUint32(value);

/**
 * Encodes the payload of a datagram.
 *
 * @param message - fields of the message; missing ones are empty
 * @returns the encoded bytes
 */
export const encodePeerMessage = (message: Partial<LoadProtocol.PeerMessage>): Uint8Array =>
  LoadProtocol.PeerMessage.encode({
    load: undefined,
    asksMemory: false,
    memory: undefined,
    ...message,
  }).finish();

/** Groups origins by service and build, whose names are then sent once. */
const toWireOrigins = (reports: readonly StreamOriginReport[]): LoadProtocol.StreamOrigins[] => {
  const groups = new Map<string, LoadProtocol.StreamOrigins>();
  for (const { service, build, request, remainingMs } of reports) {
    const key = `${service} ${build}`;
    const group = groups.get(key) ?? { service, build, requests: [], remainingMs: [] };
    group.requests.push(request);
    group.remainingMs.push(toUint32(remainingMs));
    groups.set(key, group);
  }
  return [...groups.values()];
};

const fromWireOrigins = (group: LoadProtocol.StreamOrigins): readonly StreamOriginReport[] =>
  group.requests.map((request, index) => ({
    service: toBranded<ServiceName>(group.service),
    build: toBranded<BuildName>(group.build),
    request: toBranded<RequestId>(request),
    remainingMs: Math.min(MAX_DURATION_MS, group.remainingMs[index] ?? 0),
  }));

const toWireWatch = (
  watch: WorkerWatch | undefined,
): Pick<LoadProtocol.LoadShare, 'watchedWorkersVersion' | 'watchedWorkersAgeMs'> =>
  watch === undefined
    ? {}
    : {
        watchedWorkersVersion: toUint64(watch.revision),
        watchedWorkersAgeMs: toUint32(watch.answerAgeMs),
      };

const fromWireWatch = (load: LoadProtocol.LoadShare): WorkerWatch | undefined => {
  const { watchedWorkersVersion: revision, watchedWorkersAgeMs: answerAgeMs } = load;
  return revision === undefined || answerAgeMs === undefined
    ? undefined
    : { revision, answerAgeMs };
};

/** @returns the wire form of a load message */
export const toLoadShare = (message: LoadMessage): LoadProtocol.LoadShare => {
  const loads = [...message.engines];
  return {
    vm: message.vm,
    startedAtMs: toUint64(message.startedAtMs),
    sequence: toUint32(message.sequence),
    dataCentre: message.dataCentre,
    engines: loads.map(([engine]) => engine),
    unreadHundreds: loads.map(([, load]) => toUint32(load.backlogTokens / TOKENS_PER_UNIT)),
    runs: loads.map(([, load]) => toUint32(load.runs)),
    placements: message.placements.map(toWirePlacement),
    crashes: message.crashes.map((crash) => ({ ...crash })),
    scope: WIRE_SCOPES[message.scope],
    vmCount: toUint32(message.vmCount),
    heard: [...message.dataCentreAges].map(([name, ageMs]) => ({ name, ageMs: toUint32(ageMs) })),
    storeEra: toUint64(message.storeVersions.era),
    configurationVersion: toUint64(message.storeVersions.configuration),
    workersVersion: toUint64(message.storeVersions.workers),
    activeGeneration: toUint64(message.storeVersions.activeGeneration),
    storeAnswerAgeMs: toOptionalUint32(message.storeVersions.answerAgeMs),
    storeFailureAgeMs: toOptionalUint32(message.storeVersions.failureAgeMs),
    queuedRequests: toUint32(message.waiting.requests),
    queuedHundreds: toUint32(message.waiting.promptTokens / TOKENS_PER_UNIT),
    ...toWireWatch(message.storeVersions.workerWatch),
    workerLimits: message.workerLimits.map((limit) => ({
      ...limit,
      ageMs: toUint32(limit.ageMs),
    })),
    leavingWorkers: [...message.leavingWorkers],
    outdatedWorkers: message.outdatedWorkers.map(({ instance, remainingMs }) => ({
      instance,
      remainingMs: toUint32(remainingMs),
    })),
    brittleWorkers: message.brittleWorkers.map((worker) => ({
      instance: worker.instance,
      rejectionsPerSecond: worker.perSecond,
      ageMs: toUint32(worker.ageMs),
      withheld: toUint32(worker.withheld),
      rejectionAgeMs: toOptionalUint32(worker.rejectionAgeMs),
    })),
    streamOrigins: toWireOrigins(message.streamOrigins),
    paceSamples: toWirePaceSamples(message.paceSamples),
    partEvidence: message.partEvidence.map(({ crashes, depth, ...evidence }) => ({
      ...evidence,
      depth: toUint32(depth),
      crashes: crashes.map((crash) => ({ ...crash, ageMs: toUint32(crash.ageMs) })),
    })),
  };
};

/** @returns the wire form of a placement */
export const toWirePlacement = ({ engine, parts }: Placement): LoadProtocol.Placement => ({
  engine,
  parts: parts.map(({ id, tokens }) => ({ id, tokens: toUint32(tokens) })),
});

/** @returns the placement in a received message */
export const fromWirePlacement = ({ engine, parts }: LoadProtocol.Placement): Placement => ({
  engine,
  parts: parts
    .filter(({ id, tokens }) => id.length <= MAX_NAME_LENGTH && tokens <= MAX_TOKENS)
    .map(({ id, tokens }): PromptPart => ({ id: toBranded(id), tokens })),
});

const isName = (name: string): boolean => name !== '' && name.length <= MAX_NAME_LENGTH;

const checkSender = ({ vm, dataCentre, storeEra, vmCount }: LoadProtocol.LoadShare): void => {
  if (!isName(vm)) throw new RangeError('The name of the VM is empty or too long.');
  if (dataCentre.length > MAX_NAME_LENGTH)
    throw new RangeError('The name of the data centre is too long.');
  if (storeEra > MAX_ERA) throw new RangeError(`The era ${storeEra} is too large.`);
  if (vmCount > MAX_COUNT) throw new RangeError(`The number of VMs, ${vmCount}, is too large.`);
};

const fromWireLoads = ({
  engines,
  unreadHundreds,
  runs,
}: LoadProtocol.LoadShare): ReadonlyMap<number, EngineLoad> => {
  const loads = new Map<number, EngineLoad>();
  for (const [index, engine] of engines.entries()) {
    const backlogUnits = unreadHundreds[index] ?? 0;
    const engineRuns = runs[index] ?? 0;
    if (backlogUnits > MAX_BACKLOG_UNITS || engineRuns > MAX_COUNT) continue;
    loads.set(engine, { backlogTokens: backlogUnits * TOKENS_PER_UNIT, runs: engineRuns });
  }
  return loads;
};

/** Reads what waits at VMs; none if it is out of range, so that one message cannot cause orders of workers. */
const fromWireWaiting = ({
  queuedRequests,
  queuedHundreds,
}: LoadProtocol.LoadShare): WaitingLoad =>
  queuedRequests > MAX_COUNT || queuedHundreds > MAX_BACKLOG_UNITS
    ? NO_WAITING
    : { requests: queuedRequests, promptTokens: queuedHundreds * TOKENS_PER_UNIT };

const isLimit = ({ perSecond = 0 }: Pick<LoadProtocol.WorkerLimit, 'perSecond'>): boolean =>
  perSecond >= 0 && perSecond <= MAX_PER_SECOND;

const toLoadMessage = (load: LoadProtocol.LoadShare): LoadMessage => ({
  vm: toBranded<VmId>(load.vm),
  startedAtMs: load.startedAtMs,
  sequence: load.sequence,
  dataCentre: toBranded<DataCentreName>(load.dataCentre),
  engines: fromWireLoads(load),
  waiting: fromWireWaiting(load),
  placements: load.placements.map(fromWirePlacement),
  crashes: load.crashes.map(({ fingerprint, upstream }) => ({
    fingerprint: toBranded<Fingerprint>(fingerprint),
    upstream: toBranded<UpstreamId>(upstream),
  })),
  scope: SCOPES_BY_WIRE.get(load.scope) ?? LoadScope.News,
  vmCount: load.vmCount,
  dataCentreAges: new Map(
    load.heard.map(({ name, ageMs }) => [toBranded<DataCentreName>(name), ageMs]),
  ),
  storeVersions: {
    era: load.storeEra,
    configuration: load.configurationVersion,
    workers: load.workersVersion,
    activeGeneration: load.activeGeneration,
    answerAgeMs: load.storeAnswerAgeMs,
    failureAgeMs: load.storeFailureAgeMs,
    workerWatch: fromWireWatch(load),
  },
  workerLimits: load.workerLimits.filter(isLimit).map(({ instance, perSecond, ageMs }) => ({
    instance,
    perSecond,
    ageMs,
  })),
  leavingWorkers: load.leavingWorkers,
  outdatedWorkers: load.outdatedWorkers.map(({ instance, remainingMs }) => ({
    instance,
    remainingMs,
  })),
  brittleWorkers: load.brittleWorkers
    .map(({ rejectionsPerSecond, ...worker }) => ({ ...worker, perSecond: rejectionsPerSecond }))
    .filter(isLimit)
    .map((worker) => ({ ...worker, rejectionAgeMs: worker.rejectionAgeMs })),
  streamOrigins: load.streamOrigins.flatMap(fromWireOrigins),
  paceSamples: fromWirePaceSamples(load.paceSamples),
  partEvidence: load.partEvidence.map((evidence) => ({
    ...evidence,
    part: toBranded<PartId>(evidence.part),
  })),
});

/**
 * Decodes and checks a load message, before anything else sees it: loads, parts and limits out of range are left out.
 *
 * @param load - the message in a received datagram
 * @returns the load message
 * @throws RangeError if the sender, its era or its number of VMs is out of range
 */
export const fromLoadShare = (load: LoadProtocol.LoadShare): LoadMessage => {
  checkSender(load);
  return toLoadMessage(load);
};

/** Fields of a message that carries only what VMs tell each other about workers. */
export const NO_LOAD: Partial<LoadMessage> = {
  scope: LoadScope.News,
  engines: new Map(),
  waiting: NO_WAITING,
  crashes: [],
  placements: [],
  paceSamples: [],
  dataCentreAges: new Map(),
};

/**
 * Encodes a list in messages without load.
 *
 * @param message - the sender and its versions
 * @param items - the list
 * @param size - maximum number of items in a datagram
 * @param toFields - puts items into the field of a message that holds them
 * @returns the datagrams; none for an empty list
 */
export const encodeList = <Item>(
  message: LoadMessage,
  items: readonly Item[],
  size: number,
  toFields: (items: readonly Item[]) => Partial<LoadMessage>,
): readonly Uint8Array[] => {
  const datagrams: Uint8Array[] = [];
  for (let first = 0; first < items.length; first += size) {
    const part = { ...message, ...NO_LOAD, ...toFields(items.slice(first, first + size)) };
    datagrams.push(encodePeerMessage({ load: toLoadShare(part) }));
  }
  return datagrams;
};
