/**
 * The budgets of extra calls, one a service. All boxes together must stay within the service's share
 * and slack in each window, so each box earns by its own requests and holds its part of the slack.
 *
 * @module
 */
import {
  creditFirstCalls,
  type ExtraCallKind,
  type ExtraLoadBudget,
  takeExtraCall,
} from "../limits/mod.js";

/** Part of the allowed share that is spent; the rest is kept in hand for requests counted elsewhere. */
const SHARE_USED = 0.85;

/**
 * Part of the slack that all boxes together hold. A box that starts anew holds some again, and a
 * window may see that, so about half is kept in hand.
 */
const SLACK_USED = 0.55;

/** Part of what a budget holds at most that it starts with, as the box's last run may have spent its own. */
const START_SHARE = 0.4;

/** What the budgets depend on. */
export interface ExtraCallTerms {
  /** Tells the extra calls allowed, as a share of a service's requests. */
  readonly share: () => number;
  /** Tells the extra calls allowed besides in each window, over all boxes. */
  readonly slackCalls: () => number;
  /** Tells how many boxes share the slack. */
  readonly countBoxes: () => number;
}

/** Budgets of all services. */
export class ExtraCallBudgets {
  readonly #terms: ExtraCallTerms;
  readonly #budgets = new Map<string, ExtraLoadBudget>();

  /**
   * @param terms - What the budgets depend on.
   */
  constructor(terms: ExtraCallTerms) {
    this.#terms = terms;
  }

  /**
   * Credits one request to a service.
   *
   * @param service - The service that it goes to.
   */
  credit(service: string): void {
    const burstCalls = this.#burstCalls();
    const budget = this.#budgetOf(service, burstCalls);
    const extraLoadShare = this.#terms.share() * SHARE_USED;
    this.#budgets.set(service, creditFirstCalls(budget, 1, { extraLoadShare, burstCalls }));
  }

  /**
   * Takes an extra call out of a service's budget.
   *
   * @param service - The service.
   * @param kind - What the call is for.
   * @returns Whether the budget allows it.
   */
  take(service: string, kind: ExtraCallKind): boolean {
    const burstCalls = this.#burstCalls();
    const left = takeExtraCall(this.#budgetOf(service, burstCalls), kind, { burstCalls });
    if (left !== undefined) {
      this.#budgets.set(service, left);
    }
    return left !== undefined;
  }

  /** Extra calls that each service's budget allows at this moment. */
  left(): ReadonlyMap<string, number> {
    return new Map([...this.#budgets].map(([service, { tokens }]) => [service, tokens]));
  }

  #budgetOf(service: string, burstCalls: number): ExtraLoadBudget {
    return this.#budgets.get(service) ?? { tokens: burstCalls * START_SHARE };
  }

  #burstCalls(): number {
    return (this.#terms.slackCalls() * SLACK_USED) / Math.max(1, this.#terms.countBoxes());
  }
}
