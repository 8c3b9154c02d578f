import { randomUUID } from 'node:crypto';

import { WriteOutcome, writeConfirmed } from '@sardinegrade/platform';
import { z } from 'zod';

import { LEASE_KIND, LEASE_TIMINGS } from './constants.js';
import { LeaseActionKind, LeaseEventKind, LeasePhase } from './enums.js';
import { canSendOrder, createLease, reduceLease } from './reduceLease.js';

import type { Clock } from '@sardinegrade/common';
import type { PlatformClient, PlatformObject } from '@sardinegrade/platform';
import type {
  LeaseAction,
  LeaseContext,
  LeaseEvent,
  LeaseObject,
  LeaseState,
  LeaseTimings,
  LeaseValue,
} from './types.js';

/** Dependencies of a lease agent. */
export interface LeaseAgentOptions {
  readonly platform: PlatformClient;
  /** Must be monotonic: the system clock may jump. */
  readonly clock: Clock;
  readonly random: () => number;
  /** Name of the lease object in the platform. */
  readonly name: string;
  /** Name of this daemon; written to the lease for operators. */
  readonly holder: string;
  readonly timings?: LeaseTimings | undefined;
}

/** Acquires a lease for this daemon and keeps renewing it. */
export interface LeaseAgent {
  /** Reads, renews or expires the lease if due; called several times a second. */
  readonly tick: () => void;
  readonly getPhase: () => LeasePhase;
  /** @returns the fencing number for this daemon's engine orders; undefined if none may be sent now */
  readonly getFencing: () => number | undefined;
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
});

/** Replaces a malformed value: the lease is treated as held by another daemon until it expires. */
const UNREADABLE_VALUE: LeaseValue = { holder: '', session: '', isReleased: false };

const decodeObject = (object: PlatformObject | undefined): LeaseObject | undefined => {
  if (object === undefined) return undefined;
  const { version } = object;
  const { success, data } = VALUE_SCHEMA.safeParse(object.value);
  if (!success) return { version, value: UNREADABLE_VALUE };
  const { holder, session, is_released: isReleased } = data;
  return { version, value: { holder, session, isReleased } };
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

  readonly getFencing = (): number | undefined =>
    canSendOrder(this.state, this.options.clock.getNowMs()) ? this.state.fencing : undefined;

  readonly reportFenced = (): void => this.handle({ kind: LeaseEventKind.Fenced });

  readonly release = async (): Promise<void> => {
    this.handle({ kind: LeaseEventKind.Stop });
    if (this.state.phase === LeasePhase.Stopped) return;
    await new Promise<void>((resolve) => this.pendingReleases.add(resolve));
  };

  private createContext(): LeaseContext {
    return { nowMs: this.options.clock.getNowMs(), random: this.options.random };
  }

  private handle(event: LeaseEvent): void {
    const { state, actions } = reduceLease(this.state, event, this.createContext());
    this.state = state;
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
    } catch {
      this.handle({ kind: LeaseEventKind.CallFailed });
    }
  }

  private async read(): Promise<LeaseEvent> {
    const object = await this.options.platform.read(LEASE_KIND, this.options.name);
    return { kind: LeaseEventKind.Read, object: decodeObject(object) };
  }

  private async write(
    action: Extract<LeaseAction, { kind: LeaseActionKind.Write }>,
  ): Promise<LeaseEvent> {
    const { holder, session, isReleased } = action.value;
    const result = await writeConfirmed(
      this.options.platform,
      {
        kind: LEASE_KIND,
        name: this.options.name,
        ifVersion: action.ifVersion,
        changeId: randomUUID(),
        value: { holder, session, is_released: isReleased },
      },
      { random: this.options.random },
    );
    if (result.outcome === WriteOutcome.Conflict) {
      return { kind: LeaseEventKind.WriteConflict, current: decodeObject(result.current) };
    }
    const { version } = result;
    return { kind: LeaseEventKind.Written, version, sentAtMs: action.sentAtMs };
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
