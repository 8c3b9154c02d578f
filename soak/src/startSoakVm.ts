import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { BUNDLE_PATH } from './runSoak.js';
import { SoakVm } from './SoakVm.js';

import type { TestContext } from 'node:test';
import type { SoakVmOptions } from './SoakVm.js';

/**
 * Starts the bundled program as the VM of a test, with a folder of its own.
 *
 * @param context - the test, after which the process is ended and its folder removed
 * @param options - name, addresses and port of the store
 * @returns the VM, which may not serve yet
 */
export const startSoakVm = (
  context: TestContext,
  options: Pick<SoakVmOptions, 'name' | 'ip' | 'ports' | 'storePort' | 'limits'>,
): SoakVm => {
  const folder = mkdtempSync(join(tmpdir(), 'sardinegrade-vm-'));
  const vm = new SoakVm({ ...options, folder, programPath: BUNDLE_PATH });
  vm.start();
  context.after(async () => {
    await vm.abort();
    rmSync(folder, { recursive: true });
  });
  return vm;
};
