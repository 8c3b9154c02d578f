import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { LoadProtocol } from '@sardinegrade/peer';
import {
  LeavingTracker,
  LoadScope,
  MAX_CRASHES_PER_PART,
  MAX_SENT_ENTRIES,
  NO_WAITING,
  SampleKind,
} from '@sardinegrade/routing';

import {
  MAX_OUTDATED_WORKERS,
  ORIGINS_PER_DATAGRAM,
  PACE_SAMPLES_PER_DATAGRAM,
  PARTS_WITH_EVIDENCE_PER_DATAGRAM,
  PLACEMENTS_PER_DATAGRAM,
} from './constants.js';
import { encodePeerMessage, fromLoadShare, toLoadShare } from './loadMessages.js';

import type { LoadMessage, PromptPart } from '@sardinegrade/routing';

/** Maximum payload without IP fragmentation, in bytes: an Ethernet frame minus its headers. */
const DATAGRAM_LIMIT_BYTES = 1_472;

const MS_PER_DAY = 86_400_000;

const ENGINES = 63;

const PARTS: readonly PromptPart[] = ['a1b2c3d4e5', 'f6a7b8c9d0', '1e2f3a4b5c'].map((id) => ({
  id: toBranded(id),
  tokens: 13_300,
}));

const buildMessage = (scope: LoadScope): LoadMessage => ({
  vm: toBranded('edge-hobart-a-12'),
  startedAtMs: 1_796_000_000_000,
  sequence: 4_000,
  dataCentre: toBranded('hobart-a'),
  scope,
  vmCount: 75,
  waiting: { requests: 40, promptTokens: 520_000 },
  storeVersions: {
    era: 3,
    configuration: 4_000_000_000,
    workers: 4_000_000_100,
    activeGeneration: 12,
    answerAgeMs: 730,
    failureAgeMs: 1_240,
    workerWatch: { revision: 4_000_000_200, answerAgeMs: 640 },
  },
  engines: new Map(
    Array.from({ length: ENGINES }, (_, index) => [
      0xff_00_00_00 + index,
      { backlogTokens: 40_000, runs: 20 },
    ]),
  ),
  placements: Array.from({ length: PLACEMENTS_PER_DATAGRAM }, (_, engine) => ({
    engine,
    parts: PARTS,
  })),
  crashes: [],
  paceSamples: [
    { instance: 7, kind: SampleKind.OnTime, speed: 2 ** -0.5, gapMs: undefined },
    { instance: 8, kind: SampleKind.Bad, speed: undefined, gapMs: undefined },
    { instance: 9, kind: SampleKind.StreamEnd, speed: undefined, gapMs: 188 },
  ],
  streamOrigins: [
    {
      service: toBranded('bead-oracle'),
      build: toBranded('v1.2'),
      request: toBranded('9c41d07be2a35f68'),
      remainingMs: 11_500,
    },
  ],
  workerLimits: [
    { instance: 7, perSecond: 1.25, ageMs: 20 },
    { instance: 8, perSecond: undefined, ageMs: 40 },
  ],
  leavingWorkers: [0xff_00_00_02, 9],
  outdatedWorkers: [{ instance: 0xff_00_00_03, remainingMs: 4_200 }],
  brittleWorkers: [
    { instance: 7, perSecond: 4, ageMs: 20, withheld: 2, rejectionAgeMs: 150 },
    { instance: 8, perSecond: undefined, ageMs: 40, withheld: 0, rejectionAgeMs: undefined },
  ],
  partEvidence: [
    {
      part: toBranded('a1b2c3d4e5'),
      depth: 1,
      wasAnswered: true,
      crashes: [{ instance: 0xff_00_00_01, ageMs: 250, isCleared: false }],
    },
  ],
  dataCentreAges: new Map([
    [toBranded('hobart-b'), 120],
    [toBranded('kingston'), 80],
  ]),
});

test('a load message is unchanged after encoding and decoding', () => {
  for (const scope of Object.values(LoadScope)) {
    const message = buildMessage(scope);
    const bytes = encodePeerMessage({ load: toLoadShare(message) });
    const { load } = LoadProtocol.PeerMessage.decode(bytes);
    assert.ok(load !== undefined);
    assert.deepEqual(fromLoadShare(load), message);
  }
});

test('a digest of a large site with the maximum number of placements fits into a datagram', () => {
  const message = {
    ...buildMessage(LoadScope.Digest),
    partEvidence: [],
    workerLimits: [],
    paceSamples: [],
    leavingWorkers: [],
    outdatedWorkers: [],
    brittleWorkers: [],
    streamOrigins: [],
  };
  const bytes = encodePeerMessage({ load: toLoadShare(message) });
  assert.ok(bytes.length <= DATAGRAM_LIMIT_BYTES, `${bytes.length} bytes`);
});

test('the maximum number of pace samples fits into a datagram', () => {
  const sample = { instance: 0xff_00_00_01, kind: SampleKind.Bad, speed: 4, gapMs: 1_000 };
  const message = {
    ...buildMessage(LoadScope.News),
    engines: new Map(),
    placements: [],
    dataCentreAges: new Map(),
    partEvidence: [],
    workerLimits: [],
    leavingWorkers: [],
    outdatedWorkers: [],
    brittleWorkers: [],
    streamOrigins: [],
    paceSamples: Array.from({ length: PACE_SAMPLES_PER_DATAGRAM }, () => sample),
  };
  const bytes = encodePeerMessage({ load: toLoadShare(message) });
  assert.ok(bytes.length <= DATAGRAM_LIMIT_BYTES, `${bytes.length} bytes`);
});

test('evidence about the maximum number of parts fits into a datagram', () => {
  const [evidence] = buildMessage(LoadScope.News).partEvidence;
  assert.ok(evidence !== undefined);
  const [crash] = evidence.crashes;
  assert.ok(crash !== undefined);
  const crashes = Array.from({ length: MAX_CRASHES_PER_PART }, () => ({
    ...crash,
    ageMs: 1_200_000,
  }));
  const message = {
    ...buildMessage(LoadScope.News),
    engines: new Map(),
    waiting: NO_WAITING,
    placements: [],
    dataCentreAges: new Map(),
    workerLimits: [],
    paceSamples: [],
    leavingWorkers: [],
    outdatedWorkers: [],
    brittleWorkers: [],
    streamOrigins: [],
    partEvidence: Array.from({ length: PARTS_WITH_EVIDENCE_PER_DATAGRAM }, () => ({
      ...evidence,
      crashes,
    })),
  };
  const bytes = encodePeerMessage({ load: toLoadShare(message) });
  assert.ok(bytes.length <= DATAGRAM_LIMIT_BYTES, `${bytes.length} bytes`);
});

test('the maximum number of brittle workers fits into a datagram', () => {
  const worker = {
    instance: 0xff_00_00_01,
    perSecond: 4.5,
    ageMs: 600_000,
    withheld: 6,
    rejectionAgeMs: 600_000,
  };
  const message = {
    ...buildMessage(LoadScope.News),
    engines: new Map(),
    waiting: NO_WAITING,
    placements: [],
    dataCentreAges: new Map(),
    workerLimits: [],
    partEvidence: [],
    streamOrigins: [],
    paceSamples: [],
    leavingWorkers: [],
    outdatedWorkers: [],
    brittleWorkers: Array.from({ length: 2 * MAX_SENT_ENTRIES }, () => worker),
  };
  const bytes = encodePeerMessage({ load: toLoadShare(message) });
  assert.ok(bytes.length <= DATAGRAM_LIMIT_BYTES, `${bytes.length} bytes`);
});

test('the maximum number of origins of streams fits into a datagram', () => {
  const [origin] = buildMessage(LoadScope.News).streamOrigins;
  assert.ok(origin !== undefined);
  const message = {
    ...buildMessage(LoadScope.News),
    engines: new Map(),
    waiting: NO_WAITING,
    placements: [],
    dataCentreAges: new Map(),
    workerLimits: [],
    paceSamples: [],
    leavingWorkers: [],
    outdatedWorkers: [],
    brittleWorkers: [],
    partEvidence: [],
    streamOrigins: Array.from({ length: ORIGINS_PER_DATAGRAM }, () => origin),
  };
  const bytes = encodePeerMessage({ load: toLoadShare(message) });
  assert.ok(bytes.length <= DATAGRAM_LIMIT_BYTES, `${bytes.length} bytes`);
});

test('the maximum number of notices of workers fits into a datagram', () => {
  const tracker = new LeavingTracker();
  const instances = Array.from({ length: 1_000 }, (_, index) => 0xff_00_00_00 + index);
  for (const instance of instances) tracker.record(instance, 0);
  const sent = tracker.collectUnsent(0, () => new Set(instances));
  const message = {
    ...buildMessage(LoadScope.News),
    engines: new Map(),
    waiting: NO_WAITING,
    placements: [],
    dataCentreAges: new Map(),
    partEvidence: [],
    streamOrigins: [],
    brittleWorkers: [],
    workerLimits: sent.map((instance) => ({ instance, perSecond: 0.1, ageMs: 600_000 })),
    paceSamples: [],
    leavingWorkers: sent,
    outdatedWorkers: [],
  };
  const bytes = encodePeerMessage({ load: toLoadShare(message) });
  assert.ok(bytes.length <= DATAGRAM_LIMIT_BYTES, `${bytes.length} bytes`);
});

test('the maximum number of outdated workers fits into a datagram', () => {
  const outdated = { instance: 0xff_00_00_00, remainingMs: 5_000 };
  const message = {
    ...buildMessage(LoadScope.News),
    engines: new Map(),
    waiting: NO_WAITING,
    placements: [],
    dataCentreAges: new Map(),
    partEvidence: [],
    streamOrigins: [],
    brittleWorkers: [],
    workerLimits: [],
    paceSamples: [],
    leavingWorkers: [],
    outdatedWorkers: Array.from({ length: MAX_OUTDATED_WORKERS }, () => outdated),
  };
  const bytes = encodePeerMessage({ load: toLoadShare(message) });
  assert.ok(bytes.length <= DATAGRAM_LIMIT_BYTES, `${bytes.length} bytes`);
});

/** Numbers that callers and clocks can lead to, but that no field of a message holds. */
const ODD_NUMBERS: readonly number[] = [-1, 1.5, 1e12, 1e300, Infinity, Number.NaN];

test('a number that no field of a message can hold does not keep a message from being sent', () => {
  const message = buildMessage(LoadScope.Digest);
  const [origin] = message.streamOrigins;
  const [evidence] = message.partEvidence;
  assert.ok(origin !== undefined && evidence !== undefined);
  for (const odd of ODD_NUMBERS) {
    const oddMessage: LoadMessage = {
      ...message,
      vmCount: odd,
      waiting: { requests: odd, promptTokens: odd },
      engines: new Map([[1, { backlogTokens: odd, runs: odd }]]),
      placements: [{ engine: 1, parts: [{ id: toBranded('a1'), tokens: odd }] }],
      streamOrigins: [{ ...origin, remainingMs: odd }],
      workerLimits: [{ instance: 1, perSecond: 2, ageMs: odd }],
      brittleWorkers: [
        { instance: 1, perSecond: 2, ageMs: odd, withheld: odd, rejectionAgeMs: odd },
      ],
      partEvidence: [
        {
          ...evidence,
          depth: odd,
          crashes: evidence.crashes.map((crash) => ({ ...crash, ageMs: odd })),
        },
      ],
      dataCentreAges: new Map([[toBranded('hobart-b'), odd]]),
      storeVersions: {
        era: odd,
        configuration: odd,
        workers: odd,
        activeGeneration: odd,
        answerAgeMs: odd,
        failureAgeMs: odd,
        workerWatch: { revision: odd, answerAgeMs: odd },
      },
    };
    const bytes = encodePeerMessage({ load: toLoadShare(oddMessage) });
    assert.equal(LoadProtocol.PeerMessage.decode(bytes).load?.vm, message.vm, String(odd));
  }
});

/** Sends a message with odd members through the wire format. */
const receiveWith = (part: Partial<LoadProtocol.LoadShare>): LoadMessage => {
  const load = { ...toLoadShare(buildMessage(LoadScope.Digest)), ...part };
  const received = LoadProtocol.PeerMessage.decode(encodePeerMessage({ load })).load;
  assert.ok(received !== undefined);
  return fromLoadShare(received);
};

test('a limit that is no number or below 0 is not taken from another VM', () => {
  for (const perSecond of [Number.NaN, Infinity, -Infinity, -1, 1e300]) {
    const sound = { instance: 2, perSecond: 1.5, ageMs: 1 };
    const workerLimits = [{ instance: 1, perSecond, ageMs: 1 }, sound];
    assert.deepEqual(receiveWith({ workerLimits }).workerLimits, [sound]);
  }
});

test('loads, parts and times out of range are not taken from another VM, and the others hold', () => {
  const { engines } = receiveWith({
    engines: [1, 2, 3],
    unreadHundreds: [0xff_ff_ff_ff, 1, 1],
    runs: [1, 0xff_ff_ff_ff, 1],
  });
  assert.deepEqual([...engines], [[3, { backlogTokens: 100, runs: 1 }]]);
  const { placements } = receiveWith({
    placements: [
      {
        engine: 1,
        parts: [
          { id: 'a1', tokens: 5 },
          { id: 'a2', tokens: 0xff_ff_ff_ff },
          { id: 'x'.repeat(1_000), tokens: 5 },
        ],
      },
    ],
  });
  assert.deepEqual(placements, [{ engine: 1, parts: [{ id: 'a1', tokens: 5 }] }]);
  const { streamOrigins } = receiveWith({
    streamOrigins: [
      { service: 's', build: 'b', requests: ['r1', 'r2'], remainingMs: [0xff_ff_ff_ff, 5] },
    ],
  });
  assert.deepEqual(
    streamOrigins.map(({ request, remainingMs }) => [request, remainingMs <= MS_PER_DAY]),
    [
      ['r1', true],
      ['r2', true],
    ],
  );
});

test('a message whose sender, era or number of VMs is out of range is refused', () => {
  const parts: readonly Partial<LoadProtocol.LoadShare>[] = [
    { vm: '' },
    { vm: 'x'.repeat(1_000) },
    { dataCentre: 'x'.repeat(1_000) },
    { storeEra: Number.MAX_SAFE_INTEGER },
    { vmCount: 0xff_ff_ff_ff },
  ];
  for (const part of parts) {
    assert.throws(() => receiveWith(part), RangeError, JSON.stringify(part).slice(0, 60));
  }
});

test('waiting requests out of range are left out, so that one message does not cause orders of workers', () => {
  const part = { queuedRequests: 0xff_ff_ff_ff, queuedHundreds: 1 };
  assert.deepEqual(receiveWith(part).waiting, NO_WAITING);
});
