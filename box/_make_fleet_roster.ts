/**
 * Creates a box's access to the list of all boxes in the store.
 *
 * @module
 */
import { FleetRoster } from "../cluster_state/mod.js";
import type { FleetView, KnownFleetSize } from "../fleet/mod.js";
import { rendezvousRank } from "../hashing/mod.js";
import type { StoreClient } from "../platform/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Options of {@link makeFleetRoster}. */
export interface MakeFleetRosterOptions {
  readonly box: string;
  readonly store: StoreClient;
  readonly nowMs: () => number;
  readonly view: Pick<FleetView, "knownBoxes" | "runningBoxes">;
  readonly fleetSize: KnownFleetSize;
  /** Notifies other boxes immediately. */
  readonly notifyBoxes: () => void;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/**
 * Creates the roster.
 *
 * @param options - State that the roster reads and updates.
 * @returns The roster.
 */
export function makeFleetRoster(options: MakeFleetRosterOptions): FleetRoster {
  const { box, fleetSize, notifyBoxes, nowMs, store, telemetry, view } = options;
  return new FleetRoster({
    box,
    store,
    nowMs,
    runningBoxes: () => view.runningBoxes(),
    knownBoxes: () => view.knownBoxes(),
    rank: () => rendezvousRank("list the fleet", [...view.runningBoxes().keys()]).indexOf(box),
    size: () => fleetSize.current,
    onSize: (size) => {
      if (fleetSize.merge(size)) {
        notifyBoxes();
      }
    },
    telemetry,
  });
}
