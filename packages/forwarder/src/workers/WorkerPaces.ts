import { PaceTable } from '@sardinegrade/routing';

import { hashInstance } from './hashInstance.js';

import type { Logger, ServiceName } from '@sardinegrade/common';
import type { PaceSample, Worker, WorkerPace } from '@sardinegrade/routing';
import type { WorkerRecord } from './WorkerFleet.js';

/** Speeds, as multiples of the median of the service's workers, outside of which a worker is logged. */
const MIN_USUAL_SPEED = 0.5;
const MAX_USUAL_SPEED = 2;

/** Dependencies of `WorkerPaces`. */
export interface WorkerPacesOptions {
  readonly logger: Logger;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  readonly listWorkers: () => readonly Worker[];
}

/** A worker and its learned pace. */
export interface NamedPace {
  readonly worker: Worker;
  readonly pace: WorkerPace;
}

const listByService = (workers: readonly Worker[]): readonly (readonly number[])[] => {
  const groups = new Map<ServiceName, number[]>();
  for (const worker of workers) {
    const group = groups.get(worker.service) ?? [];
    group.push(hashInstance(worker));
    groups.set(worker.service, group);
  }
  return [...groups.values()];
};

/** The learned paces of workers: what this VM and the others have measured. */
export class WorkerPaces {
  readonly #table = new PaceTable();
  /** Instances that were logged as unusually fast or slow. */
  #unusual: ReadonlySet<number> = new Set();
  /** Called with each sample that this VM has measured. */
  onSample: (sample: PaceSample) => void = () => undefined;

  /** @param options - dependencies */
  constructor(private readonly options: WorkerPacesOptions) {}

  /** @returns the learned pace of a worker */
  get({ instance }: Pick<WorkerRecord, 'instance'>): WorkerPace {
    return this.#table.get(instance);
  }

  /** Records a sample that this VM has measured. */
  record(sample: PaceSample): void {
    this.#table.apply([sample], this.options.getNowMs());
    this.onSample(sample);
  }

  /** Applies samples that other VMs have measured. */
  applyReports(samples: readonly PaceSample[]): void {
    this.#table.apply(samples, this.options.getNowMs());
  }

  /** Takes over what another VM knows, when this one has started. */
  restore(samples: readonly PaceSample[]): void {
    const nowMs = this.options.getNowMs();
    this.#table.restore(samples, nowMs);
    if (samples.length > 0) this.update();
  }

  /** @returns all known samples, in groups of one worker instance each */
  list(): readonly (readonly PaceSample[])[] {
    return this.#table.list();
  }

  /** Estimates all paces anew; called every second. */
  update(): void {
    const services = listByService(this.options.listWorkers());
    this.#table.update(services, this.options.getNowMs());
    this.#logUnusual();
  }

  /** @returns the workers of whose speed something is known */
  listKnown(): readonly NamedPace[] {
    return this.options
      .listWorkers()
      .map((worker) => ({ worker, pace: this.#table.get(hashInstance(worker)) }))
      .filter(({ pace }) => pace.evidence > 0);
  }

  #logUnusual(): void {
    const unusual = new Set<number>();
    for (const { worker, pace } of this.listKnown()) {
      if (pace.speed >= MIN_USUAL_SPEED && pace.speed <= MAX_USUAL_SPEED) continue;
      const instance = hashInstance(worker);
      unusual.add(instance);
      if (this.#unusual.has(instance)) continue;
      this.options.logger.info(
        'worker is less than half or more than twice as fast as the median',
        {
          upstream: worker.id,
          service: worker.service,
          inputs: { speed: pace.speed, gap_ms: pace.gapMs, samples: Math.round(pace.evidence) },
        },
      );
    }
    this.#unusual = unusual;
  }
}
