/**
 * What a box tells operators of itself: what is in force on it and since when, the leafs that it
 * believes in and why, what is left of its budgets.
 *
 * @module
 */
import type { Leaf, LeafCondition, LeafTable } from "../leafs/mod.js";
import type { Member, MemberState } from "../model/mod.js";

/** Path at which a box tells it, on its peers' port. */
export const REPORT_PATH = "/peer/v1/report";

/** How a leaf is seen by a box. */
export type LeafStanding = "ready" | "warming up" | "draining" | "lapsed" | "gone";

/** One leaf as a box believes in it. */
export interface LeafReport {
  readonly leafId: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly standing: LeafStanding;
  /** Mean time of its answers, in milliseconds; 0 before the first. */
  readonly meanMs: number;
  readonly openCalls: number;
  readonly failuresInRow: number;
  /** Time for which it is still asked only where no other is left, in milliseconds. */
  readonly avoidedForMs: number;
}

/** The configuration in force on a box. */
export interface ConfigurationReport {
  readonly version: number;
  readonly source: "store" | "peer";
  /** Time for which it has been in force, in milliseconds. */
  readonly inForceForMs: number;
}

/** Another box as this one knows it. */
export interface MemberReport {
  readonly box: string;
  readonly state: MemberState;
  readonly address: string;
  readonly peerPort: number;
}

/** What a box tells of itself. */
export interface BoxReport {
  readonly box: string;
  readonly phase: string;
  /** Nothing before the first configuration. */
  readonly configuration?: ConfigurationReport | undefined;
  readonly leafsRevision: number;
  /** Whether it watches the store itself. */
  readonly isWatcher: boolean;
  readonly hearsStore: boolean;
  /** Time since it last heard news of the store, in milliseconds. */
  readonly knownAgoMs: number;
  readonly running: number;
  readonly members: ReadonlyArray<MemberReport>;
  readonly leafs: ReadonlyArray<LeafReport>;
  /** Extra calls that each service's budget allows at this moment. */
  readonly extraCallsLeft: Readonly<Record<string, number>>;
}

/** What a leaf's report is made from. */
export interface LeafView {
  readonly table: LeafTable;
  readonly condition: (leafId: string) => LeafCondition | undefined;
  readonly nowMs: number;
}

/**
 * Reports the leafs that a box believes in.
 *
 * @param view - What it knows of them.
 * @returns A report each, by service.
 */
export function reportLeafs({ table, condition, nowMs }: LeafView): ReadonlyArray<LeafReport> {
  return [...table.byId.values()]
    .map((leaf) => {
      const seen = condition(leaf.leafId);
      const { leafId, service, dataCentre } = leaf;
      return {
        leafId,
        service,
        dataCentre,
        standing: standingOf(leaf, table, seen),
        meanMs: Math.round(seen?.meanMs ?? 0),
        openCalls: seen?.openCalls.size ?? 0,
        failuresInRow: seen?.failuresInRow ?? 0,
        avoidedForMs: Math.max(0, Math.round((seen?.avoidUntilMs ?? 0) - nowMs)),
      };
    })
    .toSorted((a, b) => (`${a.service} ${a.leafId}` < `${b.service} ${b.leafId}` ? -1 : 1));
}

function standingOf(
  { leafId, draining, warmingForMs }: Leaf,
  { dropAtMs }: LeafTable,
  condition: LeafCondition | undefined,
): LeafStanding {
  if (condition?.gone === true) {
    return "gone";
  }
  if (draining) {
    return "draining";
  }
  if (dropAtMs.has(leafId)) {
    return "lapsed";
  }
  return warmingForMs > 0 ? "warming up" : "ready";
}

/**
 * Reports the other boxes that a box knows.
 *
 * @param members - The boxes.
 * @returns A report each.
 */
export function reportMembers(members: ReadonlyArray<Member>): ReadonlyArray<MemberReport> {
  return members.map(({ box, state, address, peerPort }) => ({ box, state, address, peerPort }));
}
