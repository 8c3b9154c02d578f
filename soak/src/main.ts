import { cac } from 'cac';

import { SoakAction } from './buildPlan.js';
import { BUNDLE_PATH, runSoak } from './runSoak.js';

import type { SoakResult } from './runSoak.js';

const MS_PER_MINUTE = 60_000;

/** Maximum violations printed per run. */
const MAX_PRINTED_VIOLATIONS = 20;

const program = cac('soak');
program
  .option('--seed <seed>', 'First seed', { default: 1 })
  .option('--seeds <count>', 'How many seeds to run, one after another', { default: 1 })
  .option('--minutes <minutes>', 'Length of each run', { default: 0.5 })
  .option('--vms <count>', 'Processes of the daemon', { default: 4 })
  .option('--workers <count>', 'Workers', { default: 4 })
  .option('--callers <count>', 'Callers', { default: 16 })
  .option('--role <file>', 'Program of the VMs', { default: BUNDLE_PATH })
  .option('--older-role <file>', 'Program of an older build, which runs beside the other one')
  .option('--only <action>', 'Performs only this action, such as cut_vms_from_workers')
  .option('--subnet <number>', 'VMs listen on 127.x.NUMBER.x', { default: 1 })
  .help();
const { options } = program.parse();

const abort = new AbortController();
process.once('SIGINT', () => abort.abort());

const printResult = (seed: number, result: SoakResult): void => {
  const statuses = [...result.statuses].map(([status, count]) => `${status}: ${count}`).join(', ');
  const verdict = result.violations.length === 0 ? 'passed' : 'FAILED';
  console.log(`seed ${seed}: ${verdict}; ${result.plan.length} actions; answers ${statuses}`);
  for (const line of result.counts) console.log(`  ${line}`);
  const [first] = result.violations;
  if (first === undefined) return;
  console.log(`  ${result.violations.length} violations; by rule and request:`);
  for (const { rule, requestId, detail } of result.violations.slice(0, MAX_PRINTED_VIOLATIONS)) {
    console.log(`  ${rule}: request ${requestId}, ${detail}`);
  }
  console.log(`  sardinegrade explain ${first.requestId} --log=LOG, logs in ${result.folder}`);
  for (const { atMs, action, target, durationMs } of result.plan) {
    console.log(`  ${atMs} ms: ${action}, target ${target.toFixed(2)}, for ${durationMs} ms`);
  }
};

const parseAction = (name: unknown): SoakAction | undefined => {
  if (name === undefined) return undefined;
  const action = Object.values(SoakAction).find((known) => known === name);
  if (action !== undefined) return action;
  throw new Error(`Unknown action; --only takes one of: ${Object.values(SoakAction).join(', ')}.`);
};

const only = parseAction(options.only);
const first = Number(options.seed);
let failed = 0;
for (let seed = first; seed < first + Number(options.seeds); seed += 1) {
  if (abort.signal.aborted) break;
  const result = await runSoak({
    seed,
    lengthMs: Number(options.minutes) * MS_PER_MINUTE,
    vms: Number(options.vms),
    workers: Number(options.workers),
    callers: Number(options.callers),
    only,
    programPath: String(options.role),
    olderProgramPath: options.olderRole === undefined ? undefined : String(options.olderRole),
    subnet: Number(options.subnet),
    signal: abort.signal,
  });
  printResult(seed, result);
  if (result.violations.length > 0) failed += 1;
}
process.exitCode = failed === 0 ? 0 : 1;
