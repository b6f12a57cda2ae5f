/**
 * One box: takes callers' requests, asks leafs, and keeps up with the store and the other boxes.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { request as httpRequest } from "undici";
import type { Distance, Leaf, LeafTable } from "../leafs/mod.js";
import {
  type Lifecycle,
  type LifecycleEvent,
  lifecyclePhase,
  moveLifecycle,
  NEW_LIFECYCLE,
} from "../lifecycle/mod.js";
import type { Member } from "../model/mod.js";
import {
  type BoxSettings,
  decodeResolve,
  encodeAdvice,
  READY_PATH,
  type ResolveQuestion,
  StoreClient,
} from "../platform/mod.js";
import type { Reply, RequestTerms } from "../request/mod.js";
import { findRoute, type Route, type SplitCredits, splitService } from "../routing/mod.js";
import { listen } from "./_listen.js";
import { BoxKnowledge, type SharedKnowledge } from "./box_knowledge.js";
import type { BoxTelemetry, LogFields } from "./box_telemetry.js";
import { type AnswerCall, type ArrivedRequest, callerServer } from "./caller_server.js";
import { ExtraCallBudgets } from "./extra_call_budgets.js";
import { FleetLink, type Progress } from "./fleet_link.js";
import { LeafCalls } from "./leaf_calls.js";
import { RelayCalls } from "./relay_calls.js";
import { answerRelay, RELAY_PATH } from "./relay_server.js";
import { type RequestAccount, RequestRunner } from "./request_runner.js";
import { type Admission, type CompiledPolicies, RoutePolicies } from "./route_policies.js";

/** Path at which peers hand over what they know. */
const KNOWLEDGE_PATH = "/peer/v1/knowledge";

/** Time that callers may keep an answer of the directory, in milliseconds; at most the setting. */
const KEEP_MS = 5_000;

/** Time before the end of the stop's grace at which new requests are no longer taken, in milliseconds. */
const FINISH_MS = 1_500;

/** Time before the end of the stop's grace at which the process ends in any case, in milliseconds. */
const EXIT_MS = 250;

/** Time between two looks at what is overdue, in milliseconds. */
const TIDY_EVERY_MS = 200;

/** Part of a request's time kept back for its way through this box and to the caller, in milliseconds. */
const ANSWER_MARGIN_MS = 14;

/** Kept back besides for a request that opened its connection: the caller waited for that too. */
const OPENING_MARGIN_MS = 20;

/** Bodies taken before a configuration sets the limit, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** Time that a resting connection is kept beyond the configured one, in milliseconds. */
const IDLE_SLACK_MS = 1_000;

/** Most connections of one box to a leaf; more than this are never needed at its few slots. */
const MOST_CONNECTIONS = 8;

/** Time that a peer has to hand over what it knows, in milliseconds. */
const PEER_ANSWER_MS = 1_000;

/** When a caller may ask again while no configuration is known, in milliseconds. */
const STARTING_RETRY_MS = 300;

/** What a box is started with. */
export interface BoxOptions {
  readonly settings: BoxSettings;
  readonly telemetry: BoxTelemetry;
  /** Operators' policy programs; nothing where the routes' own terms decide alone. */
  readonly policies: CompiledPolicies | undefined;
  /** Where metrics are served; nothing for nowhere. */
  readonly metrics: { readonly port: number; readonly path: string } | undefined;
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
  readonly #policies: RoutePolicies;
  readonly #callerServer: Server;
  readonly #servers: ReadonlyArray<{ readonly server: Server; readonly port: number }>;
  readonly #splits = new Map<string, SplitCredits>();
  #lifecycle: Lifecycle = NEW_LIFECYCLE;
  #fetching = false;
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
      telemetry,
      nowMs,
      onConfiguration: () => this.#configured(),
      onLeafs: () => {
        this.#calls.forgetUnknown((leafId) => this.#knowledge.leafs.byId.has(leafId));
      },
    });
    this.#policies = new RoutePolicies(policies, (policy, reason) => {
      telemetry.event("warn", "policy: program failed, its default holds", { policy, reason });
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
    this.#runner = new RequestRunner({
      nowMs,
      calls: this.#calls,
      leafs: () => this.#knowledge.leafs,
      distance: (leaf) => this.#distance(leaf),
      regionOf: (dataCentre) => settings.regions.get(dataCentre) ?? dataCentre,
      relays: new RelayCalls(nowMs),
      boxesIn: (region) => this.#boxesIn(region),
      creditRequest: (service) => this.#budgets.credit(service),
      takeExtraCall: (service, kind) => {
        const allowed = this.#budgets.take(service, kind);
        telemetry.extraCalls.inc({ kind: allowed ? kind : `${kind} refused` });
        return allowed;
      },
    });
    this.#fleet = new FleetLink({
      self: this.#self(),
      seeds: () => this.#seedAddresses(),
      port: settings.datagramPort,
      nowMs,
      progress: () => this.#progress(),
      onProgress: (member, progress) => this.#compare(member, progress),
      onMember: ({ box, state, incarnation }) => {
        telemetry.event("info", "fleet: box changed", { member: box, state, incarnation });
      },
      onFault: (message) => telemetry.event("warn", "fleet: fault", { reason: message }),
    });
    this.#callerServer = callerServer({
      nowMs,
      maxBodyBytes: () => {
        const limits = this.#knowledge.routes?.configuration.callerLimits;
        return limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
      },
      isLeaving: () => lifecyclePhase(this.#lifecycle) !== "ready",
      onRequest: (arrived, answer) => this.#take(arrived, answer),
    });
    this.#servers = [
      { server: this.#callerServer, port: settings.callers.port },
      ...this.#sideServers(metrics),
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
    if (lifecyclePhase(this.#lifecycle) === "leaving") {
      return;
    }
    this.#move("stopRequested");
    this.#fleet.declare("leaving");
    const { stopGraceMs } = this.#settings;
    setTimeout(() => this.#finish(), stopGraceMs - FINISH_MS);
    setTimeout(() => this.#end(), stopGraceMs - EXIT_MS);
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
    const { box, address, dataCentre, callers, peers } = this.#settings;
    return {
      memberId: box,
      incarnation: randomUUID(),
      startedAtEpochMs: Date.now(),
      version: 1,
      state: "joining",
      role: "entry",
      box,
      dataCentre,
      address,
      peerPort: peers.port,
      callerPort: callers.port,
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
    if (lifecyclePhase(this.#lifecycle) === "starting") {
      this.#move("configured");
      this.#fleet.declare("alive");
    }
  }

  #seedAddresses(): ReadonlyArray<string> {
    const { address: own, seeds } = this.#settings;
    return seeds.map(({ address }) => address).filter((address) => address !== own);
  }

  #progress(): Progress {
    return {
      configurationVersion: this.#knowledge.routes?.configuration.version ?? 0,
      leafsRevision: this.#knowledge.leafsRevision,
    };
  }

  /** Fetches from a peer what it knows and this box does not. */
  #compare(member: Member, progress: Progress): void {
    const own = this.#progress();
    const isAhead =
      progress.configurationVersion > own.configurationVersion ||
      progress.leafsRevision > own.leafsRevision;
    if (!isAhead || this.#fetching || member.memberId === this.#settings.box) {
      return;
    }
    this.#fetching = true;
    // The store's own news is usually under way; a peer is asked where it has not come by then.
    setTimeout(() => {
      const now = this.#progress();
      const isStillAhead =
        progress.configurationVersion > now.configurationVersion ||
        progress.leafsRevision > now.leafsRevision;
      void (isStillAhead ? this.#fetchFrom(member) : Promise.resolve()).finally(() => {
        this.#fetching = false;
      });
    }, PEER_WAIT_MS);
  }

  async #fetchFrom(member: Member): Promise<void> {
    const { address, peerPort, box } = member;
    try {
      const answer = await httpRequest(`http://${address}:${peerPort}${KNOWLEDGE_PATH}`, {
        signal: AbortSignal.timeout(PEER_ANSWER_MS),
      });
      this.#knowledge.takeOver((await answer.body.json()) as SharedKnowledge);
      this.#telemetry.event("info", "fleet: took over from peer", { member: box });
    } catch (error) {
      const reason = (error as Error).message;
      this.#telemetry.event("warn", "fleet: cannot take over from peer", { member: box, reason });
    }
  }

  #countBoxes(): number {
    const present = this.#fleet.members().filter(({ state }) => state !== "dead");
    return Math.max(this.#settings.seeds.length, present.length);
  }

  #connections(service: string): number {
    const terms = this.#knowledge.routes?.termsByService.get(service);
    const most =
      terms === undefined || terms.maxConnections === 0 ? Infinity : terms.maxConnections;
    const share = Math.floor(most / (this.#countBoxes() + 1));
    return Math.max(1, Math.min(MOST_CONNECTIONS, share));
  }

  #distance(leaf: Leaf): Distance {
    const { dataCentre, regions } = this.#settings;
    if (leaf.dataCentre === dataCentre) {
      return "zone";
    }
    return regions.get(leaf.dataCentre) === regions.get(dataCentre) ? "region" : "far";
  }

  #tidy(): void {
    this.#calls.dropOverdue();
    this.#knowledge.dropOverdue();
    this.#telemetry.storeCalls.set(this.#store.calls);
  }

  #take(arrived: ArrivedRequest, answer: AnswerCall): () => void {
    const routes = this.#knowledge.routes;
    if (routes === undefined) {
      this.#telemetry.requestLine("request: not run, no configuration yet", {
        requestId: arrived.terms.requestId,
        hearsStore: this.#knowledge.hearsStore,
      });
      answer({
        kind: "notRun",
        reason: "no configuration is known yet",
        retryAfterMs: STARTING_RETRY_MS,
      });
      return () => undefined;
    }
    const { host, forwarded } = arrived;
    const route = findRoute(routes, { host, path: forwarded.path });
    if (route === undefined) {
      this.#telemetry.requestLine("request: no route", {
        requestId: arrived.terms.requestId,
        host,
        path: forwarded.path,
        version: routes.configuration.version,
      });
      answer({ kind: "noRoute" });
      return () => undefined;
    }
    const admission = this.#admit(arrived, route);
    const terms = requestTerms(arrived, route, admission);
    if (admission.refusal !== "") {
      const { refusal, retryAfterMs } = admission;
      this.#telemetry.requests.inc({ route: route.name, outcome: "refused" });
      this.#telemetry.requestLine("request: refused by policy", {
        requestId: terms.requestId,
        route: route.name,
        version: routes.configuration.version,
        refusal,
        retryAfterMs,
      });
      answer({ kind: "notRun", reason: refusal, retryAfterMs });
      return () => undefined;
    }
    const run = this.#runner.run({
      terms,
      placement: admission.placement,
      services: this.#servicesOf(route),
      forwarded,
      onReply: (reply, account) => {
        answer(reply);
        this.#tell(reply, account, routes.configuration.version);
      },
      onGone: (account) => this.#tellGone(account, routes.configuration.version),
    });
    return () => run.callerGone();
  }

  #admit({ host, terms }: ArrivedRequest, route: Route): Admission {
    return this.#policies.admit({
      route,
      caller: host,
      waitMs: terms.waitMs ?? route.timeoutMs,
      running: this.#runner.runningCount,
      boxes: this.#countBoxes(),
      nowMs: nowMs(),
    });
  }

  #servicesOf({ name, target }: Route): ReadonlyArray<string> {
    if (target.kind === "gather") {
      return target.shards;
    }
    const { service, credits } = splitService(target.services, this.#splits.get(name) ?? new Map());
    this.#splits.set(name, credits);
    return [service];
  }

  #tellGone(account: RequestAccount, version: number): void {
    const route = account.state.terms.route.name;
    this.#telemetry.requests.inc({ route, outcome: "callerGone" });
    this.#telemetry.requestLine("request: caller gone", this.#accountFields(account, version));
  }

  #tell(reply: Reply, account: RequestAccount, version: number): void {
    const { terms } = account.state;
    const tookMs = Math.round(nowMs() - terms.arrivedAtMs);
    const route = terms.route.name;
    this.#telemetry.requests.inc({ route, outcome: reply.kind });
    this.#telemetry.requestMs.observe({ route }, tookMs);
    this.#telemetry.requestLine("request: answered", {
      outcome: reply.kind,
      ...(reply.kind === "failed" || reply.kind === "notRun" ? { reason: reply.reason } : {}),
      ...(reply.kind === "passed" ? { statusCode: reply.answer.statusCode } : {}),
      ...this.#accountFields(account, version),
    });
  }

  /** What decided a request, with the age of what the box knew. */
  #accountFields({ state, notes }: RequestAccount, version: number): LogFields {
    const { terms, shards, partsIn, partsLost, nextAttemptId } = state;
    const now = nowMs();
    return {
      requestId: terms.requestId,
      route: terms.route.name,
      version,
      leafsRevision: this.#knowledge.leafsRevision,
      knownAgoMs: Math.round(now - this.#knowledge.heardAtMs),
      tookMs: Math.round(now - terms.arrivedAtMs),
      leftMs: Math.round(terms.deadlineAtMs - now),
      shards: shards.length,
      partsIn,
      partsLost,
      attempts: nextAttemptId - 1,
      notes,
      open: shards.flatMap(({ service, open }) => {
        return open.map(({ asked }) => `${service} at ${asked}`);
      }),
    };
  }

  #sideServers(
    metrics: BoxOptions["metrics"],
  ): ReadonlyArray<{ readonly server: Server; readonly port: number }> {
    const { readiness, directory, peers } = this.#settings;
    const servers = [
      { port: readiness.port, answer: this.#answerReadiness },
      { port: directory.port, answer: this.#answerDirectory },
      { port: peers.port, answer: this.#answerPeer },
      ...(metrics === undefined
        ? []
        : [{ port: metrics.port, answer: this.#answerMetrics(metrics.path) }]),
    ];
    return servers.map(({ port, answer }) => ({ port, server: createServer(answer) }));
  }

  readonly #answerReadiness = (request: IncomingMessage, response: ServerResponse): void => {
    const ready = lifecyclePhase(this.#lifecycle) === "ready";
    if (request.url?.startsWith(READY_PATH) !== true) {
      writeText(response, 404, "");
      return;
    }
    writeText(response, ready ? 200 : 503, "");
  };

  readonly #answerDirectory = (request: IncomingMessage, response: ServerResponse): void => {
    const question = decodeResolve(request.url ?? "/");
    if (question === undefined) {
      writeText(response, 404, "");
      return;
    }
    const keepMs = Math.min(KEEP_MS, this.#settings.mostKeepMs);
    const body = encodeAdvice(this.#advise(question), { keepMs });
    response.writeHead(200, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  };

  /** Boxes in the caller's region; all, where none of them can be given work. */
  #advise({ region }: ResolveQuestion): ReadonlyArray<{
    readonly address: string;
    readonly port: number;
  }> {
    const near = this.#boxesIn(region);
    return (near.length > 0 ? near : this.#fleet.alive()).map(({ address, callerPort }) => {
      return { address, port: callerPort };
    });
  }

  /** Boxes of a region that can be given work. */
  #boxesIn(region: string): ReadonlyArray<Member> {
    return this.#fleet.alive().filter(({ dataCentre }) => {
      return this.#settings.regions.get(dataCentre) === region;
    });
  }

  readonly #answerPeer = (request: IncomingMessage, response: ServerResponse): void => {
    if (request.url === RELAY_PATH) {
      const leafs = (): LeafTable => this.#knowledge.leafs;
      const distance = (leaf: Leaf): Distance => this.#distance(leaf);
      const onParts = (count: number): void => this.#telemetry.relayedParts.inc(count);
      answerRelay(request, response, { nowMs, calls: this.#calls, leafs, distance, onParts });
      return;
    }
    if (request.url !== KNOWLEDGE_PATH) {
      writeText(response, 404, "");
      return;
    }
    writeText(response, 200, JSON.stringify(this.#knowledge.share()));
  };

  #answerMetrics(path: string): (request: IncomingMessage, response: ServerResponse) => void {
    return (request, response) => {
      if (request.url !== path) {
        writeText(response, 404, "");
        return;
      }
      void this.#telemetry.metricsText().then((text) => writeText(response, 200, text));
    };
  }
}

/** Time that the store's own news has to come before a peer is asked, in milliseconds. */
const PEER_WAIT_MS = 600;

function requestTerms(
  { arrivedAtMs, opensConnection, terms }: ArrivedRequest,
  route: Route,
  { maxAttempts, finishShare }: Admission,
): RequestTerms {
  const marginMs = ANSWER_MARGIN_MS + (opensConnection ? OPENING_MARGIN_MS : 0);
  const waitMs = Math.min(terms.waitMs ?? route.timeoutMs, route.timeoutMs);
  const aimMs = Math.min(route.aimMs, waitMs);
  return {
    requestId: terms.requestId,
    route,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + Math.max(1, waitMs - marginMs),
    aimAtMs: arrivedAtMs + Math.max(1, aimMs - marginMs),
    maxAttempts,
    finishShare,
  };
}

function writeText(response: ServerResponse, statusCode: number, text: string): void {
  response.writeHead(statusCode, { "Content-Length": Buffer.byteLength(text) });
  response.end(text);
}

function nowMs(): number {
  return performance.now();
}
