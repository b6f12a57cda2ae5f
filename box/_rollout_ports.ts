/**
 * What the coordination of rollouts needs from the other parts of a box.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { StoredRollout } from "../cluster_state/mod.js";
import type {
  MemberState,
  Rollout,
  RolloutBounds,
  RolloutReport,
  StorePosition,
} from "../model/mod.js";
import type { StoreError, StoreObject } from "../platform/mod.js";
import type { RolloutLeafs, RolloutTotals } from "../rollouts/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Access to the status of orders in the store. */
export interface RolloutStore {
  /**
   * Writes a status if the revision of the object is unchanged.
   *
   * @param service - Name of the object.
   * @param write - The status and the expected revision.
   * @returns The changed object or an error, as `StoreClient.replace()`.
   */
  writeStatus(
    service: string,
    write: { readonly revision: number; readonly status: unknown },
  ): Promise<Result<StoreObject, StoreError>>;
}

/** Sends the orders as this box knows them, and reports, to other boxes; they may be lost. */
export interface RolloutLink {
  /**
   * Sends the orders of this box and reports.
   *
   * @param boxes - Names of the receiving boxes.
   * @param reports - Reports to send with the orders.
   */
  send(boxes: ReadonlyArray<string>, reports: ReadonlyArray<RolloutReport>): void;
}

/** Identifies an order. */
export type RolloutKey = Pick<Rollout, "service" | "orderPosition">;

/** The orders that this box knows. */
export interface KnownRollouts {
  /** Position up to which the orders of the store are known. */
  readonly position: StorePosition;
  /**
   * Returns the latest order of a service.
   *
   * @param service - Name of the service.
   * @returns The order; `undefined` if there was none.
   */
  get(service: string): Rollout | undefined;
  /**
   * Returns the latest order of each service.
   *
   * @returns The orders.
   */
  all(): ReadonlyArray<Rollout>;
  /**
   * Merges a view of an order that the coordination of this box has produced.
   *
   * @param rollout - The view.
   */
  merge(rollout: Rollout): void;
  /**
   * Applies an object that the store returned.
   *
   * @param object - The object.
   * @returns The order as the store holds it; `undefined` if the store has removed it.
   */
  apply(object: StoreObject): StoredRollout | undefined;
  /**
   * Returns the position of the last known change of an object.
   *
   * @param service - Name of the object.
   * @returns The position; `undefined` if no revision is known on which to condition a write of the
   *   order in effect.
   */
  positionOf(service: string): StorePosition | undefined;
}

/** The latest report of each incarnation of each box. */
export interface RolloutReports {
  /**
   * Merges a report into the latest one of the same incarnation.
   *
   * @param report - The report.
   */
  merge(report: RolloutReport): void;
  /**
   * Forgets reports on orders that are not needed any more.
   *
   * @param isNeeded - Returns whether to keep the reports on an order.
   */
  forgetUnless(isNeeded: (order: RolloutKey) => boolean): void;
  /**
   * Returns the reports on an order.
   *
   * @param key - The order.
   * @returns One report for each incarnation of each box.
   */
  reportsOf(key: RolloutKey): ReadonlyArray<RolloutReport>;
  /**
   * Returns the sum of the reports on an order.
   *
   * @param key - The order.
   * @returns The totals; zeros if there is no report.
   */
  totals(key: RolloutKey): RolloutTotals;
}

/** A box of the fleet. */
export interface RolloutBox {
  readonly memberId: string;
  readonly incarnation: string;
  readonly state: MemberState;
}

/** Options of `RolloutRunner`. */
export interface RolloutRunnerOptions {
  /** Name of this box. */
  readonly box: string;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Returns the time in milliseconds since the epoch. */
  readonly nowEpochMs: () => number;
  readonly bounds: RolloutBounds;
  readonly orders: KnownRollouts;
  readonly reports: RolloutReports;
  /** Reports of this box on running orders. */
  readonly gate: { reports(): ReadonlyArray<RolloutReport> };
  /** Returns all known boxes, including this one and dead ones. */
  readonly members: () => ReadonlyArray<RolloutBox>;
  /** Returns the number of boxes in the store's list; `undefined` while it is unknown. */
  readonly listedBoxes: () => number | undefined;
  /** Returns the leafs of an order's service; `undefined` while the leafs are unknown. */
  readonly leafsOf: (order: Rollout) => RolloutLeafs | undefined;
  readonly store: RolloutStore;
  readonly link: RolloutLink;
  readonly telemetry: Pick<BoxTelemetry, "event" | "rollouts">;
}
