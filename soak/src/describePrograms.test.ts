import assert from 'node:assert/strict';
import { test } from 'node:test';

import { describePrograms, describeViolations } from './describePrograms.js';

import type { ProgramVm, VmProcess } from './describePrograms.js';

const buildVm = (name: string, startedPrograms: readonly string[]): ProgramVm => ({
  options: { name },
  startedPrograms: [...startedPrograms],
});

const VMS = [buildVm('vm-0', ['older', 'newer']), buildVm('vm-1', ['newer'])];

const PROCESSES: Readonly<Record<string, VmProcess>> = {
  r1: { vm: 'vm-0', vmStartCount: 1 },
  r2: { vm: 'vm-0', vmStartCount: 2 },
  r3: { vm: 'vm-1', vmStartCount: 1 },
};

// Guards against a fault of the current build that is taken for one of the build before it.
test('violations are counted by the program that the VM ran when it answered', () => {
  const violations = ['r1', 'r2', 'r3', '-'].map((requestId) => ({
    rule: 'drain',
    requestId,
    detail: '',
  }));
  const lines = describeViolations(violations, VMS, (id) => PROCESSES[id]);
  assert.deepEqual(lines, [
    '1 violations of drain, older',
    '2 violations of drain, newer',
    '1 violations of drain, no single VM',
  ]);
});

test('VMs that all run one program are not described', () => {
  const vms = [buildVm('vm-0', ['newer', 'newer'])];
  assert.deepEqual(describePrograms(vms), []);
  const violation = { rule: 'drain', requestId: 'r1', detail: '' };
  assert.deepEqual(
    describeViolations([violation], vms, (id) => PROCESSES[id]),
    [],
  );
});
