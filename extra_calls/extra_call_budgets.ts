/**
 * The budgets of extra calls, one a service. In each window all boxes together must stay within a share
 * of the service's requests and a slack; each box counts its own requests and holds its part of the
 * slack, so that nothing needs to be agreed.
 *
 * Load pattern: leafs of a shard that are slow, refuse or lose calls for some seconds after a calm
 * while. Counted over the window, what was not needed before is there at once: a box may make 14 extra
 * calls in a row at 6 requests a second, where a bucket of tokens held 4.
 *
 * @module
 */
import type { ExtraCallKind } from "../limits/mod.js";
import { SlidingWindowCounter } from "./sliding_window_counter.js";

/** Part of the allowed share that is spent; the rest is kept in hand for requests counted elsewhere. */
const SHARE_USED = 0.9;

/** Part of the slack that boxes hold together once they have run for a whole window. */
const SLACK_USED = 0.56;

/**
 * Part of the slack that boxes hold before that, as the run before may have spent its own: all boxes
 * may start anew twice within a window (0.56 and twice 0.18 are 0.92). The rest is for boxes that are
 * cut off and count the others out.
 */
const START_SLACK_USED = 0.18;

/** Added to the window, as calls reach their leafs a moment after they were counted, in milliseconds. */
const UNDER_WAY_MS = 500;

/** Part of a budget that each kind of call may spend; the rest is left to the other. */
const KIND_PARTS: Readonly<Record<ExtraCallKind, number>> = { hedge: 0.75, retry: 1 };

/** What the budgets depend on. */
export interface ExtraCallTerms {
  readonly nowMs: () => number;
  /** Tells the extra calls allowed, as a share of a service's requests. */
  readonly share: () => number;
  /** Tells the extra calls allowed besides in each window, over all boxes. */
  readonly slackCalls: () => number;
  /** Tells the length of the window, in milliseconds. */
  readonly windowMs: () => number;
  /** Tells this box's share of the slack, 0 to 1; the shares of all boxes come to 1. */
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
    this.#countedMs = terms.windowMs() + UNDER_WAY_MS;
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
   * Takes an extra call out of a service's budget.
   *
   * @param service - The service.
   * @param kind - What the call is for.
   * @returns Whether the budget allows it.
   */
  tryTake(service: string, kind: ExtraCallKind): boolean {
    const nowMs = this.#terms.nowMs();
    const counts = this.#countsOf(service);
    const spent = counts.extra.count(nowMs);
    const isAllowed = spent + 1 <= this.#allowed(counts, nowMs) * KIND_PARTS[kind];
    if (isAllowed) {
      counts.extra.add(nowMs);
    }
    return isAllowed;
  }

  /**
   * Tells how many extra calls a service's budget allows at this moment.
   *
   * @param service - The service.
   * @returns The calls, less than 0 where the budget has shrunk since.
   */
  remaining(service: string): number {
    const nowMs = this.#terms.nowMs();
    const counts = this.#countsOf(service);
    return this.#allowed(counts, nowMs) - counts.extra.count(nowMs);
  }

  /** Extra calls that each service's budget allows at this moment. */
  remainingByService(): ReadonlyMap<string, number> {
    return new Map([...this.#counts.keys()].map((service) => [service, this.remaining(service)]));
  }

  #allowed({ requests }: ServiceCounts, nowMs: number): number {
    const { share, slackCalls, slackShare } = this.#terms;
    const isYoung = nowMs - this.#startedAtMs < this.#countedMs;
    const slackUsed = isYoung ? START_SLACK_USED : SLACK_USED;
    const slack = slackCalls() * slackUsed * slackShare();
    return requests.count(nowMs) * share() * SHARE_USED + slack;
  }

  #countsOf(service: string): ServiceCounts {
    const held = this.#counts.get(service);
    if (held !== undefined) {
      return held;
    }
    const counts = {
      requests: new SlidingWindowCounter(this.#countedMs),
      extra: new SlidingWindowCounter(this.#countedMs),
    };
    this.#counts.set(service, counts);
    return counts;
  }
}
