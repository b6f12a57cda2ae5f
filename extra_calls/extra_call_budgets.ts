/**
 * Budgets of extra calls, one for each service. In each window, the extra calls of all boxes
 * together stay within a share of the service's requests plus a slack. Each box counts its own
 * requests and holds its part of the slack, so that no coordination is needed.
 *
 * The sliding window lets unused budget accumulate for bursts: leafs of a shard that are slow,
 * refuse or fail calls for a few seconds after a calm period.
 *
 * @module
 */
import type { ExtraCallKind } from "../limits/mod.js";
import { SlidingWindowCounter } from "./sliding_window_counter.js";

/**
 * Fraction of the allowed share that is spent. The remainder covers requests that are counted
 * elsewhere.
 */
const SHARE_USED = 0.9;

/** Fraction of the slack that all boxes use together after running for a full window. */
const SLACK_USED = 0.7;

/**
 * Fraction of the slack before that, as the previous run may have spent its own. All boxes may
 * restart three times within a window: 0.7 + 3 * 0.1 = 1.
 */
const START_SLACK_USED = 0.1;

/** Added to the window, as calls reach their leafs after they are counted, in milliseconds. */
const IN_FLIGHT_MS = 500;

/** Fraction of a budget that each kind of call may spend. Hedges leave a reserve for retries. */
const KIND_SHARES: Readonly<Record<ExtraCallKind, number>> = { hedge: 0.75, retry: 1 };

/** What the budgets depend on. */
export interface ExtraCallTerms {
  readonly nowMs: () => number;
  /** Returns the extra calls allowed, as a share of a service's requests. */
  readonly share: () => number;
  /** Returns the additional extra calls allowed in each window, over all boxes. */
  readonly slackCalls: () => number;
  /** Returns the length of the window, in milliseconds. */
  readonly windowMs: () => number;
  /** Returns this box's share of the slack, 0 to 1. The shares of all boxes add up to 1. */
  readonly slackShare: () => number;
}

/** Requests and extra calls of one service within the window. */
interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly extra: SlidingWindowCounter;
}

/** Budgets of all services. */
export class ExtraCallBudgets {
  readonly #terms: ExtraCallTerms;
  readonly #countedMs: number;
  readonly #startedAtMs: number;
  readonly #counts = new Map<string, ServiceCounts>();

  /**
   * @param terms - What the budgets depend on.
   */
  constructor(terms: ExtraCallTerms) {
    this.#terms = terms;
    this.#countedMs = terms.windowMs() + IN_FLIGHT_MS;
    this.#startedAtMs = terms.nowMs();
  }

  /**
   * Credits one request to a service.
   *
   * @param service - The service that it goes to.
   */
  credit(service: string): void {
    this.#countsOf(service).requests.add(this.#terms.nowMs());
  }

  /**
   * Takes an extra call from a service's budget, if the budget allows it.
   *
   * @param service - The service.
   * @param kind - Kind of the call.
   * @returns Whether the call is allowed.
   */
  tryTake(service: string, kind: ExtraCallKind): boolean {
    const nowMs = this.#terms.nowMs();
    const counts = this.#countsOf(service);
    const spent = counts.extra.count(nowMs);
    const isAllowed = spent + 1 <= this.#allowed(counts, nowMs) * KIND_SHARES[kind];
    if (isAllowed) {
      counts.extra.add(nowMs);
    }
    return isAllowed;
  }

  /**
   * Returns how many extra calls a service's budget allows now.
   *
   * @param service - The service.
   * @returns The number of calls; negative if the budget has shrunk since.
   */
  remaining(service: string): number {
    const nowMs = this.#terms.nowMs();
    const counts = this.#countsOf(service);
    return this.#allowed(counts, nowMs) - counts.extra.count(nowMs);
  }

  /** Returns how many extra calls each service's budget allows now. */
  remainingByService(): ReadonlyMap<string, number> {
    return new Map([...this.#counts.keys()].map((service) => [service, this.remaining(service)]));
  }

  #allowed({ requests }: ServiceCounts, nowMs: number): number {
    const { share, slackCalls, slackShare } = this.#terms;
    const isStarting = nowMs - this.#startedAtMs < this.#countedMs;
    const slackUsed = isStarting ? START_SLACK_USED : SLACK_USED;
    const slack = slackCalls() * slackUsed * slackShare();
    return requests.count(nowMs) * share() * SHARE_USED + slack;
  }

  #countsOf(service: string): ServiceCounts {
    const existing = this.#counts.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const counts = {
      requests: new SlidingWindowCounter(this.#countedMs),
      extra: new SlidingWindowCounter(this.#countedMs),
    };
    this.#counts.set(service, counts);
    return counts;
  }
}
