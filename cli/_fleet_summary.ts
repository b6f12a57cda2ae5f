/**
 * Summarises the reports of many boxes: counts by data centre, and boxes that are not healthy or up
 * to date.
 *
 * @module
 */
import type { BoxReport } from "../box/box_report.js";
import type { ReportedCrashes } from "../quarantine/mod.js";

/** A box whose report was requested. */
export interface QueriedBox {
  readonly box: string;
  readonly dataCentre: string;
  /** Its report; `undefined` if it did not answer. */
  readonly report: BoxReport | undefined;
}

/**
 * Age of a box's last update from the store from which it counts as disconnected, in milliseconds.
 */
const MAX_UPDATE_AGE_MS = 10_000;

/** Number of remaining extra calls below which a budget counts as exhausted. */
export const MIN_EXTRA_CALLS_LEFT = 1;

/** Condition in which a box differs from a healthy one. */
type Difference =
  | "not answering"
  | "not ready"
  | "behind"
  | "disconnected from the store"
  | "budgets exhausted";

type DifferenceTest = (report: BoxReport, newestVersion: number) => boolean;

const REPORTED_DIFFERENCES: Readonly<Record<Exclude<Difference, "not answering">, DifferenceTest>> =
  {
    "not ready": ({ phase }) => phase !== "ready",
    behind: ({ configuration }, newest) => (configuration?.version ?? 0) < newest,
    "disconnected from the store": ({ isStoreReachable, knownAgoMs }) =>
      !isStoreReachable && knownAgoMs > MAX_UPDATE_AGE_MS,
    "budgets exhausted": ({ extraCallsLeft }) => {
      return Object.values(extraCallsLeft).some((calls) => calls < MIN_EXTRA_CALLS_LEFT);
    },
  };

/**
 * Compares a box with a healthy one that is up to date.
 *
 * @param queried - The box.
 * @param newestVersion - Newest version of the configuration on any box.
 * @returns The conditions in which it differs; none if it is healthy.
 */
export function differencesOf(
  { report }: QueriedBox,
  newestVersion: number,
): ReadonlyArray<Difference> {
  if (report === undefined) {
    return ["not answering"];
  }
  return Object.entries(REPORTED_DIFFERENCES)
    .filter(([, differs]) => differs(report, newestVersion))
    .map(([difference]) => difference as Difference);
}

/**
 * Returns the newest version of the configuration on any box.
 *
 * @param queried - The boxes.
 * @returns The version; 0 if no box has a configuration.
 */
export function newestVersionOf(queried: ReadonlyArray<QueriedBox>): number {
  return Math.max(0, ...queried.map(({ report }) => report?.configuration?.version ?? 0));
}

/**
 * Summarises boxes by data centre.
 *
 * @param queried - The boxes.
 * @returns A line for each data centre, sorted by name.
 */
export function summariseFleet(queried: ReadonlyArray<QueriedBox>): ReadonlyArray<string> {
  const newest = newestVersionOf(queried);
  const dataCentres = [...new Set(queried.map(({ dataCentre }) => dataCentre))].toSorted();
  return dataCentres.map((dataCentre) => {
    const here = queried.filter((each) => each.dataCentre === dataCentre);
    const counts = new Map<Difference, number>();
    for (const difference of here.flatMap((each) => differencesOf(each, newest))) {
      counts.set(difference, (counts.get(difference) ?? 0) + 1);
    }
    const healthy = here.filter((each) => differencesOf(each, newest).length === 0).length;
    const differing = [...counts].map(([difference, count]) => `, ${count} ${difference}`).join("");
    return `${dataCentre}: ${here.length} boxes, ${healthy} healthy with configuration ${newest}${differing}`;
  });
}

/** An evacuated data centre, and the number of boxes on which the evacuation is in effect. */
export interface EvacuationSummary {
  readonly dataCentre: string;
  /** Number of boxes that send no calls there. */
  readonly activeCount: number;
  /** Number of boxes that answered. */
  readonly answeredCount: number;
}

/**
 * Counts the boxes on which each evacuation is in effect; boxes that have not received it yet are
 * missing.
 *
 * @param queried - The boxes.
 * @returns The data centres that any box reports as evacuated, sorted by name.
 */
export function evacuationsOf(
  queried: ReadonlyArray<QueriedBox>,
): ReadonlyArray<EvacuationSummary> {
  const reports = queried.flatMap(({ report }) => report ?? []);
  const dataCentres = [...new Set(reports.flatMap(({ evacuated }) => evacuated))].toSorted();
  return dataCentres.map((dataCentre) => {
    const activeCount = reports.filter(({ evacuated }) => evacuated.includes(dataCentre)).length;
    return { dataCentre, activeCount, answeredCount: reports.length };
  });
}

/**
 * Lists suspected and quarantined queries, each in the most recently changed state that any box
 * reports.
 *
 * @param queried - The boxes.
 * @returns The queries, the latest change first.
 */
export function flaggedQueriesOf(
  queried: ReadonlyArray<QueriedBox>,
): ReadonlyArray<ReportedCrashes> {
  const latest = new Map<string, ReportedCrashes>();
  for (const query of queried.flatMap(({ report }) => report?.queries ?? [])) {
    const known = latest.get(query.fingerprint);
    if (known === undefined || query.changedAgoMs < known.changedAgoMs) {
      latest.set(query.fingerprint, query);
    }
  }
  return [...latest.values()]
    .filter(({ standing }) => standing !== "cleared")
    .toSorted((a, b) => a.changedAgoMs - b.changedAgoMs);
}
