import type { StandIn } from '../standins/index.js';

/**
 * Announces a stand-in on standard output and stops it on SIGTERM or SIGINT.
 *
 * @param standIn - the stand-in, listening
 * @param further - further fields of the announcement
 */
export const keepRunning = (
  standIn: StandIn,
  further: Readonly<Record<string, unknown>> = {},
): void => {
  const announcement = { event: 'listening', address: standIn.address, ...further };
  process.stdout.write(`${JSON.stringify(announcement)}\n`);
  const stop = (): void => {
    standIn.stop().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
};

/** Ends the process as a crash does, without any clean-up. */
export const stopCrashed = (): void => {
  process.kill(process.pid, 'SIGKILL');
};
