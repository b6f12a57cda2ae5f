/**
 * Checks the versions of the configuration that boxes have: each takes effect in time and never
 * reverts. A version is recognized by the route that it added.
 *
 * @module
 */
import { changeDueAtMs, type Disturbance } from "./disturbance.js";
import type { CheckInvariant, ObservedRequest } from "./observed_request.js";

/** A request to the route that a version of the configuration added. */
interface VersionRequest {
  readonly observed: ObservedRequest;
  readonly version: number;
  /** Whether the box had the route. */
  readonly hasRoute: boolean;
}

/** A version that a box had, and when that was first seen, in milliseconds. */
interface SeenVersion {
  readonly version: number;
  readonly seenAtMs: number;
}

const NO_VERSION: SeenVersion = { version: 0, seenAtMs: 0 };

/** Options of the checker. */
export interface VersionCheckerOptions {
  readonly check: CheckInvariant;
  /**
   * Returns the time at which a version was written, in milliseconds; infinite if it was not.
   */
  readonly changedAtMs: (version: number) => number;
}

/** Checks the invariants of the configuration. */
export class VersionChecker {
  readonly #options: VersionCheckerOptions;
  readonly #requests: Array<VersionRequest> = [];
  /** Highest version that each process of a box had, and when its response arrived. */
  readonly #highest = new Map<string, SeenVersion>();

  /**
   * @param options - The written versions, and the callback that records a check.
   */
  constructor(options: VersionCheckerOptions) {
    this.#options = options;
  }

  /**
   * Checks a response, unless its route belongs to no version.
   *
   * @param request - The request.
   * @param statusCode - Status code of the response.
   */
  checkRequest(request: ObservedRequest, statusCode: number): void {
    const { box, endedCount, path, requestId } = request;
    const version = Number(/^\/version-(\d+)\/$/.exec(path)?.[1] ?? Number.NaN);
    if (Number.isNaN(version)) {
      return;
    }
    if (statusCode !== 503) {
      this.#requests.push({ observed: request, version, hasRoute: statusCode !== 404 });
    }
    const key = `${box.box.name}/${endedCount}`;
    const highest = this.#highest.get(key) ?? NO_VERSION;
    if (statusCode === 404) {
      // A response that was read late may be older than one that was read before it.
      const mayBeOlder = request.isReadLate === true && request.sentAtMs <= highest.seenAtMs;
      const holds = version > highest.version || mayBeOlder;
      this.#options.check("a configuration never reverts", holds, () => {
        const sentAfterMs = Math.round(request.sentAtMs - highest.seenAtMs);
        const lost = `${key} had version ${highest.version} and has no version ${version}`;
        return `${lost} (${requestId}, sent ${sentAfterMs} ms after that was seen)`;
      });
    } else if (statusCode !== 503 && version > highest.version) {
      this.#highest.set(key, { version, seenAtMs: performance.now() });
    }
  }

  /**
   * Checks that each version took effect in time.
   *
   * @param disturbances - Periods in which deadlines were suspended.
   */
  checkDeadlines(disturbances: ReadonlyArray<Disturbance>): void {
    const { changedAtMs, check } = this.#options;
    for (const { observed: request, version, hasRoute } of this.#requests) {
      const dueMs = changeDueAtMs(changedAtMs(version), disturbances);
      const holds = hasRoute || request.sentAtMs <= dueMs;
      check("a configuration takes effect within its deadline", holds, () => {
        const lateMs = Math.round(request.sentAtMs - dueMs);
        return `${request.box.box.name} has no version ${version} ${lateMs} ms after it is due`;
      });
    }
  }
}
