import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MemberState } from '@sardinegrade/fleet';

import { waitUntil } from '../harness/index.js';
import { RealFleet, buildWeightConfiguration } from './RealFleet.js';

import type { LocalAgent } from './RealFleet.js';

const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c', 'dc-d'];
const DAEMONS_PER_DATA_CENTRE = 3;

const applyWeight = async (editor: LocalAgent, weight: number): Promise<number> => {
  const baseGeneration = editor.agent.getConfigurationStatus().generation;
  const record = await editor.agent.applyConfiguration({
    baseGeneration,
    author: 'ann',
    changeId: `change-${weight}`,
    text: buildWeightConfiguration(weight),
  });
  return record.generation;
};

const startDaemons = async (fleet: RealFleet): Promise<void> => {
  for (const dataCentre of DATA_CENTRES) {
    const indices = Array.from({ length: DAEMONS_PER_DATA_CENTRE }, (_, index) => index);
    await Promise.all(
      indices.map((index) => fleet.startDaemon(`${dataCentre}-${index}`, dataCentre)),
    );
  }
};

test('12 daemons in 4 data centres: platform outage, suspended data centre, silent connections, crash, restart and shutdown', async (context) => {
  const fleet = await RealFleet.open();
  context.after(() => fleet.stop());
  const editor = await fleet.startAgent('editor', 'dc-a');
  await startDaemons(fleet);
  const total = DATA_CENTRES.length * DAEMONS_PER_DATA_CENTRE + 1;
  await waitUntil(
    'all daemons have joined',
    () => editor.agent.getMembers().length === total,
    120_000,
  );

  await fleet.waitForGeneration(await applyWeight(editor, 1));

  // A VM that starts during a platform outage receives the configuration from its peers.
  fleet.platform.platform.setBehaviour({ outage: true });
  await fleet.startDaemon('late', 'dc-b');
  await fleet.waitForGeneration(1);
  await assert.rejects(applyWeight(editor, 2), /down|503|unavailable/i);
  fleet.platform.platform.setBehaviour({ outage: false });

  // A data centre whose daemons are suspended misses a change and receives it after they resume.
  const suspended = [...fleet.daemons.keys()].filter((vm) => vm.startsWith('dc-d'));
  const others = [...fleet.daemons.keys()].filter((vm) => !suspended.includes(vm));
  for (const vm of suspended) fleet.getDaemon(vm).process.sendSignal('SIGSTOP');
  await waitUntil(
    'the suspended data centre is unreachable',
    () => {
      const member = editor.agent.getMembers().find(({ vm }) => vm === suspended[0]);
      assert.ok(
        member !== undefined,
        'a daemon of an unreachable data centre was removed from the members',
      );
      return !editor.agent.isReachable(member.dataCentre);
    },
    120_000,
  );
  const second = await applyWeight(editor, 2);
  await fleet.waitForGeneration(second, others);
  for (const vm of suspended) fleet.getDaemon(vm).process.sendSignal('SIGCONT');
  await fleet.waitForGeneration(second);

  // A daemon whose open connections go silent stays a member, since new connections work.
  const mutedDaemon = fleet.getDaemon('dc-a-1');
  mutedDaemon.proxy.pauseExisting();
  const third = await applyWeight(editor, 3);
  await fleet.waitForGeneration(third);
  await fleet.waitForMemberState(editor, mutedDaemon.vm, [MemberState.Alive]);

  // A crashed daemon is removed; after its restart it rejoins without state at its old address.
  const crashedDaemon = fleet.getDaemon('dc-a-2');
  await crashedDaemon.process.abort();
  await fleet.waitForMemberState(editor, crashedDaemon.vm, [undefined]);
  await fleet.startDaemon(crashedDaemon.vm, crashedDaemon.dataCentre, crashedDaemon);
  await fleet.waitForMemberState(editor, crashedDaemon.vm, [MemberState.Alive]);
  await fleet.waitForGeneration(third);

  // A daemon that receives SIGTERM announces that it is leaving, and exits.
  const leavingDaemon = fleet.getDaemon('dc-c-0');
  leavingDaemon.process.sendSignal('SIGTERM');
  assert.equal(await leavingDaemon.process.exited, 0, leavingDaemon.process.stderr);
  await fleet.waitForMemberState(editor, leavingDaemon.vm, [MemberState.Leaving, undefined]);
  assert.equal(fleet.countGenerationDecreases(), 0);
});
