import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createRandomSource } from '@sardinegrade/dispatch';

import { buildPlan } from './buildPlan.js';
import { describePrograms, describeViolations } from './describePrograms.js';
import { SoakCaller } from './SoakCaller.js';
import { SoakEnvironment } from './SoakEnvironment.js';

import type { PlannedAction, SoakAction } from './buildPlan.js';
import type { Violation } from './SoakLedger.js';
import type { EnvironmentOptions } from './SoakEnvironment.js';

/** Seed, length and environment of a soak. */
export interface SoakOptions extends EnvironmentOptions {
  readonly seed: number;
  readonly lengthMs: number;
  readonly callers: number;
  /** The only action that is performed; undefined for all. */
  readonly only?: SoakAction | undefined;
  /** Stops the soak early, such as on SIGINT. */
  readonly signal?: AbortSignal;
}

/** Result of a soak. */
export interface SoakResult {
  readonly plan: readonly PlannedAction[];
  readonly statuses: ReadonlyMap<number, number>;
  readonly violations: readonly Violation[];
  /** What the rules about single faults have counted, one line each. */
  readonly counts: readonly string[];
  /** Folder with the logs of the VMs; removed if there are no violations. */
  readonly folder: string;
}

/** Path of the program of the VMs, the bundle that `npm run soak` builds. */
export const BUNDLE_PATH = 'target/sardinegradeRole.js';

/** Time for the VMs to start before callers send requests, in milliseconds. */
const VM_STARTUP_MS = 1_500;

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
  environment: SoakEnvironment,
  plan: readonly PlannedAction[],
  signal: AbortSignal | undefined,
): Promise<void> => {
  const startMs = performance.now();
  const running: Promise<void>[] = [];
  for (const planned of plan) {
    await sleep(planned.atMs - (performance.now() - startMs), signal);
    if (signal?.aborted === true) return;
    running.push(environment.perform(planned));
  }
  await Promise.all(running);
};

/**
 * Runs the real programs under a seeded series of faults and checks the requests of callers and workers against the rules.
 *
 * @param options - seed, length and environment
 * @returns the plan, the answers by status and the violations
 */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, lengthMs, callers, only, signal } = options;
  const folder = mkdtempSync(join(tmpdir(), 'sardinegrade-soak-'));
  const plan = buildPlan(seed, lengthMs, only);
  const environment = new SoakEnvironment();
  try {
    await environment.start(options, folder);
    await sleep(VM_STARTUP_MS, signal);
    const { ledger, getVersion, getPoisonedPart } = environment;
    const { isStable, isStoreStable, hasReferenceVm } = environment;
    const soakCallers = Array.from(
      { length: callers },
      (_, index) =>
        new SoakCaller({
          name: `c${index}`,
          index,
          vms: environment.vms,
          ledger,
          random: createRandomSource(seed * 1_000 + index),
          getVersion,
          getPoisonedPart,
          isStable,
          isStoreStable,
          hasReferenceVm,
        }),
    );
    const calls = soakCallers.map((caller) => caller.run());
    const planDone = performPlan(environment, plan, signal);
    await sleep(lengthMs, signal);
    for (const caller of soakCallers) caller.stop();
    await Promise.all(calls);
    if (signal?.aborted !== true) await planDone;
  } finally {
    await environment.stop();
  }
  const violations = [...environment.listUnexpectedEnds(), ...environment.ledger.listViolations()];
  if (violations.length === 0) rmSync(folder, { recursive: true });
  const { ledger } = environment;
  const { vms } = environment;
  const findAnswer = ledger.findAnswer.bind(ledger);
  const counts = [
    ...ledger.describeCounts(),
    ...describePrograms(vms),
    ...describeViolations(violations, vms, findAnswer),
  ];
  return { plan, statuses: ledger.countStatuses(), violations, counts, folder };
};
