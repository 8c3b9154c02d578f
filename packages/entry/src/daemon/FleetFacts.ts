import { DispatchEventKind } from '@sardinegrade/dispatch';
import { MemberState, NewsKind } from '@sardinegrade/fleet';

import {
  DOWN_NEWS_TTL_MS,
  FactTable,
  LEAVING_NEWS_TTL_MS,
  SUSPECT_TTL_MS,
} from '../health/index.js';

import type { Clock, Fingerprint, UpstreamId, VmId } from '@sardinegrade/common';
import type { DispatchEvent } from '@sardinegrade/dispatch';
import type { FleetAgent, Member, News } from '@sardinegrade/fleet';
import type { DispatchHost } from '../grants/index.js';

type NewsHandler = (facts: FleetFacts, news: News) => void;

const notifyDispatchers: NewsHandler = (facts, news) => {
  const event = toDispatchEvent(news);
  if (event !== undefined) facts.host.notifyAll(event);
};

const NEWS_HANDLERS: Readonly<Record<NewsKind, NewsHandler>> = {
  [NewsKind.Suspect]: (facts, { subject, expiresAtMs }) =>
    facts.suspects.add(subject as Fingerprint, expiresAtMs),
  [NewsKind.Quarantined]: notifyDispatchers,
  [NewsKind.UpstreamLeaving]: notifyDispatchers,
  [NewsKind.UpstreamDead]: (facts, { subject, expiresAtMs }) =>
    facts.downUpstreams.add(subject as UpstreamId, expiresAtMs),
};

/**
 * Turns news into what dispatchers have to know of it.
 *
 * @param news - a fact that the fleet shares
 * @returns the event, or undefined for news that does not concern dispatchers
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

/** Facts that the fleet shares: suspects, quarantined requests, upstreams down or leaving. */
export class FleetFacts {
  readonly suspects = new FactTable<Fingerprint>();
  readonly downUpstreams = new FactTable<UpstreamId>();
  readonly host: DispatchHost;
  readonly #goneVms = new Set<VmId>();
  readonly #fleet: FleetAgent;
  readonly #clock: Clock;

  constructor(fleet: FleetAgent, host: DispatchHost, clock: Clock) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.host = host;
    void fleet.news.observe((news) => NEWS_HANDLERS[news.kind](this, news));
    void fleet.memberChanges.observe(({ member }) => this.#noteMember(member));
  }

  /** Whether the membership has seen the VM die, and not come back. */
  readonly isVmGone = (vm: VmId): boolean => this.#goneVms.has(vm);

  readonly isSuspect = (fingerprint: Fingerprint): boolean =>
    this.suspects.has(fingerprint, this.#clock.getNowMs());

  readonly isDown = (upstream: UpstreamId): boolean =>
    this.downUpstreams.has(upstream, this.#clock.getNowMs());

  /** An upstream died while it ran the request. */
  readonly spreadSuspect = (fingerprint: Fingerprint): void =>
    this.#spread(NewsKind.Suspect, fingerprint, SUSPECT_TTL_MS);

  readonly spreadQuarantine = (fingerprint: Fingerprint, untilMs: number): void =>
    this.#spread(NewsKind.Quarantined, fingerprint, untilMs - this.#clock.getNowMs());

  readonly spreadLeaving = (upstream: UpstreamId): void =>
    this.#spread(NewsKind.UpstreamLeaving, upstream, LEAVING_NEWS_TTL_MS);

  readonly spreadDown = (upstream: UpstreamId): void =>
    this.#spread(NewsKind.UpstreamDead, upstream, DOWN_NEWS_TTL_MS);

  readonly #noteMember = ({ vm, state }: Member): void => {
    if (state === MemberState.Dead) this.#goneVms.add(vm);
    else this.#goneVms.delete(vm);
  };

  readonly #spread = (kind: NewsKind, subject: string, ttlMs: number): void => {
    const nowMs = this.#clock.getNowMs();
    // The time serves as the count, so that the latest news of a subject holds.
    this.#fleet.publishNews({
      kind,
      subject,
      expiresAtMs: nowMs + ttlMs,
      count: Math.floor(nowMs / 1_000),
    });
  };
}
