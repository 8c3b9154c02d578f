import {
  canHaveRun,
  decideNextStep,
  NextStep,
  RouteKind,
  SendFailure,
  shouldChargeBudget,
} from '@sardinegrade/routing';

import type { ServiceName, UpstreamId } from '@sardinegrade/common';
import type { Route, SendHistory, SharedRetryBudget } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';

/** The sends of one request, and whether another one may follow. */
export class Attempts {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Random number from 0 to 1 that decides whether the request is a trial of a worker. */
  readonly trialDraw: number;
  readonly #tried = new Set<UpstreamId>();
  #runs = 0;
  #sends = 0;
  #sendsNotRun = 0;

  /**
   * @param state - state of the forwarder
   * @param route - route of the request
   * @param service - its service, whose retry budget is used; undefined if the route has none
   * @param getRemainingMs - returns the time left until the deadline, in milliseconds
   */
  constructor(
    private readonly state: ForwarderState,
    private readonly route: Route,
    private readonly service: ServiceName | undefined,
    private readonly getRemainingMs: () => number,
  ) {
    this.trialDraw = state.options.random();
    this.isRepeatable = route.kind === RouteKind.Safe || route.isResumable;
  }

  /** Workers to which the request has been sent. */
  get tried(): ReadonlySet<UpstreamId> {
    return this.#tried;
  }

  /** Number of failed sends after which a worker may have started to run the request. */
  get runs(): number {
    return this.#runs;
  }

  /** Number of sends. */
  get sends(): number {
    return this.#sends;
  }

  /** Whether a worker may have run the request, or may be running it. */
  get canHaveRun(): boolean {
    return this.#sends > this.#sendsNotRun;
  }

  /** Records that the request is sent to a worker. */
  recordSend(worker: UpstreamId): void {
    this.#sends += 1;
    this.#tried.add(worker);
  }

  /**
   * Records a failed send and decides what follows. A further send is charged to the retry budget.
   *
   * @param failure - why the send failed
   * @returns the next step
   */
  recordFailure(failure: SendFailure): NextStep {
    if (canHaveRun(failure)) this.#runs += 1;
    else this.#sendsNotRun += 1;
    const step = decideNextStep(this.#describe(failure, this.#runs));
    if (step === NextStep.SendAgain && shouldChargeBudget(failure))
      this.#budget?.claim(this.state.options.getNowMs());
    return step;
  }

  /** @returns whether the request may be sent again if the current send is given up for silence */
  canReplaceSilent(): boolean {
    const history = this.#describe(SendFailure.Silent, this.#runs + 1);
    return decideNextStep(history) === NextStep.SendAgain;
  }

  get #budget(): SharedRetryBudget | undefined {
    return this.service && this.state.getBudget(this.service);
  }

  #describe(failure: SendFailure, runs: number): SendHistory {
    return {
      failure,
      isRepeatable: this.isRepeatable,
      runs,
      maxRuns: this.route.maxRuns,
      sends: this.#sends,
      remainingMs: this.getRemainingMs(),
      hasBudget: this.#budget?.hasRetry(this.state.options.getNowMs()) ?? false,
    };
  }
}
