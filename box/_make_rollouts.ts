/**
 * Creates the parts of a box that take part in rollouts: the access by versions, the reports of all
 * boxes, and the coordination of orders.
 *
 * @module
 */
import type { ClusterState } from "../cluster_state/mod.js";
import type { FleetLink, FleetView, KnownFleetSize } from "../fleet/mod.js";
import type { Leaf } from "../leafs/mod.js";
import type { Member, RolloutBounds, RolloutReport } from "../model/mod.js";
import { type BoxSettings, ROLLOUT_KIND, type StoreClient } from "../platform/mod.js";
import { ANY_VERSION, ReportTable, RolloutGate, type VersionAccess } from "../rollouts/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { RolloutRunnerOptions } from "./_rollout_ports.js";
import type { RolloutSummary } from "./_rollout_summary.js";
import { rolloutLeafs } from "./rollout_leafs.js";
import { RolloutRunner } from "./rollout_runner.js";

/** Options of {@link makeRollouts}. */
export interface MakeRolloutsOptions {
  readonly settings: Pick<BoxSettings, "box" | "regions" | "rolloutBounds">;
  /** Membership record of this box. */
  readonly self: Member;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  readonly clusterState: ClusterState;
  readonly store: StoreClient;
  readonly view: Pick<FleetView, "slackShare">;
  readonly fleetSize: KnownFleetSize;
  /** Returns the link to the other boxes, which is created later. */
  readonly fleet: () => Pick<FleetLink, "members" | "sendRollouts">;
  /** Returns whether a leaf is known to have terminated. */
  readonly isTerminated: (leaf: Leaf) => boolean;
  readonly telemetry: BoxTelemetry;
}

/** Takes part in rollouts for one box. */
export interface Rollouts {
  readonly versions: VersionAccess;
  /** Brings the access by versions up to date after orders or leafs have changed. */
  readonly refresh: () => void;
  /** Merges reports of another box. */
  readonly receive: (reports: ReadonlyArray<RolloutReport>) => void;
  /** Returns what this box knows of all orders, for operators. */
  readonly summaries: () => ReadonlyArray<RolloutSummary>;
  readonly stop: () => void;
}

/** Used where the settings do not enable rollouts. */
const NO_ROLLOUTS: Rollouts = {
  versions: ANY_VERSION,
  refresh: () => undefined,
  receive: () => undefined,
  summaries: () => [],
  stop: () => undefined,
};

/**
 * Creates the parts of a box that take part in rollouts. Where the settings do not enable rollouts,
 * every version may be called and nothing is sent or written.
 *
 * @param options - State that the parts read, the store and the link.
 * @returns The parts.
 */
export function makeRollouts(options: MakeRolloutsOptions): Rollouts {
  const { rolloutBounds } = options.settings;
  return rolloutBounds === undefined ? NO_ROLLOUTS : startRollouts(rolloutBounds, options);
}

function startRollouts(bounds: RolloutBounds, options: MakeRolloutsOptions): Rollouts {
  const { clusterState, nowMs, self, settings, telemetry, view } = options;
  const { rollouts: orders } = clusterState;
  const gate = new RolloutGate({
    ...{ box: settings.box, incarnation: self.incarnation, nowMs, bounds, telemetry },
    rolloutOf: (service) => orders.get(service),
    ordersPosition: () => orders.position,
    slackShare: () => view.slackShare().share,
    leafsOf: (service) => clusterState.leafs.byService.get(service) ?? [],
    onBad: (rollout, verdict) => runner.reportBad(rollout, verdict),
    onConfirmed: () => runner.passSoon(),
  });
  const runner = new RolloutRunner(runnerOptions({ bounds, gate }, options));
  return {
    versions: gate,
    refresh: () => {
      const services = new Set(orders.all().map(({ service }) => service));
      gate.refresh(new Set([...services, ...clusterState.leafs.byService.keys()]));
      runner.wake();
    },
    receive: (reports) => runner.receive(reports),
    summaries: () => runner.summaries(),
    stop: () => runner.stop(),
  };
}

/** Connects the runner to the other parts of the box. */
function runnerOptions(
  { bounds, gate }: { readonly bounds: RolloutBounds; readonly gate: RolloutGate },
  options: MakeRolloutsOptions,
): RolloutRunnerOptions {
  const { clusterState, fleet, fleetSize, isTerminated, nowMs, settings, store, telemetry } =
    options;
  return {
    ...{ box: settings.box, nowMs, bounds, gate, telemetry },
    nowEpochMs: () => Date.now(),
    orders: makeOrders(options),
    reports: new ReportTable(),
    members: () => fleet().members(),
    listedBoxes: () => fleetSize.current?.boxCount,
    leafsOf: (order) => {
      return clusterState.leafsRevision === 0
        ? undefined
        : rolloutLeafs(order, {
            leafs: clusterState.leafs.byService.get(order.service) ?? [],
            routes: clusterState.routes?.configuration.routes ?? [],
            regionOf: (dataCentre) => settings.regions.get(dataCentre) ?? dataCentre,
            isUsable: (leaf) => !clusterState.evacuated.has(leaf.dataCentre) && !isTerminated(leaf),
          });
    },
    store: {
      writeStatus: (name, write) => store.writeStatus(ROLLOUT_KIND, { name, ...write }),
    },
    link: {
      send: (boxes, reports) => {
        const recipients = fleet()
          .members()
          .filter(({ memberId }) => boxes.includes(memberId));
        fleet().sendRollouts(recipients, { reports });
      },
    },
  };
}

/** Adapts the orders of the cluster state to the interface of the runner. */
function makeOrders({
  clusterState: { rollouts },
  store,
}: Pick<MakeRolloutsOptions, "clusterState" | "store">): RolloutRunnerOptions["orders"] {
  return {
    get position() {
      return rollouts.position;
    },
    get: (service) => rollouts.get(service),
    all: () => rollouts.all(),
    merge: (rollout) => {
      rollouts.apply(rollout);
    },
    apply: (object) => {
      rollouts.applyObject(object, { era: store.era });
      return rollouts.storedOf(object.name);
    },
    positionOf: (service) => {
      const isCurrent = rollouts.revisionOf(service) !== undefined;
      return isCurrent ? rollouts.storedOf(service)?.position : undefined;
    },
  };
}
