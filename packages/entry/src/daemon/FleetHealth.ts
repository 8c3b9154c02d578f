import { DispatchEventKind } from '@sardinegrade/dispatch';
import { MemberState, NewsKind } from '@sardinegrade/fleet';

import {
  DOWN_NEWS_TTL_MS,
  ExpiringSet,
  LEAVING_NEWS_TTL_MS,
  SUSPECT_TTL_MS,
} from '../health/index.js';

import type { Clock, Fingerprint, UpstreamId, VmId } from '@sardinegrade/common';
import type { DispatchEvent } from '@sardinegrade/dispatch';
import type { FleetAgent, Member, News } from '@sardinegrade/fleet';
import type { DispatchHost } from '../grants/index.js';

type NewsHandler = (fleetHealth: FleetHealth, news: News) => void;

const notifyDispatchers: NewsHandler = (fleetHealth, news) => {
  const event = toDispatchEvent(news);
  if (event !== undefined) fleetHealth.host.notifyAll(event);
};

const NEWS_HANDLERS: Readonly<Record<NewsKind, NewsHandler>> = {
  [NewsKind.Suspect]: (fleetHealth, { subject, expiresAtMs }) =>
    fleetHealth.suspectRequests.add(subject as Fingerprint, expiresAtMs),
  [NewsKind.Quarantined]: notifyDispatchers,
  [NewsKind.UpstreamLeaving]: notifyDispatchers,
  [NewsKind.UpstreamDead]: (fleetHealth, { subject, expiresAtMs }) =>
    fleetHealth.downUpstreams.add(subject as UpstreamId, expiresAtMs),
};

/**
 * Converts news to an event for dispatchers.
 *
 * @param news - news that was shared through the fleet
 * @returns the event, or undefined for news that is not relevant to dispatchers
 */
export const toDispatchEvent = ({
  kind,
  subject,
  expiresAtMs,
}: News): DispatchEvent | undefined => {
  switch (kind) {
    case NewsKind.Quarantined: {
      const fingerprint = subject as Fingerprint;
      return { kind: DispatchEventKind.Quarantined, fingerprint, untilMs: expiresAtMs };
    }
    case NewsKind.UpstreamLeaving:
      return { kind: DispatchEventKind.UpstreamLeaving, upstream: subject as UpstreamId };
    case NewsKind.Suspect:
    case NewsKind.UpstreamDead:
      return undefined;
  }
};

/**
 * Publishes and receives the health news that daemons share: suspect and quarantined requests, and upstreams that are
 * down or leaving.
 */
export class FleetHealth {
  readonly suspectRequests = new ExpiringSet<Fingerprint>();
  readonly downUpstreams = new ExpiringSet<UpstreamId>();
  readonly host: DispatchHost;
  readonly #goneVms = new Set<VmId>();
  readonly #fleet: FleetAgent;
  readonly #clock: Clock;

  constructor(fleet: FleetAgent, host: DispatchHost, clock: Clock) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.host = host;
    void fleet.news.observe((news) => NEWS_HANDLERS[news.kind](this, news));
    void fleet.memberChanges.observe(({ member }) => this.#updateMember(member));
  }

  /** Whether the VM was declared dead in the membership and has not rejoined since. */
  readonly isVmGone = (vm: VmId): boolean => this.#goneVms.has(vm);

  readonly isSuspect = (fingerprint: Fingerprint): boolean =>
    this.suspectRequests.has(fingerprint, this.#clock.getNowMs());

  readonly isDown = (upstream: UpstreamId): boolean =>
    this.downUpstreams.has(upstream, this.#clock.getNowMs());

  /** Publishes a request that was running on an upstream when the upstream died. */
  readonly publishSuspect = (fingerprint: Fingerprint): void =>
    this.#publish(NewsKind.Suspect, fingerprint, SUSPECT_TTL_MS);

  readonly publishQuarantine = (fingerprint: Fingerprint, untilMs: number): void =>
    this.#publish(NewsKind.Quarantined, fingerprint, untilMs - this.#clock.getNowMs());

  readonly publishLeaving = (upstream: UpstreamId): void =>
    this.#publish(NewsKind.UpstreamLeaving, upstream, LEAVING_NEWS_TTL_MS);

  readonly publishDown = (upstream: UpstreamId): void =>
    this.#publish(NewsKind.UpstreamDead, upstream, DOWN_NEWS_TTL_MS);

  readonly #updateMember = ({ vm, state }: Member): void => {
    if (state === MemberState.Dead) this.#goneVms.add(vm);
    else this.#goneVms.delete(vm);
  };

  readonly #publish = (kind: NewsKind, subject: string, ttlMs: number): void => {
    const nowMs = this.#clock.getNowMs();
    // The count is derived from the time, so that the latest news about a subject takes precedence.
    this.#fleet.publishNews({
      kind,
      subject,
      expiresAtMs: nowMs + ttlMs,
      count: Math.floor(nowMs / 1_000),
    });
  };
}
