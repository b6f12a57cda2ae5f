/**
 * Options of a cluster state: what it reads, and whom it notifies of changes.
 *
 * @module
 */
import type { StoreClient } from "../platform/mod.js";
import type { Configuration } from "../routing/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Options of a cluster state. */
export interface ClusterStateOptions {
  readonly store: StoreClient;
  /** Maximum time for which a watch waits for a change, in milliseconds. */
  readonly waitMs: number;
  readonly telemetry: BoxTelemetry;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Called after each change of the active configuration. */
  readonly onConfiguration: (configuration: Configuration) => void;
  /** Called after each change of the leafs. */
  readonly onLeafs: () => void;
  /** Called after the store was restored from a backup and may lack recent writes of the boxes. */
  readonly onStoreRestored: () => void;
  /** Whether operators may evacuate data centres; if not, evacuations are not watched. */
  readonly isEvacuationEnabled: boolean;
  /** Called after each change of the evacuated data centres, with those that are used again. */
  readonly onEvacuations: (usedAgain: ReadonlyArray<string>) => void;
  /** Whether operators may order rollouts; if not, orders are neither watched nor exchanged. */
  readonly isRolloutEnabled: boolean;
  /**
   * Called after each change of the orders of rollouts, with their services; also once when they
   * become known, even if there are none.
   */
  readonly onRollouts: (services: ReadonlyArray<string>) => void;
}
