import { RecentWindow } from './RecentWindow.js';

import type { Clock } from '../time/index.js';
import type { Attainment } from './types.js';

interface AttainmentHalf {
  requests: number;
  attained: number;
}

const createHalf = (): AttainmentHalf => ({ requests: 0, attained: 0 });

/** Counts the requests that ended within the recent window and those of them that met their latency targets. */
export class AttainmentWindow {
  readonly #window: RecentWindow<AttainmentHalf>;

  constructor(clock: Clock) {
    this.#window = new RecentWindow(clock, createHalf);
  }

  /**
   * Records the end of a request.
   *
   * @param isAttained - whether the answer was complete and met the latency targets
   */
  record(isAttained: boolean): void {
    const half = this.#window.current;
    half.requests += 1;
    if (isAttained) half.attained += 1;
  }

  /** @returns the totals of both halves of the window */
  describe(): Attainment {
    let requests = 0;
    let attained = 0;
    for (const half of this.#window.halves) {
      requests += half.requests;
      attained += half.attained;
    }
    return { requests, attained, share: requests === 0 ? undefined : attained / requests };
  }
}
