import { CONFIGURATION_KIND, CONFIGURATION_NAME, decodeRecord } from '@sardinegrade/fleet';

import type { PlatformClient } from '@sardinegrade/platform';

/** A generation and the time at which a poller first read it. */
export interface GenerationObservation {
  readonly generation: number;
  readonly atMs: number;
}

/** Polls the configuration from the platform at a fixed interval: the baseline of the benchmark. */
export class NaivePoller {
  readonly observations: GenerationObservation[] = [];
  private readonly platform: Pick<PlatformClient, 'read'>;
  private readonly intervalMs: number;
  private timer: NodeJS.Timeout | undefined;
  private isRunning = false;

  constructor(platform: Pick<PlatformClient, 'read'>, intervalMs: number) {
    this.platform = platform;
    this.intervalMs = intervalMs;
  }

  /** Starts polling after a delay, so that many pollers do not read at the same time. */
  start(afterMs: number): void {
    this.isRunning = true;
    this.timer = setTimeout(() => void this.readCurrent(), afterMs);
  }

  stop(): void {
    this.isRunning = false;
    clearTimeout(this.timer);
  }

  getGeneration(): number {
    return this.observations.at(-1)?.generation ?? 0;
  }

  private async readCurrent(): Promise<void> {
    const object = await this.platform
      .read(CONFIGURATION_KIND, CONFIGURATION_NAME)
      .catch(() => undefined);
    const generation = decodeRecord(object?.value)?.generation;
    if (generation !== undefined && generation !== this.getGeneration()) {
      this.observations.push({ generation, atMs: Date.now() });
    }
    if (!this.isRunning) return;
    this.timer = setTimeout(() => void this.readCurrent(), this.intervalMs);
  }
}
