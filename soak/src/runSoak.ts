import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createRandomSource } from '@sardinegrade/dispatch';

import { buildPlan } from './buildPlan.js';
import { SoakCaller } from './SoakCaller.js';
import { SoakSite } from './SoakSite.js';

import type { PlannedAction } from './buildPlan.js';
import type { Violation } from './SoakLedger.js';
import type { SiteSize } from './SoakSite.js';

/** Size and length of a soak. */
export interface SoakOptions extends SiteSize {
  readonly seed: number;
  readonly lengthMs: number;
  readonly callers: number;
  /** Stops it early, as at an interrupt. */
  readonly signal?: AbortSignal;
}

/** What a soak found. */
export interface SoakResult {
  readonly plan: readonly PlannedAction[];
  readonly statuses: ReadonlyMap<number, number>;
  readonly violations: readonly Violation[];
  /** Folder of the VMs' logs; kept where something was found. */
  readonly folder: string;
}

/** The bundle that `npm run soak` builds. */
export const BUILT_ROLE = 'target/sardinegradeRole.js';

/** Time for the VMs to start before callers come, in milliseconds. */
const START_MS = 1_500;

const sleep = (durationMs: number, signal: AbortSignal | undefined): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, durationMs);
    signal?.addEventListener('abort', finish);
  });

const performPlan = async (
  site: SoakSite,
  plan: readonly PlannedAction[],
  signal: AbortSignal | undefined,
): Promise<void> => {
  const startMs = performance.now();
  const running: Promise<void>[] = [];
  for (const planned of plan) {
    await sleep(planned.atMs - (performance.now() - startMs), signal);
    if (signal?.aborted === true) return;
    running.push(site.perform(planned));
  }
  await Promise.all(running);
};

/**
 * Runs the real programs under a seeded series of faults and checks what callers and workers see.
 *
 * @param options - seed, length and size
 * @returns what was found
 */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, lengthMs, callers, signal } = options;
  const folder = mkdtempSync(join(tmpdir(), 'sardinegrade-soak-'));
  const plan = buildPlan(seed, lengthMs);
  const site = new SoakSite();
  try {
    await site.start(options, folder);
    await sleep(START_MS, signal);
    const { ledger, getVersion, isCalm } = site;
    const crowd = Array.from(
      { length: callers },
      (_, index) =>
        new SoakCaller({
          name: `c${index}`,
          vms: site.vms,
          ledger,
          random: createRandomSource(seed * 1_000 + index),
          getVersion,
          isCalm,
        }),
    );
    const calls = crowd.map((caller) => caller.run());
    const planDone = performPlan(site, plan, signal);
    await sleep(lengthMs, signal);
    for (const caller of crowd) caller.stop();
    await Promise.all(calls);
    if (signal?.aborted !== true) await planDone;
  } finally {
    await site.stop();
  }
  const violations = [...site.listUnexpectedEnds(), ...site.ledger.listViolations()];
  if (violations.length === 0) rmSync(folder, { recursive: true });
  return { plan, statuses: site.ledger.countStatuses(), violations, folder };
};
