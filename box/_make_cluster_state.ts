/**
 * Creates a box's state of the cluster. After each change the parts of the box that depend on it
 * are updated, and the boxes that receive updates from this one are notified.
 *
 * @module
 */
import type { Server } from "node:http";
import { nowMs } from "../clock/mod.js";
import {
  ClusterState,
  type FleetRoster,
  type QuarantineArchive,
  watchWaitMs,
} from "../cluster_state/mod.js";
import type { FleetLink, FleetView } from "../fleet/mod.js";
import type { BoxSettings, StoreClient } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { CallPath } from "./_make_call_path.js";
import type { Rollouts } from "./_make_rollouts.js";
import type { BoxLifecycle } from "./box_lifecycle.js";
import { setKeepAliveTimeouts } from "./caller_server.js";

/** Parts of a box that changes of the state affect. */
export interface StateDependents {
  readonly callPath: Pick<CallPath, "calls" | "coldLeafs">;
  readonly rollouts: Pick<Rollouts, "refresh">;
  readonly fleet: Pick<FleetLink, "announceState" | "sendUpdate" | "sendUpdateSoon">;
  readonly archive: Pick<QuarantineArchive, "rewrite">;
  readonly quarantine: Pick<Quarantine, "records">;
  readonly callerServer: Server;
}

/** Options of {@link makeClusterState}. */
export interface MakeClusterStateOptions {
  readonly settings: BoxSettings;
  readonly store: StoreClient;
  readonly view: Pick<FleetView, "invalidate" | "updateRecipients">;
  readonly roster: Pick<FleetRoster, "update">;
  readonly lifecycle: Pick<BoxLifecycle, "markConfigured" | "phase">;
  /** Returns the parts that changes affect, which are created later. */
  readonly dependents: () => StateDependents;
  readonly telemetry: BoxTelemetry;
}

/** The state, and the start of service that depends on it. */
export interface BoxClusterState {
  readonly clusterState: ClusterState;
  /** Lets the box serve once its state is complete. */
  readonly becomeReadyIfComplete: () => void;
}

/**
 * Creates the state.
 *
 * @param options - The store, and the parts of the box to update.
 * @returns The state, which does not watch the store yet.
 */
export function makeClusterState(options: MakeClusterStateOptions): BoxClusterState {
  const { dependents, roster, settings, store, telemetry, view } = options;
  const updateRecipients = () => view.updateRecipients();

  function becomeReadyIfComplete(): void {
    const { lifecycle } = options;
    if (clusterState.isComplete && lifecycle.phase === "starting") {
      lifecycle.markConfigured();
      dependents().fleet.announceState("alive");
      view.invalidate();
    }
  }

  function notifyBoxes(): void {
    if (clusterState.isWatcher) {
      dependents().fleet.sendUpdate(updateRecipients());
    }
  }

  /**
   * Becomes ready once the state is complete, and notifies the boxes that receive updates from this
   * one.
   */
  function onStateChange(): void {
    becomeReadyIfComplete();
    notifyBoxes();
  }

  const clusterState = new ClusterState({
    store,
    waitMs: watchWaitMs(settings),
    telemetry,
    nowMs,
    onConfiguration: ({ callerLimits }) => {
      setKeepAliveTimeouts(dependents().callerServer, callerLimits);
      onStateChange();
    },
    onLeafs: () => {
      const { callPath, rollouts } = dependents();
      callPath.calls.setLeafs(clusterState.leafs.byId);
      callPath.coldLeafs.setLeafs(clusterState.leafs.byId);
      rollouts.refresh();
      onStateChange();
    },
    onStoreRestored: () => {
      const { archive, quarantine } = dependents();
      void archive.rewrite(quarantine.records());
      void roster.update();
    },
    isEvacuationEnabled: settings.hasEvacuations,
    // Notifies the boxes that receive updates from this one; leafs of data centres that are in use
    // again are marked cold.
    onEvacuations: (usedAgain) => {
      const reused = [...clusterState.leafs.byId.values()].filter(({ dataCentre }) => {
        return usedAgain.includes(dataCentre);
      });
      dependents().callPath.coldLeafs.markCold(reused);
      notifyBoxes();
    },
    isRolloutEnabled: settings.rolloutBounds !== undefined,
    // Becomes ready once the orders are known, and notifies the boxes that receive updates.
    onRollouts: (services) => {
      const { fleet, rollouts } = dependents();
      rollouts.refresh();
      becomeReadyIfComplete();
      if (clusterState.isWatcher && services.length > 0) {
        fleet.sendUpdateSoon(updateRecipients);
      }
    },
  });
  return { clusterState, becomeReadyIfComplete };
}
