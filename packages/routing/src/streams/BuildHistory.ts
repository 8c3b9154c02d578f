import type { BuildName, ServiceName } from '@sardinegrade/common';

/** Longest time in which a stream can be resumed after its first event, in milliseconds: callers wait 12 s at most. */
export const STREAM_LIFETIME_MS = 15_000;

/** The builds of each service that have served within the lifetime of a stream. */
export class BuildHistory {
  readonly #lastSeenAtMs = new Map<ServiceName, Map<BuildName, number>>();

  /** Records that a worker of a build is registered, or has begun a stream. */
  record(service: ServiceName, build: BuildName, nowMs: number): void {
    const builds = this.#lastSeenAtMs.get(service) ?? new Map<BuildName, number>();
    builds.set(build, nowMs);
    this.#lastSeenAtMs.set(service, builds);
  }

  /**
   * Lists the builds at which a stream that can still be resumed may have begun.
   *
   * @param service - the service
   * @param nowMs - current time, in milliseconds
   * @returns the builds, in no particular order
   */
  list(service: ServiceName, nowMs: number): readonly BuildName[] {
    const builds = this.#lastSeenAtMs.get(service);
    if (builds === undefined) return [];
    return [...builds.keys()].filter((build) => !this.hasLeft(service, build, nowMs));
  }

  /** @returns whether a build has served, but not within the lifetime of a stream */
  hasLeft(service: ServiceName, build: BuildName, nowMs: number): boolean {
    const seenAtMs = this.#lastSeenAtMs.get(service)?.get(build);
    return seenAtMs !== undefined && nowMs - seenAtMs > STREAM_LIFETIME_MS;
  }
}
