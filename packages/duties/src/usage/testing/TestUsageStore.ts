import type { DutyRecord, DutyStore } from '../../types.js';

interface StoreState {
  readonly value: unknown;
  /** 0 while the object does not exist. */
  readonly revision: number;
}

/** How a call and its answer travel; undefined times mean that they are lost. */
export interface Journey {
  readonly toStoreMs: number;
  readonly backMs: number | undefined;
}

/** Schedules for a VM, whose process may end meanwhile, or for the store itself. */
export type Schedule = (delayMs: number, run: () => void) => void;

/** Store with one object. After a restore its revisions repeat soon, since only this object's writes raise them. */
export class TestUsageStore {
  #states: readonly StoreState[] = [{ value: undefined, revision: 0 }];
  #era = 0;

  /** Restores an older copy. */
  restore(stepsBack: number): void {
    this.#states = this.#states.slice(0, Math.max(1, this.#states.length - stepsBack));
    this.#era += 1;
  }

  get #state(): StoreState {
    return this.#states.at(-1) ?? { value: undefined, revision: 0 };
  }

  #write(value: unknown, version: number | undefined): number | undefined {
    const { revision } = this.#state;
    if (revision !== (version ?? 0)) return undefined;
    this.#states = [...this.#states, { value, revision: revision + 1 }];
    return revision + 1;
  }

  /** Connects a VM. Calls travel as `plan` says; what is lost rejects. */
  connect(plan: () => Journey, schedule: Schedule, scheduleAnswer: Schedule): DutyStore {
    let knownEra = 0;
    const call = <Result>(perform: () => Result): Promise<Result> =>
      new Promise((resolve, reject) => {
        const { toStoreMs, backMs } = plan();
        schedule(toStoreMs, () => {
          const result = perform();
          const era = this.#era;
          if (backMs === undefined) return;
          scheduleAnswer(backMs, () => {
            knownEra = Math.max(knownEra, era);
            resolve(result);
          });
        });
        if (backMs === undefined) scheduleAnswer(800, () => reject(new Error('no answer')));
      });
    return {
      getEra: () => knownEra,
      read: () =>
        call((): DutyRecord | undefined => {
          const { value, revision } = this.#state;
          return revision === 0 ? undefined : { value, version: revision };
        }),
      write: (_name, value, version) => call(() => this.#write(value, version)),
    };
  }
}
