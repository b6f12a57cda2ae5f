/**
 * One box: answers callers' requests by calling leafs, and follows the state of the store and the
 * other boxes.
 *
 * @module
 */
import { BOX_CLOCK, nowMs } from "../clock/mod.js";
import { type ClusterState, QuarantineArchive } from "../cluster_state/mod.js";
import { type FleetLink, FleetView, KnownFleetSize, selfMember } from "../fleet/mod.js";
import type { Member } from "../model/mod.js";
import { type BoxSettings, MAX_CONNECTIONS_WITH_ROLLOUTS, StoreClient } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { BoxServers } from "./_box_servers.js";
import { makeAuxiliaryServers } from "./_make_auxiliary_servers.js";
import { type CallPath, makeCallPath } from "./_make_call_path.js";
import { makeCleanupTimer } from "./_make_cleanup_timer.js";
import { makeClusterState } from "./_make_cluster_state.js";
import { makeFleetLink } from "./_make_fleet_link.js";
import { makeFleetRoster } from "./_make_fleet_roster.js";
import { makeQuarantine } from "./_make_quarantine.js";
import { makeRequestHandler } from "./_make_request_handler.js";
import { makeRollouts, type Rollouts } from "./_make_rollouts.js";
import type { AdaptiveTimer } from "./adaptive_timer.js";
import type { MetricsEndpoint, ServerAtPort } from "./auxiliary_servers.js";
import { BoxLifecycle } from "./box_lifecycle.js";
import { type BoxReport, buildBoxReport } from "./box_report.js";
import { createCallerServer } from "./caller_server.js";
import type { CompiledPolicies } from "./route_policies.js";
import { handleTimeJump } from "./time_jump.js";

/** Maximum size of request bodies until a configuration sets the limit, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** Options of {@link Box}. */
export interface BoxOptions {
  readonly settings: BoxSettings;
  readonly telemetry: BoxTelemetry;
  /** Operators' policy programs; `undefined` if only the routes' own settings apply. */
  readonly policies: CompiledPolicies | undefined;
  /** Where metrics are served; `undefined` to serve none. */
  readonly metrics: MetricsEndpoint | undefined;
  /** Called when a planned stop is complete. */
  readonly onEnd: () => void;
}

/** A running box. */
export class Box {
  #settings: BoxSettings;
  readonly #telemetry: BoxTelemetry;
  readonly #onEnd: () => void;
  readonly #clusterState: ClusterState;
  readonly #rollouts: Rollouts;
  readonly #callPath: CallPath;
  readonly #quarantine: Quarantine;
  readonly #archive: QuarantineArchive;
  readonly #fleet: FleetLink;
  readonly #servers: BoxServers;
  readonly #view: FleetView;
  readonly #fleetSize = new KnownFleetSize(() => this.#view.invalidate());
  readonly #lifecycle: BoxLifecycle;
  readonly #cleanupTimer: AdaptiveTimer;

  /**
   * @param options - Settings, telemetry and policies of the box.
   */
  constructor({ settings, telemetry, policies, metrics, onEnd }: BoxOptions) {
    this.#settings = settings;
    this.#telemetry = telemetry;
    this.#onEnd = onEnd;
    this.#lifecycle = new BoxLifecycle({
      nowMs,
      telemetry,
      closeIdle: () => this.#servers.closeIdleCallers(),
      openCount: () => this.#servers.countOpen(),
      onLeaving: () => this.#leave(),
      stopAccepting: () => this.#servers.stopAcceptingCallers(),
      onEnd: (closeWithinMs) => void this.#completeStop(closeWithinMs),
    });
    const store =
      settings.rolloutBounds === undefined
        ? new StoreClient(settings.store)
        : new StoreClient(settings.store, MAX_CONNECTIONS_WITH_ROLLOUTS);
    this.#view = new FleetView({
      settings: () => this.#settings,
      members: () => this.#fleet.members(),
      alive: () => this.#fleet.alive(),
      fleetSize: () => this.#fleetSize.current,
      sinceLastContactMs: () => this.#fleet.sinceLastContactMs,
      roundTripMs: (dataCentre) => this.#fleet.roundTripMs(dataCentre),
    });
    const roster = makeFleetRoster({
      box: settings.box,
      store,
      nowMs,
      view: this.#view,
      fleetSize: this.#fleetSize,
      notifyBoxes: () => this.#fleet.sendUpdate(this.#view.updateRecipients()),
      telemetry,
    });
    const { clusterState, becomeReadyIfComplete } = makeClusterState({
      ...{ settings, store, view: this.#view, roster, lifecycle: this.#lifecycle },
      dependents: () => ({
        callPath: this.#callPath,
        rollouts: this.#rollouts,
        fleet: this.#fleet,
        archive: this.#archive,
        quarantine: this.#quarantine,
        callerServer: this.#servers.callerServer,
      }),
      telemetry,
    });
    this.#clusterState = clusterState;
    this.#archive = new QuarantineArchive({
      store,
      nowMs,
      nowEpochMs: () => Date.now(),
      onLoaded: (reported) => this.#quarantine.applyReports(reported),
      telemetry,
    });
    this.#quarantine = makeQuarantine({
      box: settings.box,
      nowMs,
      servingBoxes: () => this.#view.allServingBoxes(),
      calls: () => this.#callPath.calls,
      notifyBoxes: () => this.#fleet.sendUpdate(this.#view.updateRecipients()),
      persist: (record, before) => void this.#archive.recordChange(record, before),
      telemetry,
    });
    const self = selfMember(settings);
    this.#rollouts = makeRollouts({
      ...{ settings, self, nowMs, clusterState, store },
      ...{ view: this.#view, fleetSize: this.#fleetSize, fleet: () => this.#fleet },
      isTerminated: ({ leafId }) => this.#callPath.calls.health(leafId)?.terminated === true,
      telemetry,
    });
    this.#callPath = makeCallPath({
      settings: () => this.#settings,
      clusterState,
      view: this.#view,
      quarantine: this.#quarantine,
      versions: this.#rollouts.versions,
      onBusy: () => this.#cleanupTimer.wake(),
      telemetry,
    });
    this.#cleanupTimer = makeCleanupTimer({
      clusterState,
      callPath: this.#callPath,
      lifecycle: this.#lifecycle,
      view: this.#view,
      roster,
      store,
      becomeReadyIfComplete,
      telemetry,
    });
    const { access, calls, places, runner } = this.#callPath;
    const isLocal = ({ dataCentre }: Member): boolean => places.isLocal(dataCentre);
    this.#fleet = makeFleetLink({
      settings: () => this.#settings,
      nowMs,
      clusterState,
      view: this.#view,
      fleetSize: this.#fleetSize,
      isLocal,
      quarantine: this.#quarantine,
      self,
      onRolloutReports: (reports) => this.#rollouts.receive(reports),
      onMemberChange: () => {
        this.#view.invalidate();
        this.#cleanupTimer.wake();
      },
      telemetry,
    });
    const requestHandler = makeRequestHandler({
      nowMs,
      clusterState,
      telemetry,
      runner,
      programs: policies,
      countBoxes: () => this.#view.countBoxes(),
      remainingMs: () => this.#lifecycle.remainingMs,
    });
    const callerServer = createCallerServer({
      nowMs,
      maxBodyBytes: () => {
        const limits = clusterState.routes?.configuration.callerLimits;
        return limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
      },
      isLeaving: () => this.#lifecycle.phase !== "ready",
      onRequest: (incoming, sendReply) => requestHandler.handle(incoming, sendReply),
    });
    const callers: ServerAtPort = { ...callerServer, port: settings.callers.port };
    const auxiliary = makeAuxiliaryServers({
      settings: () => this.#settings,
      lifecycle: this.#lifecycle,
      view: this.#view,
      clusterState,
      quarantine: this.#quarantine,
      calls,
      places,
      access,
      report: () => this.#report(),
      metrics,
      telemetry,
    });
    this.#servers = new BoxServers({ callers, auxiliary });
  }

  /** Starts all servers and begins to watch the store. */
  async start(): Promise<void> {
    const { address } = this.#settings;
    const jumpListeners = {
      fleet: this.#fleet,
      view: this.#view,
      relays: this.#callPath.relays,
      runner: this.#callPath.runner,
      telemetry: this.#telemetry,
    };
    // Deferred, because the clock must not be read again from within one of its reads.
    BOX_CLOCK.setJumpListener((jump) => queueMicrotask(() => handleTimeJump(jump, jumpListeners)));
    this.#clusterState.start();
    await this.#servers.listen(address);
    await this.#fleet.start();
    this.#cleanupTimer.start();
    this.#archive.scheduleLoad(() => this.#view.watchesStore());
    this.#telemetry.event("info", "box: started", { startMs: Math.round(performance.now()) });
  }

  /**
   * Applies changed settings. Seeds and limits take effect immediately; addresses and names keep
   * their values until the next start.
   *
   * @param settings - The new settings.
   */
  reload(settings: BoxSettings): void {
    const before = this.#settings;
    const { seeds, mostKeepMs, stopGraceMs } = settings;
    const { extraCallShare, extraCallSlack, extraCallWindowMs } = settings;
    const budgets = { extraCallShare, extraCallSlack, extraCallWindowMs };
    const changed = { seeds, mostKeepMs, stopGraceMs, ...budgets };
    this.#settings = { ...before, ...changed };
    this.#view.invalidate();
    this.#telemetry.event("info", "box: reloaded", changed);
  }

  /** Begins a planned stop: leaves the address lists, completes open requests, then exits. */
  stop(): void {
    this.#lifecycle.stop(this.#settings.stopGraceMs);
  }

  #leave(): void {
    this.#fleet.announceState("leaving");
    this.#view.invalidate();
  }

  #report(): BoxReport {
    return buildBoxReport({
      box: this.#settings.box,
      phase: this.#lifecycle.phase,
      clusterState: this.#clusterState,
      healthOf: (leafId) => this.#callPath.calls.health(leafId),
      isCold: (leafId) => this.#callPath.coldLeafs.isCold(leafId),
      versionBlockOf: (leaf) => this.#callPath.access.versionBlockOf(leaf),
      runningCount: this.#callPath.runner.runningCount,
      members: this.#fleet.members(),
      extraCallsLeft: this.#callPath.budgets.remainingByService(),
      crashRecords: this.#quarantine.records(),
      rollouts: this.#rollouts.summaries(),
      nowMs: nowMs(),
    });
  }

  async #completeStop(closeWithinMs: number): Promise<void> {
    const open = this.#openFields();
    const answered = this.#callPath.runner.answerAll();
    this.#callPath.calls.abandonAll();
    this.#cleanupTimer.stop();
    this.#archive.stop();
    this.#rollouts.stop();
    this.#clusterState.stop();
    this.#fleet.stop();
    this.#telemetry.event("info", "box: stopped", { answered, ...open });
    // Before the log is written, so that no request is begun in the meantime.
    const { openRequests: lostRequests, unwrittenBytes } = await this.#servers.close(closeWithinMs);
    const { sinceStopMs } = this.#lifecycle;
    this.#telemetry.event("info", "box: exiting", { sinceStopMs, lostRequests, unwrittenBytes });
    await this.#telemetry.flush();
    this.#onEnd();
  }

  /** Log fields of what is open during a planned stop. */
  #openFields() {
    return { sinceStopMs: this.#lifecycle.sinceStopMs, ...this.#servers.callerCounts() };
  }
}
