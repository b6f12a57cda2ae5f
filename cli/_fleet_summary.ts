/**
 * Sums up what many boxes tell of themselves: counts by data centre, and the boxes that differ from the rest.
 *
 * @module
 */
import type { BoxReport } from "../box/box_report.js";
import type { ReportedCrashes } from "../quarantine/mod.js";

/** A box that was asked. */
export interface QueriedBox {
  readonly box: string;
  readonly dataCentre: string;
  /** What it told; nothing where it did not answer. */
  readonly report: BoxReport | undefined;
}

/** Age of a box's last news at which it counts as cut from the store, in milliseconds. */
const OLD_NEWS_MS = 10_000;

/** Extra calls that a budget must allow to go unmentioned. */
export const MIN_EXTRA_CALLS_LEFT = 1;

/** A way in which a box may differ from the rest. */
type Difference = "not answering" | "not ready" | "behind" | "cut from the store" | "budgets spent";

type DifferenceTest = (report: BoxReport, newestVersion: number) => boolean;

const REPORTED_DIFFERENCES: Readonly<Record<Exclude<Difference, "not answering">, DifferenceTest>> =
  {
    "not ready": ({ phase }) => phase !== "ready",
    behind: ({ configuration }, newest) => (configuration?.version ?? 0) < newest,
    "cut from the store": ({ isStoreReachable, knownAgoMs }) =>
      !isStoreReachable && knownAgoMs > OLD_NEWS_MS,
    "budgets spent": ({ extraCallsLeft }) => {
      return Object.values(extraCallsLeft).some((calls) => calls < MIN_EXTRA_CALLS_LEFT);
    },
  };

/**
 * Tells how a box differs from one that is well and up to date.
 *
 * @param asked - The box.
 * @param newestVersion - Newest version of the configuration that any box has.
 * @returns Each way in which it differs.
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
 * Tells the newest version of the configuration that any box has.
 *
 * @param asked - The boxes.
 * @returns The version; 0 where none has one.
 */
export function newestVersionOf(asked: ReadonlyArray<QueriedBox>): number {
  return Math.max(0, ...asked.map(({ report }) => report?.configuration?.version ?? 0));
}

/**
 * Sums up boxes by data centre.
 *
 * @param asked - The boxes.
 * @returns A line for each data centre, in the order of their names.
 */
export function summariseFleet(asked: ReadonlyArray<QueriedBox>): ReadonlyArray<string> {
  const newest = newestVersionOf(asked);
  const dataCentres = [...new Set(asked.map(({ dataCentre }) => dataCentre))].toSorted();
  return dataCentres.map((dataCentre) => {
    const here = asked.filter((each) => each.dataCentre === dataCentre);
    const counts = new Map<Difference, number>();
    for (const difference of here.flatMap((each) => differencesOf(each, newest))) {
      counts.set(difference, (counts.get(difference) ?? 0) + 1);
    }
    const well = here.filter((each) => differencesOf(each, newest).length === 0).length;
    const told = [...counts].map(([difference, count]) => `, ${count} ${difference}`).join("");
    return `${dataCentre}: ${here.length} boxes, ${well} well with configuration ${newest}${told}`;
  });
}

/** A data centre that operators have emptied, and how far that is in force. */
export interface EvacuationSummary {
  readonly dataCentre: string;
  /** Boxes that send nothing there. */
  readonly boxes: number;
  /** Boxes that answered. */
  readonly of: number;
}

/**
 * Tells on how many boxes each evacuation is in force: while it is on some only, the others have not heard yet.
 *
 * @param asked - The boxes.
 * @returns The data centres that any box has as evacuated, in the order of their names.
 */
export function evacuationsOf(asked: ReadonlyArray<QueriedBox>): ReadonlyArray<EvacuationSummary> {
  const reports = asked.flatMap(({ report }) => report ?? []);
  const dataCentres = [...new Set(reports.flatMap(({ evacuated }) => evacuated))].toSorted();
  return dataCentres.map((dataCentre) => {
    const boxes = reports.filter(({ evacuated }) => evacuated.includes(dataCentre)).length;
    return { dataCentre, boxes, of: reports.length };
  });
}

/**
 * Lists the queries that boxes suspect or do not send any more, each as the box tells it that heard last.
 *
 * @param asked - The boxes.
 * @returns The queries, the latest change first.
 */
export function flaggedQueriesOf(asked: ReadonlyArray<QueriedBox>): ReadonlyArray<ReportedCrashes> {
  const latest = new Map<string, ReportedCrashes>();
  for (const query of asked.flatMap(({ report }) => report?.queries ?? [])) {
    const known = latest.get(query.fingerprint);
    if (known === undefined || query.changedAgoMs < known.changedAgoMs) {
      latest.set(query.fingerprint, query);
    }
  }
  return [...latest.values()]
    .filter(({ standing }) => standing !== "cleared")
    .toSorted((a, b) => a.changedAgoMs - b.changedAgoMs);
}
