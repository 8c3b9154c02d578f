import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MemberState } from '@sardinegrade/fleet';

import { waitUntil } from '../harness/index.js';
import { RealFleet, createWeightText } from './RealFleet.js';

import type { LocalAgent } from './RealFleet.js';

const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c', 'dc-d'];
const DAEMONS_PER_DATA_CENTRE = 3;

const apply = async (editor: LocalAgent, weight: number): Promise<number> => {
  const baseGeneration = editor.agent.getConfigurationStatus().generation;
  const record = await editor.agent.applyConfiguration({
    baseGeneration,
    author: 'ann',
    changeId: `change-${weight}`,
    text: createWeightText(weight),
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

test('12 daemons in 4 data centres: outage, cut-off, silence, crash, return and leave', async (context) => {
  const fleet = await RealFleet.open();
  context.after(() => fleet.stop());
  const editor = await fleet.startAgent('editor', 'dc-a');
  await startDaemons(fleet);
  const total = DATA_CENTRES.length * DAEMONS_PER_DATA_CENTRE + 1;
  await waitUntil('all have joined', () => editor.agent.getMembers().length === total, 120_000);

  await fleet.waitInForce(await apply(editor, 1));

  // During an outage of the platform a new VM takes what its peers have.
  fleet.platform.platform.setBehaviour({ outage: true });
  await fleet.startDaemon('late', 'dc-b');
  await fleet.waitInForce(1);
  await assert.rejects(apply(editor, 2), /down|503|unavailable/i);
  fleet.platform.platform.setBehaviour({ outage: false });

  // A data centre that stands still misses a change and catches up.
  const stopped = [...fleet.daemons.keys()].filter((vm) => vm.startsWith('dc-d'));
  const others = [...fleet.daemons.keys()].filter((vm) => !stopped.includes(vm));
  for (const vm of stopped) fleet.getDaemon(vm).process.sendSignal('SIGSTOP');
  await waitUntil(
    'it is out of reach',
    () => {
      const member = editor.agent.getMembers().find(({ vm }) => vm === stopped[0]);
      assert.ok(member !== undefined, 'a daemon of a data centre out of reach was condemned');
      return !editor.agent.isReachable(member.dataCentre);
    },
    120_000,
  );
  const second = await apply(editor, 2);
  await fleet.waitInForce(second, others);
  for (const vm of stopped) fleet.getDaemon(vm).process.sendSignal('SIGCONT');
  await fleet.waitInForce(second);

  // Open connections that fall silent do not cost a daemon its membership: new ones work.
  const silent = fleet.getDaemon('dc-a-1');
  silent.proxy.pauseExisting();
  const third = await apply(editor, 3);
  await fleet.waitInForce(third);
  await fleet.waitMember(editor, silent.vm, [MemberState.Alive]);

  // A crash is noticed, and the VM comes back empty with its old address.
  const crashed = fleet.getDaemon('dc-a-2');
  await crashed.process.abort();
  await fleet.waitMember(editor, crashed.vm, [undefined]);
  await fleet.startDaemon(crashed.vm, crashed.dataCentre, crashed);
  await fleet.waitMember(editor, crashed.vm, [MemberState.Alive]);
  await fleet.waitInForce(third);

  // One that is told to end says so and ends.
  const leaving = fleet.getDaemon('dc-c-0');
  leaving.process.sendSignal('SIGTERM');
  assert.equal(await leaving.process.exited, 0, leaving.process.stderr);
  await fleet.waitMember(editor, leaving.vm, [MemberState.Leaving, undefined]);
  assert.equal(fleet.countReverts(), 0);
});
