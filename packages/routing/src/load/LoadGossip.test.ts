import assert from 'node:assert/strict';
import { test } from 'node:test';

import { hashText, toBranded } from '@sardinegrade/common';

import { SampleKind } from '../pace/index.js';
import { computeReportInterval } from './computeReportInterval.js';
import { DataCentreMonitor } from './DataCentreMonitor.js';
import { LoadGossip } from './LoadGossip.js';
import { SharedLoadView } from './SharedLoadView.js';

import type { DataCentreName, UpstreamId, VmId } from '@sardinegrade/common';
import type { PartId } from '../placement/index.js';
import type { LoadMessage, Peer } from './types.js';

const ENGINE = toBranded<UpstreamId>('e1');
const ENGINE_HASH = hashText(ENGINE);

/** One VM of a simulated fleet that advances in steps of the report interval. */
class FleetVm {
  readonly view = new SharedLoadView();
  readonly dataCentres = new DataCentreMonitor();
  readonly gossip: LoadGossip;
  isStopped = false;
  runs = 1;
  sent = 0;
  received = 0;
  readonly appliedMessages: LoadMessage[] = [];
  storeVersions = {
    era: 0,
    configuration: 0,
    workers: 0,
    activeGeneration: 0,
    answerAgeMs: undefined,
    failureAgeMs: undefined,
    workerWatch: undefined,
  };

  constructor(readonly peer: Peer) {
    const identity = { ...peer, startedAtMs: 1 };
    this.gossip = new LoadGossip({
      identity,
      view: this.view,
      dataCentres: this.dataCentres,
      getStoreVersions: () => this.storeVersions,
    });
  }
}

/** A simulated fleet. Messages arrive immediately, unless the link between two VMs is cut. */
class Fleet {
  readonly vms: readonly FleetVm[];
  nowMs = 0;
  isCut: (from: FleetVm, to: FleetVm) => boolean = () => false;

  constructor(count: number, dataCentreCount: number) {
    this.vms = Array.from(
      { length: count },
      (_, index) =>
        new FleetVm({
          vm: toBranded<VmId>(`vm-${index}`),
          dataCentre: toBranded<DataCentreName>(`dc-${index % dataCentreCount}`),
          address: { host: `h${index}`, port: 1 },
        }),
    );
    for (const vm of this.vms) {
      vm.gossip.setPeers(this.vms.filter((other) => other !== vm).map(({ peer }) => peer));
    }
  }

  /** Advances the time by one interval, in which each VM reports once. */
  step(): void {
    this.nowMs += computeReportInterval(this.vms.length);
    for (const vm of this.vms) {
      if (vm.isStopped) continue;
      const loads = new Map(
        vm.runs === 0 ? [] : [[ENGINE_HASH, { backlogTokens: 100, runs: vm.runs }]],
      );
      const waiting = { requests: vm.runs, promptTokens: vm.runs * 10 };
      for (const { address, message } of vm.gossip.tick(loads, this.nowMs, waiting)) {
        vm.sent += 1;
        const to = this.vms.find(({ peer }) => peer.address.host === address.host);
        if (to === undefined || to.isStopped || this.isCut(vm, to)) continue;
        to.received += 1;
        if (to.gossip.receive(message, vm.peer.address, this.nowMs))
          to.appliedMessages.push(message);
      }
    }
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step += 1) this.step();
  }

  get live(): readonly FleetVm[] {
    return this.vms.filter(({ isStopped }) => !isStopped);
  }
}

const listIncompleteVms = (fleet: Fleet): readonly string[] => {
  const total = fleet.live.reduce((sum, { runs }) => sum + runs, 0);
  return fleet.live
    .filter(({ view, runs }) => {
      const isComplete = view.countLive(fleet.nowMs) === fleet.live.length - 1;
      const loads = [view.getLoad(ENGINE_HASH).runs, view.waiting.requests];
      return !isComplete || loads.some((load) => load !== total - runs);
    })
    .map(({ peer }) => peer.vm);
};

for (const [count, dataCentres] of [
  [7, 3],
  [76, 4],
  [85, 5],
  [420, 5],
] as const) {
  test(`each of ${count} VMs knows the load of all others within a few reports, counted once`, () => {
    const fleet = new Fleet(count, dataCentres);
    fleet.run(4);
    assert.deepEqual(listIncompleteVms(fleet), []);
    for (const vm of fleet.vms) vm.runs = 3;
    fleet.run(3);
    assert.deepEqual(listIncompleteVms(fleet), []);
  });
}

test('the messages that a VM sends and receives grow at most with the square root of the fleet size', () => {
  for (const count of [76, 420]) {
    const fleet = new Fleet(count, 5);
    fleet.run(10);
    const most = Math.max(...fleet.vms.map(({ sent, received }) => Math.max(sent, received)));
    const least = Math.min(...fleet.vms.map(({ sent }) => sent));
    assert.ok(most <= 10 * 4.5 * Math.sqrt(count), `${most} messages of ${count} VMs`);
    assert.equal(least, 10);
  }
});

test('VMs whose relay has stopped report to another one, and to the first again after its return', () => {
  const fleet = new Fleet(76, 4);
  fleet.run(4);
  const relays = fleet.vms.filter(({ received }) => received > 4 * 4);
  assert.ok(relays.length >= 8);
  const [stoppedRelay] = relays;
  assert.ok(stoppedRelay !== undefined);
  stoppedRelay.isStopped = true;
  fleet.run(30);
  assert.deepEqual(listIncompleteVms(fleet), []);
  stoppedRelay.isStopped = false;
  const before = stoppedRelay.received;
  fleet.run(40);
  assert.deepEqual(listIncompleteVms(fleet), []);
  assert.ok(stoppedRelay.received - before > 40 * 9, 'its subscribers have returned');
});

test('if all relays of a data centre have stopped, its VMs report to relays of other data centres', () => {
  const fleet = new Fleet(76, 4);
  fleet.run(4);
  for (const vm of fleet.vms) {
    if (vm.received > 4 * 4 && vm.peer.dataCentre === 'dc-1') vm.isStopped = true;
  }
  fleet.run(60);
  assert.deepEqual(listIncompleteVms(fleet), []);
});

test('a data centre that is cut off knows its own load, and is unreachable for the others', () => {
  const fleet = new Fleet(76, 4);
  fleet.run(4);
  const isInside = ({ peer }: FleetVm): boolean => peer.dataCentre === 'dc-2';
  fleet.isCut = (from, to) => isInside(from) !== isInside(to);
  fleet.run(40);
  const inside = fleet.vms.filter(isInside);
  for (const { view } of inside) {
    assert.equal(view.countLive(fleet.nowMs), inside.length - 1);
  }
  const outside = fleet.vms.find((vm) => !isInside(vm));
  assert.ok(outside !== undefined);
  assert.equal(outside.dataCentres.isUnreachable(toBranded('dc-2'), fleet.nowMs), true);
  assert.equal(outside.dataCentres.isUnreachable(toBranded('dc-1'), fleet.nowMs), false);
  fleet.isCut = () => false;
  fleet.run(30);
  assert.deepEqual(listIncompleteVms(fleet), []);
});

test('a VM that is missing in the peer lists of the others is counted at most once', () => {
  for (const count of [7, 76]) {
    const fleet = new Fleet(count, 4);
    const [added, ...known] = fleet.vms;
    assert.ok(added !== undefined);
    added.runs = 50;
    for (const vm of known) {
      vm.gossip.setPeers(known.filter((other) => other !== vm).map(({ peer }) => peer));
    }
    fleet.run(5);
    const others = known.length - 1;
    for (const { view, peer } of known) {
      assert.ok([others, others + 50].includes(view.getLoad(ENGINE_HASH).runs), peer.vm);
    }
  }
});

// Guards against VMs that form different estimates of a worker, or count one answer of it twice.
test('a sample of a pace reaches every other VM exactly once', () => {
  for (const count of [7, 76, 195]) {
    const fleet = new Fleet(count, 3);
    fleet.run(4);
    for (const vm of fleet.vms) vm.appliedMessages.length = 0;
    const sample = { kind: SampleKind.OnTime, speed: 1.7, gapMs: undefined };
    for (const [instance, { gossip }] of fleet.vms.entries())
      gossip.addNews({ paceSamples: [{ ...sample, instance }] });
    fleet.run(4);
    for (const [index, vm] of fleet.vms.entries()) {
      const instances = vm.appliedMessages.flatMap(({ paceSamples }) =>
        paceSamples.map(({ instance }) => instance),
      );
      assert.equal(instances.length, count - 1, `${vm.peer.vm} of ${count}`);
      assert.ok(new Set(instances).size === count - 1 && !instances.includes(index));
    }
  }
});

test('a placement reaches every other VM exactly once', () => {
  for (const count of [7, 76]) {
    const fleet = new Fleet(count, 4);
    fleet.run(4);
    for (const source of [fleet.vms[0], fleet.vms.at(-1), fleet.vms[3]]) {
      assert.ok(source !== undefined);
      const placement = {
        engine: ENGINE_HASH,
        parts: [{ id: toBranded<PartId>('p1'), tokens: 9 }],
      };
      for (const vm of fleet.vms) vm.appliedMessages.length = 0;
      source.gossip.addNews({ placements: [placement] });
      fleet.run(4);
      for (const vm of fleet.vms) {
        const receivedCount = vm.appliedMessages.flatMap(({ placements }) => placements).length;
        assert.equal(receivedCount, vm === source ? 0 : 1, `${vm.peer.vm} of ${count}`);
      }
    }
  }
});
