import assert from 'node:assert/strict';
import { existsSync } from 'node:fs';
import { test } from 'node:test';

import { readCounts, sendControl } from './control.js';
import { ProcessGroup } from './ProcessGroup.js';
import { waitUntil } from './waitUntil.js';

const isAlive = (pid: number): boolean => {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
};

test('processes read their settings file, crash on request and are all stopped with the group', async () => {
  const group = new ProcessGroup();
  try {
    const file = group.writeFile('lab.ini', '[engine]\nslots = 3\n');
    const first = await group.start('lab', 'engine', ['engine', '--config', file]);
    const second = await group.start('lab', 'engine', ['engine']);
    const address = first.getAddress('address');
    assert.equal((await readCounts(address)).received, 0);
    const load = (await (await fetch(`${address}/v1/load`)).json()) as { slots: number };
    assert.equal(load.slots, 3);
    sendControl(address, { crash: true }).catch(() => undefined);
    assert.equal(await first.exited, 'SIGKILL');
    second.sendSignal('SIGSTOP');
    await group.stop();
    await waitUntil(
      'both processes have exited',
      () => !isAlive(first.pid) && !isAlive(second.pid),
    );
    assert.equal(existsSync(file), false);
  } finally {
    await group.stop();
  }
});

test('a process that fails to start reports its standard error', async () => {
  const group = new ProcessGroup();
  await assert.rejects(group.start('lab', 'engine', ['engine', '--slots', 'x']), /--slots/);
  await group.stop();
});
