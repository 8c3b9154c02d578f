import { cac } from 'cac';

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
  .option('--subnet <number>', 'VMs listen on 127.0.NUMBER.x', { default: 1 })
  .help();
const { options } = program.parse();

const abort = new AbortController();
process.once('SIGINT', () => abort.abort());

const printResult = (seed: number, result: SoakResult): void => {
  const statuses = [...result.statuses].map(([status, count]) => `${status}: ${count}`).join(', ');
  const verdict = result.violations.length === 0 ? 'passed' : 'FAILED';
  console.log(`seed ${seed}: ${verdict}; ${result.plan.length} actions; answers ${statuses}`);
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
    programPath: String(options.role),
    subnet: Number(options.subnet),
    signal: abort.signal,
  });
  printResult(seed, result);
  if (result.violations.length > 0) failed += 1;
}
process.exitCode = failed === 0 ? 0 : 1;
