import type { StandIn } from '../standins/index.js';

/**
 * Announces a stand-in on standard output as a JSON line, and stops it and exits on SIGTERM or SIGINT.
 *
 * @param standIn - a stand-in that is listening
 * @param extraFields - additional fields of the announcement
 */
export const serveUntilSignal = (
  standIn: StandIn,
  extraFields: Readonly<Record<string, unknown>> = {},
): void => {
  const announcement = { event: 'listening', address: standIn.address, ...extraFields };
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

/** Kills the process with SIGKILL, which simulates a crash without any cleanup. */
export const abortProcess = (): void => {
  process.kill(process.pid, 'SIGKILL');
};
