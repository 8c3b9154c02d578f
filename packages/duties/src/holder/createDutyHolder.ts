import { LogLimit } from '@sardinegrade/common';
import { createLeaseAgent, LeaseEventKind, LeasePhase } from '@sardinegrade/lease';

import { createDutyTimings, DUTY_LEASE_NAME, SILENCE_PAUSE_MS } from './constants.js';
import { PermitRefusal } from './enums.js';
import { findPermitRefusal } from './permit.js';
import { NO_SILENCE, recordResponse, shouldRelease } from './silence.js';
import { checkClocks, NO_SUSPENSION } from './suspension.js';

import type { Clock, Logger } from '@sardinegrade/common';
import type {
  LeaseAgent,
  LeaseAgentOptions,
  LeasePlatform,
  LeaseTimings,
} from '@sardinegrade/lease';
import type { DutyHolder, DutyPermit } from '../types.js';

/** Dependencies of the choice of the VM that makes the calls. */
export interface DutyHolderOptions {
  readonly platform: LeasePlatform;
  /** Kind of the lease object in the store. */
  readonly kind: string;
  /** Name of this VM. */
  readonly vm: string;
  /** Time within which no VM may act again after another one has acted, in milliseconds. */
  readonly leaseMs: number;
  /** Must be monotonic. */
  readonly clock: Clock;
  readonly wallClock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
  /** Whether this VM may hold the duties at present. */
  readonly isCandidate: () => boolean;
  /** Called when calls in progress must be ended at once, so that their bytes cannot arrive later. */
  readonly onSuspected: () => void;
  readonly confirm?: LeaseAgentOptions['confirm'];
}

/** The duty holder, and what its owner has to call. */
export interface RunningDutyHolder extends DutyHolder {
  /** Reads, renews, expires or releases the lease if due; called several times a second. */
  readonly tick: () => void;
  /** Records how a call to the API ended. */
  readonly recordCall: (hasResponse: boolean) => void;
  /** Gives no permit from now on, for good. */
  readonly stopCalls: () => void;
  /** Releases the lease for good. No call may be in progress any more. Resolves once the release is written or has failed. */
  readonly release: () => Promise<void>;
}

const HELD_PHASES: ReadonlySet<LeasePhase> = new Set([LeasePhase.Settling, LeasePhase.Holding]);

const LOSS_CAUSES: Readonly<Partial<Record<LeaseEventKind, string>>> = {
  [LeaseEventKind.Tick]: 'no renewal was confirmed in time',
  [LeaseEventKind.Written]: 'the store was restored from an older copy',
  [LeaseEventKind.WriteConflict]: 'the lease object in the store has another version',
  [LeaseEventKind.Fenced]: 'a higher fencing number was seen',
  [LeaseEventKind.Pause]: 'this VM released it for the time being',
  [LeaseEventKind.Stop]: 'this VM stops',
};

/** Number of read-backs of a write without an answer: more would outlast the lease. */
const CONFIRM_ATTEMPTS = 1;

class LeasedDutyHolder implements RunningDutyHolder {
  readonly #options: DutyHolderOptions;
  readonly #timings: LeaseTimings;
  readonly #lease: LeaseAgent;
  readonly #logLimit: LogLimit;
  #suspension = NO_SUSPENSION;
  #silence = NO_SILENCE;
  #isLeaving = false;
  #unreadableVersion: number | undefined;

  constructor(options: DutyHolderOptions) {
    this.#options = options;
    this.#logLimit = new LogLimit(() => this.#getNowMs());
    this.#timings = createDutyTimings(options.leaseMs);
    this.#lease = createLeaseAgent({
      platform: options.platform,
      clock: options.clock,
      random: options.random,
      kind: options.kind,
      name: DUTY_LEASE_NAME,
      holder: options.vm,
      timings: this.#timings,
      confirm: { attempts: CONFIRM_ATTEMPTS, ...options.confirm },
      onPhase: (phase, previous, cause) => this.#logPhase(phase, previous, cause),
      onError: (error) => this.#logError(error),
      onUnreadable: (version) => this.#logUnreadable(version),
    });
  }

  readonly isHolder = (): boolean => HELD_PHASES.has(this.#lease.getPhase());

  readonly claimPermit = (): DutyPermit | undefined => {
    this.#checkClocks();
    const fence = this.#lease.getFencing();
    return fence === undefined || this.#findRefusal(fence) !== undefined ? undefined : { fence };
  };

  readonly tick = (): void => {
    this.#checkClocks();
    const isCandidate = this.#options.isCandidate();
    if (this.isHolder()) this.#tickHeld(isCandidate);
    if (isCandidate || this.#lease.getPhase() !== LeasePhase.Standby) this.#lease.tick();
  };

  readonly recordCall = (hasResponse: boolean): void => {
    this.#silence = recordResponse(this.#silence, hasResponse, this.#getNowMs());
  };

  readonly stopCalls = (): void => {
    this.#isLeaving = true;
  };

  readonly release = async (): Promise<void> => {
    this.#isLeaving = true;
    await this.#lease.release();
  };

  #getNowMs(): number {
    return this.#options.clock.getNowMs();
  }

  #checkClocks(): void {
    const previous = this.#suspension.suspectedAtMs;
    const reading = {
      monotonicMs: this.#getNowMs(),
      wallMs: this.#options.wallClock.getNowMs(),
    };
    const { durationMs } = this.#timings;
    this.#suspension = checkClocks(this.#suspension, reading, durationMs);
    if (this.#suspension.suspectedAtMs === previous) return;
    this.#options.onSuspected();
    if (!this.isHolder()) return;
    this.#options.logger.warn(
      'duties pause until the lease is renewed: this VM may have been suspended, or its clock was set',
    );
  }

  #findRefusal(fence: number | undefined): PermitRefusal | undefined {
    return findPermitRefusal({
      fence,
      confirmedAtMs: this.#lease.getConfirmedAtMs(),
      suspectedAtMs: this.#suspension.suspectedAtMs,
      isLeaving: this.#isLeaving,
    });
  }

  /** Releases the lease if another VM should make the calls, or renews it early if that is needed for a permit. */
  #tickHeld(isCandidate: boolean): void {
    const nowMs = this.#getNowMs();
    if (!isCandidate) {
      this.#pause(nowMs, 'this VM is no longer a candidate');
    } else if (shouldRelease(this.#silence)) {
      this.#pause(nowMs + SILENCE_PAUSE_MS, 'the API has not responded to this VM');
      this.#silence = NO_SILENCE;
    } else if (this.#findRefusal(this.#lease.getFencing()) === PermitRefusal.Suspended) {
      this.#lease.renew();
    }
  }

  #pause(untilMs: number, cause: string): void {
    this.#options.logger.info(`duties released: ${cause}`, {
      inputs: { silentCalls: this.#silence.count },
    });
    this.#options.onSuspected();
    this.#lease.pause(untilMs);
  }

  #logPhase(phase: LeasePhase, previous: LeasePhase, cause: LeaseEventKind): void {
    const { logger } = this.#options;
    if (phase === LeasePhase.Settling) {
      // Failures of an earlier time as the holder say nothing about the API's present state.
      this.#silence = NO_SILENCE;
      logger.info('lease of the duties acquired');
    } else if (phase === LeasePhase.Holding) {
      logger.info('duties begin: no call of an earlier holder can be in progress', {
        inputs: { fence: this.#lease.getFencing() },
      });
    } else if (HELD_PHASES.has(previous)) {
      logger.info(`lease of the duties given up: ${LOSS_CAUSES[cause] ?? cause}`);
      this.#options.onSuspected();
    } else if (previous === LeasePhase.Pausing || previous === LeasePhase.Releasing) {
      const isWritten = cause === LeaseEventKind.Written;
      logger.info(isWritten ? 'lease of the duties released' : 'lease of the duties not released', {
        inputs: { cause },
      });
    }
  }

  /** Limits the rate of warnings: an outage of the store would otherwise fill the log. */
  #logError(error: unknown): void {
    if (this.#logLimit.record('store') === undefined) return;
    this.#options.logger.warn('call to the store for the lease of the duties failed', { error });
  }

  #logUnreadable(version: number): void {
    if (this.#unreadableVersion === version) return;
    this.#unreadableVersion = version;
    this.#options.logger.warn(
      'lease of the duties cannot be read: it counts as held by another VM until it expires',
      { inputs: { version } },
    );
  }
}

/**
 * Creates this VM's part in the choice of the VM that makes the calls.
 *
 * @param options - the store, the clocks and this VM's name
 * @returns the holder, on standby; its owner calls `tick` several times a second
 */
export const createDutyHolder = (options: DutyHolderOptions): RunningDutyHolder =>
  new LeasedDutyHolder(options);
