import { CONFIGURATION_KIND, CONFIGURATION_NAME, decodeRecord } from '@sardinegrade/fleet';

import type { PlatformClient } from '@sardinegrade/platform';

/** When a poller saw a generation for the first time. */
export interface PollerSighting {
  readonly generation: number;
  readonly atMs: number;
}

/** The naive way: every daemon reads the configuration from the platform again and again. */
export class NaivePoller {
  readonly sightings: PollerSighting[] = [];
  private readonly platform: Pick<PlatformClient, 'read'>;
  private readonly intervalMs: number;
  private timer: NodeJS.Timeout | undefined;
  private isRunning = false;

  constructor(platform: Pick<PlatformClient, 'read'>, intervalMs: number) {
    this.platform = platform;
    this.intervalMs = intervalMs;
  }

  /** Begins after a wait, so that many pollers do not read at once. */
  start(afterMs: number): void {
    this.isRunning = true;
    this.timer = setTimeout(() => void this.readCurrent(), afterMs);
  }

  stop(): void {
    this.isRunning = false;
    clearTimeout(this.timer);
  }

  getGeneration(): number {
    return this.sightings.at(-1)?.generation ?? 0;
  }

  private async readCurrent(): Promise<void> {
    const object = await this.platform
      .read(CONFIGURATION_KIND, CONFIGURATION_NAME)
      .catch(() => undefined);
    const generation = decodeRecord(object?.value)?.generation;
    if (generation !== undefined && generation !== this.getGeneration()) {
      this.sightings.push({ generation, atMs: Date.now() });
    }
    if (!this.isRunning) return;
    this.timer = setTimeout(() => void this.readCurrent(), this.intervalMs);
  }
}
