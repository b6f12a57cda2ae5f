/**
 * One box: takes callers' requests, asks leafs, and keeps up with the store and the other boxes.
 *
 * @module
 */
import type { Server } from "node:http";
import { LeafCalls } from "../calls/mod.js";
import { BOX_CLOCK, nowMs } from "../clock/mod.js";
import { ClusterState, QuarantineArchive, watchWaitMs } from "../cluster_state/mod.js";
import type { ExtraCallBudgets } from "../extra_calls/mod.js";
import { type FleetLink, FleetView, RelayPlaces } from "../fleet/mod.js";
import { eventLoopIdleMs } from "../latency/mod.js";
import type { ColdLeafs } from "../leaf_access/mod.js";
import type { Member } from "../model/mod.js";
import { type BoxSettings, StoreClient } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import { RelayCalls } from "../relay/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { listen } from "./_listen.js";
import { makeAuxiliaryServers } from "./_make_auxiliary_servers.js";
import { makeBudgets } from "./_make_budgets.js";
import { makeFleetLink } from "./_make_fleet_link.js";
import { makeLeafAccess } from "./_make_leaf_access.js";
import { makeQuarantine } from "./_make_quarantine.js";
import { makeRequestHandler } from "./_make_request_handler.js";
import { makeRunner } from "./_make_runner.js";
import { AdaptiveTimer } from "./adaptive_timer.js";
import type { MetricsEndpoint, ServerAtPort } from "./auxiliary_servers.js";
import { BoxLifecycle } from "./box_lifecycle.js";
import { type BoxReport, buildBoxReport } from "./box_report.js";
import { createCallerServer, setKeepAliveTimeouts } from "./caller_server.js";
import type { RequestRunner } from "./request_runner.js";
import type { CompiledPolicies } from "./route_policies.js";
import { handleTimeJump } from "./time_jump.js";

/** Time between two looks at what is overdue while calls are open or boxes change, in milliseconds. */
const TIDY_EVERY_MS = 200;

/**
 * The same on a box that stands by, where nothing can be overdue: of its 18 wake-ups a second 5 were for
 * looks that found nothing.
 */
const TIDY_IDLE_EVERY_MS = 1_000;

/** Bodies taken before a configuration sets the limit, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** What a box is started with. */
export interface BoxOptions {
  readonly settings: BoxSettings;
  readonly telemetry: BoxTelemetry;
  /** Operators' policy programs; nothing where the routes' own terms decide alone. */
  readonly policies: CompiledPolicies | undefined;
  /** Where metrics are served; nothing for nowhere. */
  readonly metrics: MetricsEndpoint | undefined;
  /** Called when a planned stop is complete. */
  readonly onEnd: () => void;
}

/** A running box. */
export class Box {
  #settings: BoxSettings;
  readonly #telemetry: BoxTelemetry;
  readonly #onEnd: () => void;
  readonly #store: StoreClient;
  readonly #knowledge: ClusterState;
  readonly #calls: LeafCalls;
  readonly #cold: ColdLeafs;
  readonly #relays = new RelayCalls({
    nowMs,
    eventLoopIdleMs: eventLoopIdleMs,
    onActive: () => this.#tidyTimer.wake(),
  });
  readonly #quarantine: Quarantine;
  readonly #archive: QuarantineArchive;
  readonly #budgets: ExtraCallBudgets;
  readonly #runner: RequestRunner;
  readonly #fleet: FleetLink;
  readonly #callerServer: Server;
  readonly #servers: ReadonlyArray<ServerAtPort>;
  readonly #view: FleetView;
  readonly #life: BoxLifecycle;
  readonly #tidyTimer = new AdaptiveTimer({
    busyIntervalMs: TIDY_EVERY_MS,
    idleIntervalMs: TIDY_IDLE_EVERY_MS,
    isBusy: () => this.#isBusy(),
    run: () => this.#tidy(),
  });

  /**
   * @param options - What the box is started with.
   */
  constructor({ settings, telemetry, policies, metrics, onEnd }: BoxOptions) {
    this.#settings = settings;
    this.#telemetry = telemetry;
    this.#onEnd = onEnd;
    this.#life = new BoxLifecycle({
      telemetry,
      runningCount: () => this.#runner.runningCount,
      onLeaving: () => this.#leave(),
      onFinishing: () => this.#takeNoMore(),
      onEnd: () => this.#end(),
    });
    this.#store = new StoreClient(settings.store);
    this.#view = new FleetView({
      settings: () => this.#settings,
      members: () => this.#fleet.members(),
      alive: () => this.#fleet.alive(),
      sinceLastContactMs: () => this.#fleet.sinceLastContactMs,
    });
    this.#knowledge = new ClusterState({
      store: this.#store,
      waitMs: watchWaitMs(settings),
      telemetry,
      nowMs,
      onConfiguration: () => this.#configured(),
      onLeafs: () => {
        this.#calls.setLeafs(this.#knowledge.leafs.byId);
        this.#cold.setLeafs(this.#knowledge.leafs.byId);
        this.#learned();
      },
      onStoreRestored: () => void this.#archive.rewrite(this.#quarantine.records()),
      isEvacuationEnabled: settings.hasEvacuations,
      onEvacuations: (usedAgain) => this.#evacuated(usedAgain),
    });
    this.#archive = new QuarantineArchive({
      store: this.#store,
      nowMs,
      nowEpochMs: () => Date.now(),
      onLoaded: (told) => this.#quarantine.applyReports(told),
      telemetry,
    });
    this.#quarantine = makeQuarantine({
      box: settings.box,
      nowMs,
      servingBoxes: () => this.#view.allServingBoxes(),
      calls: () => this.#calls,
      notifyBoxes: () => this.#fleet.sendUpdate(this.#view.updateRecipients()),
      persist: (record, before) => void this.#archive.recordChange(record, before),
      telemetry,
    });
    const { access, coldLeafs: cold } = makeLeafAccess({
      settings,
      nowMs,
      clusterState: () => this.#knowledge,
      view: this.#view,
      quarantine: this.#quarantine,
    });
    this.#cold = cold;
    this.#calls = new LeafCalls({
      quarantine: this.#quarantine,
      access,
      nowMs,
      eventLoopIdleMs: eventLoopIdleMs,
      maxConnectionsTo: (service) => {
        const terms = this.#knowledge.routes?.termsByService.get(service);
        return this.#view.connectionShare(terms?.maxConnections || Number.POSITIVE_INFINITY);
      },
      onBusy: () => this.#tidyTimer.wake(),
      onEnd: (result) => telemetry.attempts.add(result),
    });
    this.#budgets = makeBudgets({ settings: () => this.#settings, view: this.#view, nowMs });
    const places = new RelayPlaces({
      dataCentre: settings.dataCentre,
      regionOf: (dataCentre) => settings.regions.get(dataCentre) ?? dataCentre,
      servingBoxes: (region) => this.#view.servingBoxes(region),
    });
    this.#runner = makeRunner({
      nowMs,
      eventLoopIdleMs: eventLoopIdleMs,
      calls: this.#calls,
      leafs: () => this.#knowledge.leafs,
      places,
      relays: this.#relays,
      budgets: this.#budgets,
      quarantine: this.#quarantine,
      access,
      telemetry,
    });
    const isNear = ({ dataCentre }: Member): boolean => places.isLocal(dataCentre);
    this.#fleet = makeFleetLink({
      settings: () => this.#settings,
      nowMs,
      clusterState: this.#knowledge,
      view: this.#view,
      isLocal: isNear,
      quarantine: this.#quarantine,
      onMember: () => {
        this.#view.invalidate();
        this.#tidyTimer.wake();
      },
      telemetry,
    });
    const intake = makeRequestHandler({
      nowMs,
      clusterState: this.#knowledge,
      telemetry,
      runner: this.#runner,
      programs: policies,
      countBoxes: () => this.#view.countBoxes(),
    });
    this.#callerServer = createCallerServer({
      nowMs,
      maxBodyBytes: () => {
        const limits = this.#knowledge.routes?.configuration.callerLimits;
        return limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
      },
      isLeaving: () => this.#life.phase !== "ready",
      onRequest: (arrived, answer) => intake.handle(arrived, answer),
    });
    this.#servers = [
      { server: this.#callerServer, port: settings.callers.port },
      ...makeAuxiliaryServers({
        settings: () => this.#settings,
        lifecycle: this.#life,
        view: this.#view,
        clusterState: this.#knowledge,
        quarantine: this.#quarantine,
        calls: this.#calls,
        places,
        access,
        report: () => this.#report(),
        metrics,
        telemetry,
      }),
    ];
  }

  /** Opens all ports and begins to watch the store. */
  async start(): Promise<void> {
    const { address } = this.#settings;
    const told = {
      fleet: this.#fleet,
      view: this.#view,
      runner: this.#runner,
      telemetry: this.#telemetry,
    };
    // Not while a moment is being told.
    BOX_CLOCK.setJumpListener((jump) => queueMicrotask(() => handleTimeJump(jump, told)));
    this.#knowledge.start();
    await Promise.all(this.#servers.map(({ server, port }) => listen(server, { address, port })));
    await this.#fleet.start();
    this.#tidyTimer.start();
    this.#archive.scheduleLoad(() => this.#view.watchesStore());
    this.#telemetry.event("info", "box: started", { startMs: Math.round(performance.now()) });
  }

  /**
   * Takes in changed settings: seeds and bounds hold from now on; addresses and names stay as they
   * are until the next start.
   *
   * @param settings - The settings as they are now.
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

  /** Begins a planned stop: no longer advised, serves on, finishes what it took, ends. */
  stop(): void {
    this.#life.stop(this.#settings.stopGraceMs);
  }

  #leave(): void {
    this.#fleet.announceState("leaving");
    this.#view.invalidate();
  }

  #takeNoMore(): void {
    this.#callerServer.close();
    this.#callerServer.closeIdleConnections();
  }

  #report(): BoxReport {
    return buildBoxReport({
      box: this.#settings.box,
      phase: this.#life.phase,
      knowledge: this.#knowledge,
      condition: (leafId) => this.#calls.health(leafId),
      isCold: (leafId) => this.#cold.isCold(leafId),
      runningCount: this.#runner.runningCount,
      members: this.#fleet.members(),
      extraCallsLeft: this.#budgets.remainingByService(),
      crashRecords: this.#quarantine.records(),
      nowMs: nowMs(),
    });
  }

  #end(): void {
    const open = this.#runner.answerAll();
    this.#tidyTimer.stop();
    this.#archive.stop();
    this.#knowledge.stop();
    this.#fleet.stop();
    this.#telemetry.event("info", "box: stopped", { open });
    void this.#telemetry.flush().then(() => this.#onEnd());
  }

  #configured(): void {
    const limits = this.#knowledge.routes?.configuration.callerLimits;
    if (limits !== undefined) {
      setKeepAliveTimeouts(this.#callerServer, limits);
    }
    this.#learned();
  }

  /** Takes work once all that is needed is known, and tells the boxes that hear from this one. */
  #learned(): void {
    if (this.#knowledge.isComplete && this.#life.phase === "starting") {
      this.#life.markConfigured();
      this.#fleet.announceState("alive");
      this.#view.invalidate();
    }
    if (this.#knowledge.isWatcher) {
      this.#fleet.sendUpdate(this.#view.updateRecipients());
    }
  }

  /** Tells the boxes that hear from this one of what is emptied; what was empty is cold by now. */
  #evacuated(usedAgain: ReadonlyArray<string>): void {
    const rested = [...this.#knowledge.leafs.byId.values()].filter(({ dataCentre }) => {
      return usedAgain.includes(dataCentre);
    });
    this.#cold.markCold(rested);
    if (this.#knowledge.isWatcher) {
      this.#fleet.sendUpdate(this.#view.updateRecipients());
    }
  }

  /** Whether something may be overdue before a box that stands by would look. */
  #isBusy(): boolean {
    const isWaiting = this.#calls.openCount + this.#relays.openCount > 0;
    return isWaiting || !this.#knowledge.isComplete || this.#knowledge.leafs.expiresAtMs.size > 0;
  }

  #tidy(): void {
    BOX_CLOCK.checkBootClock();
    this.#calls.abandonOverdue();
    this.#relays.abortOverdue();
    this.#knowledge.dropExpired();
    // One that leaves is told of nothing any more and goes on by itself.
    const isWatcher = this.#life.isStopping || this.#view.watchesStore();
    this.#knowledge.setWatcher(isWatcher);
    const answeredAgoMs = this.#knowledge.storeAnsweredAgoMs;
    this.#telemetry.setStoreStats({ calls: this.#store.calls, answeredAgoMs });
  }
}
