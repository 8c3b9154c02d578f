import { DispatchEventKind } from '@sardinegrade/dispatch';
import { MemberState, NewsKind } from '@sardinegrade/fleet';

import { DOWN_NEWS_TTL_MS, FactTable, SUSPECT_TTL_MS } from '../health/index.js';

import type { Clock, Fingerprint, UpstreamId, VmId } from '@sardinegrade/common';
import type { FleetAgent, Member, News } from '@sardinegrade/fleet';
import type { DispatchHost } from '../grants/index.js';

type NewsHandler = (facts: FleetFacts, news: News) => void;

const NEWS_HANDLERS: Readonly<Record<NewsKind, NewsHandler>> = {
  [NewsKind.Suspect]: (facts, { subject, expiresAtMs }) =>
    facts.suspects.add(subject as Fingerprint, expiresAtMs),
  [NewsKind.Quarantined]: (facts, { subject, expiresAtMs }) =>
    facts.host.notifyAll({
      kind: DispatchEventKind.Quarantined,
      fingerprint: subject as Fingerprint,
      untilMs: expiresAtMs,
    }),
  [NewsKind.UpstreamLeaving]: (facts, { subject }) =>
    facts.host.notifyAll({
      kind: DispatchEventKind.UpstreamLeaving,
      upstream: subject as UpstreamId,
    }),
  [NewsKind.UpstreamDead]: (facts, { subject, expiresAtMs }) =>
    facts.downUpstreams.add(subject as UpstreamId, expiresAtMs),
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

  readonly spreadDown = (upstream: UpstreamId): void =>
    this.#spread(NewsKind.UpstreamDead, upstream, DOWN_NEWS_TTL_MS);

  readonly #noteMember = ({ vm, state }: Member): void => {
    if (state === MemberState.Dead) this.#goneVms.add(vm);
    else this.#goneVms.delete(vm);
  };

  readonly #spread = (kind: NewsKind, subject: string, ttlMs: number): void => {
    const nowMs = this.#clock.getNowMs();
    // The time serves as the count, so that the latest news of a subject holds.
    this.#fleet.spreadNews({
      kind,
      subject,
      expiresAtMs: nowMs + ttlMs,
      count: Math.floor(nowMs / 1_000),
    });
  };
}
