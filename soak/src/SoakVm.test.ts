import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import { SoakVm } from './SoakVm.js';

// Guards against two processes on one address: a VM ended by a signal has no exit code and counted as running, so
// two actions restarted it (seen with seed 4 and a run of 24 s).
test('a killed VM has no pid and does not count as an unexpected end', async (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'sardinegrade-vm-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const programPath = join(folder, 'role.mjs');
  writeFileSync(programPath, 'setInterval(() => undefined, 1_000);');
  const ports = { front: 1, ready: 2, peers: 3 };
  const vm = new SoakVm({
    name: 'vm-0',
    ip: '127.0.0.1',
    ports,
    storePort: 4,
    folder,
    programPath,
  });
  assert.equal(vm.pid, undefined);
  vm.start();
  assert.notEqual(vm.pid, undefined);
  await vm.abort();
  assert.equal(vm.pid, undefined);
  assert.equal(vm.unexpectedEnds, 0);
});
