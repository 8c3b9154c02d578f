import { normalizeId } from '@sardinegrade/common';

import type { RequestId } from '@sardinegrade/common';
import type { StreamOrigin, StreamOriginReport } from './types.js';

/** Maximum number of streams; the oldest are dropped. The largest deployments begin some 500 streams a second. */
const MAX_STREAMS = 20_000;

/** Maximum length of the id under which a stream is remembered and reported, in characters. */
const MAX_ID_CHARACTERS = 128;

/** How often an origin is sent to other VMs: a datagram may be lost. */
const OWN_SENDS = 2;
const FORWARDED_SENDS = 1;

interface Entry {
  /** Undefined if VMs have reported different origins. */
  readonly origin: StreamOrigin | undefined;
  readonly expiresAtMs: number;
  readonly sendsLeft: number;
  /** Whether this VM has relayed the first event. */
  readonly isOwn: boolean;
}

const isSameOrigin = (left: StreamOrigin | undefined, right: StreamOrigin): boolean =>
  left?.service === right.service && left.build === right.build;

/**
 * Bounds the id of the request that began a stream.
 *
 * @param request - id as the caller has sent it
 * @returns the id under which the stream is remembered, reported to other VMs and recorded
 */
export const normalizeStreamId = (request: RequestId): RequestId =>
  normalizeId(request, MAX_ID_CHARACTERS);

/**
 * Remembers at which build each stream began, by the request that received its first event, until the stream can no longer
 * be resumed.
 */
export class StreamOrigins {
  readonly #entries = new Map<RequestId, Entry>();
  readonly #unsent = new Set<RequestId>();

  /** Whether origins have to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#unsent.size > 0;
  }

  /** Records that a stream of this VM has begun. */
  record(request: RequestId, origin: StreamOrigin, expiresAtMs: number): void {
    this.#set(normalizeStreamId(request), {
      origin,
      expiresAtMs,
      sendsLeft: OWN_SENDS,
      isOwn: true,
    });
  }

  /**
   * Applies the origins that another VM has sent.
   *
   * @param reports - the origins
   * @param nowMs - current time, in milliseconds
   * @param shouldForward - whether other VMs learn of them through this one
   */
  applyReports(
    reports: readonly StreamOriginReport[],
    nowMs: number,
    shouldForward: boolean,
  ): void {
    for (const report of reports) {
      const { service, build, remainingMs } = report;
      const request = normalizeStreamId(report.request);
      const origin: StreamOrigin = { service, build };
      const existing = this.#entries.get(request);
      if (existing === undefined) {
        const sendsLeft = shouldForward ? FORWARDED_SENDS : 0;
        const expiresAtMs = nowMs + remainingMs;
        this.#set(request, { origin, expiresAtMs, sendsLeft, isOwn: false });
      } else if (!isSameOrigin(existing.origin, origin)) {
        this.#entries.set(request, { ...existing, origin: undefined });
      }
    }
  }

  /** @returns where the stream began; undefined if it is not known */
  find(request: RequestId, nowMs: number): StreamOrigin | undefined {
    const entry = this.#entries.get(normalizeStreamId(request));
    return entry !== undefined && entry.expiresAtMs > nowMs ? entry.origin : undefined;
  }

  /** @returns whether VMs have reported different origins */
  isDisputed(request: RequestId): boolean {
    const entry = this.#entries.get(normalizeStreamId(request));
    return entry !== undefined && entry.origin === undefined;
  }

  /**
   * Takes the origins that have to be sent.
   *
   * @param nowMs - current time, in milliseconds
   * @param isShared - whether other VMs need the origins of a service; others stay unsent
   * @returns the origins
   */
  collectUnsent(
    nowMs: number,
    isShared: (service: StreamOrigin['service']) => boolean,
  ): readonly StreamOriginReport[] {
    const reports: StreamOriginReport[] = [];
    for (const request of this.#unsent) {
      const entry = this.#entries.get(request);
      const report = entry && this.#toReport(request, entry, nowMs);
      if (entry === undefined || report === undefined) {
        this.#unsent.delete(request);
        continue;
      }
      if (!isShared(report.service)) continue;
      reports.push(report);
      const sendsLeft = entry.sendsLeft - 1;
      this.#entries.set(request, { ...entry, sendsLeft });
      if (sendsLeft === 0) this.#unsent.delete(request);
    }
    return reports;
  }

  /** @returns all origins of streams that can still be resumed */
  list(nowMs: number): readonly StreamOriginReport[] {
    return [...this.#entries].flatMap(
      ([request, entry]) => this.#toReport(request, entry, nowMs) ?? [],
    );
  }

  /** @returns the origins of streams that this VM has begun and that can still be resumed */
  listOwn(nowMs: number): readonly StreamOriginReport[] {
    return [...this.#entries].flatMap(([request, entry]) =>
      entry.isOwn ? (this.#toReport(request, entry, nowMs) ?? []) : [],
    );
  }

  /** Removes streams that can no longer be resumed. */
  sweep(nowMs: number): void {
    for (const [request, { expiresAtMs }] of this.#entries) {
      if (expiresAtMs <= nowMs) this.#remove(request);
    }
  }

  #toReport(
    request: RequestId,
    { origin, expiresAtMs }: Entry,
    nowMs: number,
  ): StreamOriginReport | undefined {
    if (origin === undefined || expiresAtMs <= nowMs) return undefined;
    return { ...origin, request, remainingMs: expiresAtMs - nowMs };
  }

  #set(request: RequestId, entry: Entry): void {
    this.#entries.set(request, entry);
    if (entry.sendsLeft > 0) this.#unsent.add(request);
    if (this.#entries.size <= MAX_STREAMS) return;
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#remove(oldest);
  }

  #remove(request: RequestId): void {
    this.#entries.delete(request);
    this.#unsent.delete(request);
  }
}
