import { randomUUID } from 'node:crypto';

import { WriteOutcome, writeConfirmed } from '@sardinegrade/platform';
import { z } from 'zod';

import { LEASE_KIND, LEASE_TIMINGS } from './constants.js';
import { LeaseActionKind, LeaseEventKind, LeasePhase } from './enums.js';
import { canOrder, createLease, reduceLease } from './reduceLease.js';

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

/** What a lease agent needs. */
export interface LeaseAgentOptions {
  readonly platform: PlatformClient;
  /** A monotonic clock: the machine's own may jump. */
  readonly clock: Clock;
  readonly random: () => number;
  /** The lease's name. */
  readonly name: string;
  /** This daemon's name, for operators. */
  readonly holder: string;
  readonly timings?: LeaseTimings | undefined;
}

/** A lease that this daemon tries to get and keep. */
export interface LeaseAgent {
  /** Does what is due; called several times a second. */
  readonly tick: () => void;
  readonly getPhase: () => LeasePhase;
  /** @returns the fencing number of this daemon's orders; undefined unless an order may be sent now */
  readonly getFencing: () => number | undefined;
  /** Tells the lease that an engine has seen a higher fencing number. */
  readonly noteOutranked: () => void;
  /** Gives the lease up; no order may be under way any more. Resolves once that is written, or has failed. */
  readonly release: () => Promise<void>;
}

const VALUE_SCHEMA = z.object({
  holder: z.string(),
  session: z.string(),
  is_released: z.boolean(),
});

/** A value that cannot be read counts as held by someone: it has to be waited out. */
const UNREADABLE: LeaseValue = { holder: '', session: '', isReleased: false };

const decodeObject = (object: PlatformObject | undefined): LeaseObject | undefined => {
  if (object === undefined) return undefined;
  const { version } = object;
  const { success, data } = VALUE_SCHEMA.safeParse(object.value);
  if (!success) return { version, value: UNREADABLE };
  const { holder, session, is_released: isReleased } = data;
  return { version, value: { holder, session, isReleased } };
};

class RunningLease implements LeaseAgent {
  private state: LeaseState;
  private readonly options: LeaseAgentOptions;
  private readonly stopped = new Set<() => void>();

  constructor(options: LeaseAgentOptions) {
    this.options = options;
    const timings = options.timings ?? LEASE_TIMINGS;
    this.state = createLease(options.holder, randomUUID(), timings, this.createContext());
  }

  readonly tick = (): void => this.handle({ kind: LeaseEventKind.Tick });

  readonly getPhase = (): LeasePhase => this.state.phase;

  readonly getFencing = (): number | undefined =>
    canOrder(this.state, this.options.clock.getNowMs()) ? this.state.fencing : undefined;

  readonly noteOutranked = (): void => this.handle({ kind: LeaseEventKind.Outranked });

  readonly release = async (): Promise<void> => {
    this.handle({ kind: LeaseEventKind.Stop });
    if (this.state.phase === LeasePhase.Stopped) return;
    await new Promise<void>((resolve) => this.stopped.add(resolve));
  };

  private createContext(): LeaseContext {
    return { nowMs: this.options.clock.getNowMs(), random: this.options.random };
  }

  private handle(event: LeaseEvent): void {
    const { state, actions } = reduceLease(this.state, event, this.createContext());
    this.state = state;
    for (const action of actions) void this.perform(action);
    if (state.phase !== LeasePhase.Stopped) return;
    for (const resolve of this.stopped) resolve();
    this.stopped.clear();
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
      return { kind: LeaseEventKind.Refused, current: decodeObject(result.current) };
    }
    const { version } = result;
    return { kind: LeaseEventKind.Written, version, sentAtMs: action.sentAtMs };
  }
}

/**
 * Makes an agent for a lease.
 *
 * @param options - the lease's name, the platform, and sources of time and chance
 * @returns the agent, on standby
 */
export const createLeaseAgent = (options: LeaseAgentOptions): LeaseAgent =>
  new RunningLease(options);
