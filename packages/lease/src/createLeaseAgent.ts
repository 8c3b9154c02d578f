import { randomUUID } from 'node:crypto';

import { WriteOutcome, writeConfirmed } from '@sardinegrade/platform';
import { z } from 'zod';

import { LEASE_KIND, LEASE_TIMINGS } from './constants.js';
import { LeaseActionKind, LeaseEventKind, LeasePhase } from './enums.js';
import { canSendOrder, createLease, reduceLease } from './reduceLease.js';

import type { Clock } from '@sardinegrade/common';
import type { ConfirmOptions, PlatformClient, PlatformObject } from '@sardinegrade/platform';
import type {
  LeaseAction,
  LeaseContext,
  LeaseEvent,
  LeaseObject,
  LeaseState,
  LeaseTimings,
  LeaseValue,
} from './types.js';

/** Reads and conditional writes of the lease object. */
export interface LeasePlatform extends Pick<PlatformClient, 'read' | 'write'> {
  /** Reads an object in a state that may be some seconds old; daemons on standby use it instead of `read`. */
  readonly readStale?: PlatformClient['read'];
}

/** Dependencies of a lease agent. */
export interface LeaseAgentOptions {
  readonly platform: LeasePlatform;
  /** Must be monotonic: the system clock may jump. */
  readonly clock: Clock;
  readonly random: () => number;
  /** Kind of the lease object in the platform; LEASE_KIND if undefined. */
  readonly kind?: string;
  /** Name of the lease object in the platform. */
  readonly name: string;
  /** Name of this daemon; written to the lease for operators. */
  readonly holder: string;
  readonly timings?: LeaseTimings | undefined;
  /** How a write is confirmed whose answer was lost. */
  readonly confirm?: Omit<ConfirmOptions, 'random'>;
  /** Called after each change of the phase, with the event that caused it. */
  readonly onPhase?: (phase: LeasePhase, previous: LeasePhase, cause: LeaseEventKind) => void;
  /** Called with the error of each failed call to the platform. */
  readonly onError?: (error: unknown) => void;
  /** Called when an object is read whose value matches no schema. */
  readonly onUnreadable?: (version: number) => void;
}

/** Acquires a lease for this daemon and keeps renewing it. */
export interface LeaseAgent {
  /** Reads, renews or expires the lease if due; called several times a second. */
  readonly tick: () => void;
  readonly getPhase: () => LeasePhase;
  /** @returns the fencing number for this daemon's engine orders; undefined if none may be sent now */
  readonly getFencing: () => number | undefined;
  /** @returns when the last confirmed write of the current lease was sent, in milliseconds; undefined if none is held */
  readonly getConfirmedAtMs: () => number | undefined;
  /** Renews the lease now if it is held and no call is pending. */
  readonly renew: () => void;
  /**
   * Releases the lease if it is held, and does not claim it before a time of the clock. No order may be in flight any more.
   */
  readonly pause: (untilMs: number) => void;
  /** Reports that an engine has received an order with a higher fencing number, so the lease is lost. */
  readonly reportFenced: () => void;
  /**
   * Releases the lease. No engine order may be in flight any more. Resolves once the release is written or has
   * failed.
   */
  readonly release: () => Promise<void>;
}

const VALUE_SCHEMA = z.object({
  holder: z.string(),
  session: z.string(),
  is_released: z.boolean(),
  era: z.number().int().default(0),
});

/** Replaces a malformed value: the lease is treated as held by another daemon until it expires. */
const UNREADABLE_VALUE: LeaseValue = { holder: '', session: '', isReleased: false, era: 0 };

const decodeValue = (value: unknown): LeaseValue => {
  const { success, data } = VALUE_SCHEMA.safeParse(value);
  if (!success) return UNREADABLE_VALUE;
  const { holder, session, is_released: isReleased, era } = data;
  return { holder, session, isReleased, era };
};

class RunningLease implements LeaseAgent {
  private state: LeaseState;
  private readonly options: LeaseAgentOptions;
  private readonly pendingReleases = new Set<() => void>();

  constructor(options: LeaseAgentOptions) {
    this.options = options;
    const timings = options.timings ?? LEASE_TIMINGS;
    this.state = createLease(options.holder, randomUUID(), timings, this.createContext());
  }

  readonly tick = (): void => this.handle({ kind: LeaseEventKind.Tick });

  readonly getPhase = (): LeasePhase => this.state.phase;

  readonly getConfirmedAtMs = (): number | undefined => {
    const { validUntilMs, timings } = this.state;
    return validUntilMs === -Infinity ? undefined : validUntilMs - timings.durationMs;
  };

  readonly getFencing = (): number | undefined =>
    canSendOrder(this.state, this.options.clock.getNowMs()) ? this.state.fencing : undefined;

  readonly reportFenced = (): void => this.handle({ kind: LeaseEventKind.Fenced });

  readonly renew = (): void => this.handle({ kind: LeaseEventKind.Renew });

  readonly pause = (untilMs: number): void => this.handle({ kind: LeaseEventKind.Pause, untilMs });

  readonly release = async (): Promise<void> => {
    this.handle({ kind: LeaseEventKind.Stop });
    if (this.state.phase === LeasePhase.Stopped) return;
    await new Promise<void>((resolve) => this.pendingReleases.add(resolve));
  };

  private createContext(): LeaseContext {
    return { nowMs: this.options.clock.getNowMs(), random: this.options.random };
  }

  private handle(event: LeaseEvent): void {
    const previous = this.state.phase;
    const { state, actions } = reduceLease(this.state, event, this.createContext());
    this.state = state;
    if (state.phase !== previous) this.options.onPhase?.(state.phase, previous, event.kind);
    for (const action of actions) void this.perform(action);
    if (state.phase !== LeasePhase.Stopped) return;
    for (const resolve of this.pendingReleases) resolve();
    this.pendingReleases.clear();
  }

  private async perform(action: LeaseAction): Promise<void> {
    try {
      this.handle(
        action.kind === LeaseActionKind.Read ? await this.read() : await this.write(action),
      );
    } catch (error) {
      this.options.onError?.(error);
      this.handle({ kind: LeaseEventKind.CallFailed });
    }
  }

  private async read(): Promise<LeaseEvent> {
    const { platform, kind = LEASE_KIND, name } = this.options;
    const object = await (platform.readStale ?? platform.read)(kind, name);
    return { kind: LeaseEventKind.Read, object: this.decodeObject(object) };
  }

  private async write(
    action: Extract<LeaseAction, { kind: LeaseActionKind.Write }>,
  ): Promise<LeaseEvent> {
    const { holder, session, isReleased, era } = action.value;
    const result = await writeConfirmed(
      this.options.platform,
      {
        kind: this.options.kind ?? LEASE_KIND,
        name: this.options.name,
        ifVersion: action.ifVersion,
        changeId: randomUUID(),
        value: { holder, session, is_released: isReleased, era },
      },
      { ...this.options.confirm, random: this.options.random },
    );
    if (result.outcome === WriteOutcome.Conflict) {
      return { kind: LeaseEventKind.WriteConflict, current: this.decodeObject(result.current) };
    }
    const { version } = result;
    return { kind: LeaseEventKind.Written, version, sentAtMs: action.sentAtMs };
  }

  private decodeObject(object: PlatformObject | undefined): LeaseObject | undefined {
    if (object === undefined) return undefined;
    const { version } = object;
    const value = decodeValue(object.value);
    if (value === UNREADABLE_VALUE) this.options.onUnreadable?.(version);
    return { version, value };
  }
}

/**
 * Creates an agent for a lease.
 *
 * @param options - name of the lease and dependencies
 * @returns the agent, on standby
 */
export const createLeaseAgent = (options: LeaseAgentOptions): LeaseAgent =>
  new RunningLease(options);
