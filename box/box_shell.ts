/**
 * One box: takes callers' requests, asks leafs, and keeps up with the store and the other boxes.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { LeafCalls } from "../calls/mod.js";
import {
  type Lifecycle,
  type LifecycleEvent,
  lifecyclePhase,
  moveLifecycle,
  NEW_LIFECYCLE,
} from "../lifecycle/mod.js";
import type { Member } from "../model/mod.js";
import { type BoxSettings, type SocketAddress, StoreClient } from "../platform/mod.js";
import { RelayCalls } from "../relay/mod.js";
import { listen } from "./_listen.js";
import { BoxKnowledge } from "./box_knowledge.js";
import { type BoxReport, reportLeafs, reportMembers } from "./box_report.js";
import type { BoxTelemetry } from "./box_telemetry.js";
import { callerServer } from "./caller_server.js";
import { ExtraCallBudgets } from "./extra_call_budgets.js";
import { FleetLink } from "./fleet_link.js";
import { PeerCatchUp } from "./peer_catch_up.js";
import { watchWaitMs } from "./registry_watch.js";
import { RelayPlaces } from "./relay_places.js";
import { RequestIntake } from "./request_intake.js";
import { RequestRunner } from "./request_runner.js";
import { type CompiledPolicies, RoutePolicies } from "./route_policies.js";
import { servingBoxes } from "./serving_boxes.js";
import { type MetricsPlace, type ServerAtPort, sideServers } from "./side_servers.js";
import { storeWatchers } from "./store_watchers.js";

/** Time that callers may keep an answer of the directory, in milliseconds; at most the setting. */
const KEEP_MS = 5_000;

/** Time before the end of the stop's grace at which new requests are no longer taken, in milliseconds. */
const FINISH_MS = 1_500;

/** Time before the end of the stop's grace at which the process ends in any case, in milliseconds. */
const EXIT_MS = 250;

/** Time between two looks at what is overdue, in milliseconds. */
const TIDY_EVERY_MS = 200;

/** Bodies taken before a configuration sets the limit, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** Time that a resting connection is kept beyond the configured one, in milliseconds. */
const IDLE_SLACK_MS = 1_000;

/** Most connections of one box to a leaf; more than this are never needed at its few slots. */
const MOST_CONNECTIONS = 8;

/** Random bytes that tell two runs of a box apart; few, as they are in each datagram. */
const INCARNATION_BYTES = 6;

/** What a box is started with. */
export interface BoxOptions {
  readonly settings: BoxSettings;
  readonly telemetry: BoxTelemetry;
  /** Operators' policy programs; nothing where the routes' own terms decide alone. */
  readonly policies: CompiledPolicies | undefined;
  /** Where metrics are served; nothing for nowhere. */
  readonly metrics: MetricsPlace | undefined;
  /** Called when a planned stop is complete. */
  readonly onEnd: () => void;
}

/** A running box. */
export class Box {
  #settings: BoxSettings;
  readonly #telemetry: BoxTelemetry;
  readonly #onEnd: () => void;
  readonly #store: StoreClient;
  readonly #knowledge: BoxKnowledge;
  readonly #calls: LeafCalls;
  readonly #budgets: ExtraCallBudgets;
  readonly #runner: RequestRunner;
  readonly #fleet: FleetLink;
  readonly #callerServer: Server;
  readonly #servers: ReadonlyArray<ServerAtPort>;
  readonly #serving = new Map<string, ReadonlyArray<Member>>();
  #lifecycle: Lifecycle = NEW_LIFECYCLE;
  #stopping = false;
  #tidyTimer: NodeJS.Timeout | undefined;

  /**
   * @param options - What the box is started with.
   */
  constructor({ settings, telemetry, policies, metrics, onEnd }: BoxOptions) {
    this.#settings = settings;
    this.#telemetry = telemetry;
    this.#onEnd = onEnd;
    this.#store = new StoreClient(settings.store);
    this.#knowledge = new BoxKnowledge({
      store: this.#store,
      waitMs: watchWaitMs(settings),
      telemetry,
      nowMs,
      onConfiguration: () => this.#configured(),
      onLeafs: () => {
        this.#calls.forgetUnknown((leafId) => this.#knowledge.leafs.byId.has(leafId));
        this.#learned();
      },
    });
    this.#calls = new LeafCalls({
      nowMs,
      connectionsTo: (service) => this.#connections(service),
      onEnd: (result) => telemetry.attempts.inc({ outcome: result }),
    });
    this.#budgets = new ExtraCallBudgets({
      share: () => this.#settings.extraCallShare,
      slackCalls: () => this.#settings.extraCallSlack,
      countBoxes: () => this.#countBoxes(),
    });
    const places = new RelayPlaces({
      dataCentre: settings.dataCentre,
      regionOf: (dataCentre) => settings.regions.get(dataCentre) ?? dataCentre,
      servingBoxes: (region) => this.#servingBoxes(region),
    });
    this.#runner = new RequestRunner({
      nowMs,
      calls: this.#calls,
      leafs: () => this.#knowledge.leafs,
      places,
      relays: new RelayCalls(nowMs),
      creditRequest: (service) => this.#budgets.credit(service),
      takeExtraCall: (service, kind) => {
        const allowed = this.#budgets.take(service, kind);
        telemetry.extraCalls.inc({ kind: allowed ? kind : `${kind} refused` });
        return allowed;
      },
    });
    const isNear = ({ dataCentre }: Member): boolean => places.isNear(dataCentre);
    const knowledge = this.#knowledge;
    const catchUp = new PeerCatchUp({ box: settings.box, knowledge, isNear, telemetry });
    this.#fleet = new FleetLink({
      self: this.#self(),
      seeds: () => this.#seedAddresses(),
      port: settings.datagramPort,
      nowMs,
      isNear,
      progress: () => this.#knowledge.progress,
      onProgress: (member, progress) => catchUp.compare(member, progress),
      onMember: ({ box, state, incarnation }) => {
        this.#serving.clear();
        telemetry.event("info", "fleet: box changed", { member: box, state, incarnation });
      },
      onFault: (message) => telemetry.event("warn", "fleet: fault", { reason: message }),
    });
    const intake = new RequestIntake({
      nowMs,
      knowledge: this.#knowledge,
      telemetry,
      runner: this.#runner,
      policies: new RoutePolicies(policies, (policy, reason) => {
        telemetry.event("warn", "policy: program failed, its default holds", { policy, reason });
      }),
      countBoxes: () => this.#countBoxes(),
    });
    this.#callerServer = callerServer({
      nowMs,
      maxBodyBytes: () => {
        const limits = this.#knowledge.routes?.configuration.callerLimits;
        return limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
      },
      isLeaving: () => lifecyclePhase(this.#lifecycle) !== "ready",
      onRequest: (arrived, answer) => intake.take(arrived, answer),
    });
    this.#servers = [
      { server: this.#callerServer, port: settings.callers.port },
      ...sideServers({
        settings,
        isReady: () => lifecyclePhase(this.#lifecycle) === "ready",
        advise: (region) => this.#advise(region),
        keepMs: () => Math.min(KEEP_MS, this.#settings.mostKeepMs),
        report: () => this.#report(),
        share: (progress) => this.#knowledge.share(progress),
        relay: {
          nowMs,
          calls: this.#calls,
          leafs: () => this.#knowledge.leafs,
          distance: (leaf) => places.distance(leaf),
          onParts: (count) => telemetry.relayedParts.inc(count),
        },
        metrics,
        metricsText: () => telemetry.metricsText(),
      }),
    ];
  }

  /** Opens all ports and begins to watch the store. */
  async start(): Promise<void> {
    const { address } = this.#settings;
    this.#knowledge.start();
    await Promise.all(this.#servers.map(({ server, port }) => listen(server, { address, port })));
    await this.#fleet.start();
    this.#tidyTimer = setInterval(() => this.#tidy(), TIDY_EVERY_MS);
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
    const { seeds, mostKeepMs, stopGraceMs, extraCallShare, extraCallSlack } = settings;
    const changed = { seeds, mostKeepMs, stopGraceMs, extraCallShare, extraCallSlack };
    this.#settings = { ...before, ...changed };
    this.#telemetry.event("info", "box: reloaded", changed);
  }

  /** Begins a planned stop: no longer advised, serves on, finishes what it took, ends. */
  stop(): void {
    if (this.#stopping) {
      return;
    }
    this.#stopping = true;
    this.#move("stopRequested");
    this.#fleet.declare("leaving");
    this.#serving.clear();
    const { stopGraceMs } = this.#settings;
    setTimeout(() => this.#finish(), stopGraceMs - FINISH_MS);
    setTimeout(() => this.#end(), stopGraceMs - EXIT_MS);
  }

  #report(): BoxReport {
    const { adopted, hearsStore, heardAtMs, isWatcher, leafs, leafsRevision } = this.#knowledge;
    const now = nowMs();
    const configuration = adopted && {
      version: adopted.version,
      source: adopted.source,
      inForceForMs: Math.round(now - adopted.atMs),
    };
    const condition = (leafId: string) => this.#calls.condition(leafId);
    return {
      box: this.#settings.box,
      phase: lifecyclePhase(this.#lifecycle),
      configuration,
      ...{ leafsRevision, isWatcher, hearsStore },
      knownAgoMs: Math.round(now - heardAtMs),
      running: this.#runner.runningCount,
      members: reportMembers(this.#fleet.members()),
      leafs: reportLeafs({ table: leafs, condition, nowMs: now }),
      extraCallsLeft: Object.fromEntries(this.#budgets.left()),
    };
  }

  #finish(): void {
    this.#move("adviceExpired");
    this.#callerServer.close();
    this.#callerServer.closeIdleConnections();
    const timer = setInterval(() => {
      if (this.#runner.runningCount === 0) {
        clearInterval(timer);
        this.#end();
      }
    }, 50);
  }

  #end(): void {
    if (lifecyclePhase(this.#lifecycle) === "stopped") {
      return;
    }
    this.#move("drained");
    clearInterval(this.#tidyTimer);
    this.#knowledge.stop();
    this.#fleet.stop();
    this.#telemetry.event("info", "box: stopped", { open: this.#runner.runningCount });
    void this.#telemetry.flush().then(() => this.#onEnd());
  }

  #move(event: LifecycleEvent["type"]): void {
    this.#lifecycle = moveLifecycle(this.#lifecycle, event);
    const phase = lifecyclePhase(this.#lifecycle);
    this.#telemetry.event("info", "box: phase", { phase, event });
  }

  #self(): Member {
    const { box, address, dataCentre, callers, peers, processorCores } = this.#settings;
    return {
      memberId: box,
      incarnation: randomBytes(INCARNATION_BYTES).toString("hex"),
      startedAtEpochMs: Date.now(),
      version: 1,
      state: "joining",
      role: "entry",
      box,
      dataCentre,
      address,
      peerPort: peers.port,
      callerPort: callers.port,
      processorCores,
    };
  }

  #configured(): void {
    const limits = this.#knowledge.routes?.configuration.callerLimits;
    if (limits !== undefined) {
      // Never shortened within a life: resting connections were promised the longer time.
      this.#callerServer.keepAliveTimeout = Math.max(
        this.#callerServer.keepAliveTimeout,
        limits.idleTimeoutMs + IDLE_SLACK_MS,
      );
      this.#callerServer.headersTimeout =
        this.#callerServer.keepAliveTimeout + limits.headerTimeoutMs;
    }
    this.#learned();
  }

  /** Takes work once all that is needed is known, and tells the boxes that hear from this one. */
  #learned(): void {
    if (this.#knowledge.isComplete && lifecyclePhase(this.#lifecycle) === "starting") {
      this.#move("configured");
      this.#fleet.declare("alive");
      this.#serving.clear();
    }
    if (this.#knowledge.isWatcher) {
      this.#fleet.tell(this.#followers());
    }
  }

  /** Boxes of the own region that do not watch the store. */
  #followers(): ReadonlyArray<Member> {
    const near = this.#nearLiving();
    const watchers = storeWatchers(near);
    return near.filter(({ memberId }) => !watchers.has(memberId));
  }

  #nearLiving(): ReadonlyArray<Member> {
    const { dataCentre, regions } = this.#settings;
    const region = regions.get(dataCentre);
    return this.#fleet.members().filter((member) => {
      const isLiving = member.state === "alive" || member.state === "joining";
      return isLiving && regions.get(member.dataCentre) === region;
    });
  }

  #seedAddresses(): ReadonlyArray<string> {
    const { address: own, seeds } = this.#settings;
    return seeds.map(({ address }) => address).filter((address) => address !== own);
  }

  #countBoxes(): number {
    const present = this.#fleet.members().filter(({ state }) => state !== "dead");
    return Math.max(this.#settings.seeds.length, present.length);
  }

  /** Serving boxes share a leaf's connections; one that stands by needs few, if any. */
  #connections(service: string): number {
    const terms = this.#knowledge.routes?.termsByService.get(service);
    const most =
      terms === undefined || terms.maxConnections === 0 ? Infinity : terms.maxConnections;
    const serving = [...new Set(this.#settings.regions.values())].flatMap((region) => {
      return this.#servingBoxes(region);
    });
    const isServing = serving.some(({ memberId }) => memberId === this.#settings.box);
    const sharers = isServing ? serving.length : this.#countBoxes();
    const share = Math.floor(most / (sharers + 1));
    return Math.max(1, Math.min(MOST_CONNECTIONS, share));
  }

  #tidy(): void {
    this.#serving.clear();
    this.#calls.dropOverdue();
    this.#knowledge.dropOverdue();
    // One that leaves is told of nothing any more and goes on by itself.
    const isWatcher = this.#stopping || storeWatchers(this.#nearLiving()).has(this.#settings.box);
    this.#knowledge.setWatcher(isWatcher);
    this.#telemetry.storeCalls.set(this.#store.calls);
  }

  /** Boxes of a region that can be given work. */
  #boxesIn(region: string): ReadonlyArray<Member> {
    return this.#fleet.alive().filter(({ dataCentre }) => {
      return this.#settings.regions.get(dataCentre) === region;
    });
  }

  /** Asked for with each call, so it is kept until a box changes. */
  #servingBoxes(region: string): ReadonlyArray<Member> {
    const kept = this.#serving.get(region);
    if (kept !== undefined) {
      return kept;
    }
    const serving = servingBoxes(this.#boxesIn(region));
    this.#serving.set(region, serving);
    return serving;
  }

  /** Addresses of the boxes in the caller's region; of all, where none there can be given work. */
  #advise(region: string): ReadonlyArray<SocketAddress> {
    const near = this.#servingBoxes(region);
    return (near.length > 0 ? near : this.#fleet.alive()).map(({ address, callerPort }) => {
      return { address, port: callerPort };
    });
  }
}

function nowMs(): number {
  return performance.now();
}
