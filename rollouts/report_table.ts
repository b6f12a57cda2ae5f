/**
 * The latest reports of all boxes on running orders.
 *
 * @module
 */
import type {
  AnswerCounts,
  Rollout,
  RolloutReport,
  RouteEvidence,
  StorePosition,
} from "../model/mod.js";

/** Identifies an order. */
export type OrderKey = Pick<Rollout, "service" | "orderPosition">;

/** Sum of the counters of several reports on one order. */
export type RolloutTotals = Pick<
  RolloutReport,
  "requests" | "targetCalls" | "routes" | "failedLeafs"
>;

interface OrderReports {
  readonly service: string;
  readonly orderPosition: StorePosition;
  readonly reports: Map<string, RolloutReport>;
  totals: RolloutTotals | undefined;
}

/**
 * Limits memory: 13 restarts of each of 300 boxes during one order. Further incarnations are
 * ignored; to replace others would lose calls that were already counted.
 */
const MAX_REPORTS_PER_ORDER = 4_000;

/** Limits memory, over all orders: 90 orders on 300 boxes need 27,000. */
const MAX_REPORTS = 100_000;

/** Limits memory: the 64 routes that a box counts separately, and one for all further ones. */
const MAX_ROUTES = 65;

const NO_ANSWERS: AnswerCounts = { answers: 0, failed: 0, slow: 0, timed: 0 };

/** The latest report of each box incarnation. Reports may arrive repeatedly and in any order. */
export class ReportTable {
  readonly #orders = new Map<string, OrderReports>();
  #reportCount = 0;

  /**
   * Merges a report. As counters only grow, the greater value of each counter is the later one.
   *
   * @param report - Counters of one box incarnation.
   * @returns Whether it contained anything new.
   */
  merge(report: RolloutReport): boolean {
    const order = this.#orderOf(report);
    const key = `${report.incarnation} ${report.box}`;
    const known = order.reports.get(key);
    if (known === undefined) {
      if (order.reports.size >= MAX_REPORTS_PER_ORDER || this.#reportCount >= MAX_REPORTS) {
        return false;
      }
      this.#reportCount += 1;
    }
    const merged = known === undefined ? withRouteLimit(report) : laterOf(known, report);
    if (known !== undefined && isSameReport(known, merged)) {
      return false;
    }
    order.reports.set(key, merged);
    order.totals = undefined;
    this.#orders.set(orderKey(report), order);
    return true;
  }

  /**
   * Returns the latest reports on an order.
   *
   * @param order - The order.
   * @returns One report for each incarnation of each box.
   */
  reportsOf(order: OrderKey): ReadonlyArray<RolloutReport> {
    return [...(this.#orders.get(orderKey(order))?.reports.values() ?? [])];
  }

  /**
   * Returns the sum of all reports on an order.
   *
   * @param order - The order.
   * @returns The totals; zeros if there is no report.
   */
  totals(order: OrderKey): RolloutTotals {
    const known = this.#orders.get(orderKey(order));
    if (known === undefined) {
      return sumOf([]);
    }
    known.totals ??= sumOf([...known.reports.values()]);
    return known.totals;
  }

  /**
   * Forgets the reports on orders that were replaced. Those on finished orders remain for
   * operators.
   *
   * @param isNeeded - Returns whether an order is the latest of its service, or not known yet.
   */
  forgetUnless(isNeeded: (order: OrderKey) => boolean): void {
    for (const [key, order] of this.#orders) {
      if (!isNeeded(order)) {
        this.#orders.delete(key);
        this.#reportCount -= order.reports.size;
      }
    }
  }

  #orderOf({ orderPosition, service }: RolloutReport): OrderReports {
    const known = this.#orders.get(orderKey({ service, orderPosition }));
    return known ?? { service, orderPosition, reports: new Map(), totals: undefined };
  }
}

function orderKey({ orderPosition, service }: OrderKey): string {
  return `${orderPosition} ${service}`;
}

function withRouteLimit(report: RolloutReport): RolloutReport {
  return report.routes.length <= MAX_ROUTES
    ? report
    : { ...report, routes: report.routes.slice(0, MAX_ROUTES) };
}

/** Combines two reports of one incarnation by the greater, thus later, value of each counter. */
function laterOf(one: RolloutReport, other: RolloutReport): RolloutReport {
  const routes = combineRoutes([one, other], (a, b) => Math.max(a, b)).slice(0, MAX_ROUTES);
  return {
    ...one,
    requests: Math.max(one.requests, other.requests),
    targetCalls: Math.max(one.targetCalls, other.targetCalls),
    routes,
    failedLeafs:
      one.failedLeafs.length >= other.failedLeafs.length ? one.failedLeafs : other.failedLeafs,
    confirmedAttempt: Math.max(one.confirmedAttempt, other.confirmedAttempt),
    isBad: one.isBad || other.isBad,
  };
}

function sumOf(reports: ReadonlyArray<RolloutReport>): RolloutTotals {
  return {
    requests: reports.reduce((sum, { requests }) => sum + requests, 0),
    targetCalls: reports.reduce((sum, { targetCalls }) => sum + targetCalls, 0),
    routes: combineRoutes(reports, (a, b) => a + b),
    failedLeafs: [...new Set(reports.flatMap(({ failedLeafs }) => failedLeafs))],
  };
}

function combineRoutes(
  reports: ReadonlyArray<Pick<RolloutReport, "routes">>,
  combine: (one: number, other: number) => number,
): ReadonlyArray<RouteEvidence> {
  const combined = new Map<string, RouteEvidence>();
  for (const { baseline, route, target } of reports.flatMap(({ routes }) => routes)) {
    const known = combined.get(route);
    combined.set(route, {
      route,
      target: combineCounts(known?.target ?? NO_ANSWERS, target, combine),
      baseline: combineCounts(known?.baseline ?? NO_ANSWERS, baseline, combine),
    });
  }
  return [...combined.values()];
}

function combineCounts(
  one: AnswerCounts,
  other: AnswerCounts,
  combine: (one: number, other: number) => number,
): AnswerCounts {
  return {
    answers: combine(one.answers, other.answers),
    failed: combine(one.failed, other.failed),
    slow: combine(one.slow, other.slow),
    timed: combine(one.timed, other.timed),
  };
}

function isSameReport(one: RolloutReport, other: RolloutReport): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}
