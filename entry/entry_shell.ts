/**
 * Shell of the entry daemon: connects the core with callers, operators, pools and peers.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import {
  type ControlShell,
  type CoreRunner,
  controlShell,
  coreTimers,
  createSelfMember,
  DAEMON_SPECS,
  type EffectHandlers,
  nowMs,
  PendingReplies,
  parseSeeds,
  reportDaemon,
  runCore,
  telemetryOptions,
} from "../daemon/mod.js";
import { finishRequests, HttpConnections, listen } from "../http/mod.js";
import { lifecyclePhase } from "../lifecycle/mod.js";
import { MAX_BODY_BYTES, parseQueryRequest, type QueryAnswer } from "../model/mod.js";
import { listenForPeers, PEER_TIMEOUT_MS } from "../peer/mod.js";
import { createPlatformClient } from "../platform/mod.js";
import type { SettingSpecs, Settings } from "../settings/mod.js";
import { startTelemetry } from "../telemetry/mod.js";
import { forwardQuery, isForwarded, type WaitingCaller } from "./_forwarding.js";
import { unknownAnswer } from "./answers.js";
import { entryLogic, listedEntries } from "./entry_core.js";
import type { EntryEffect, EntryEvent, EntryTimer } from "./entry_messages.js";
import type { EntryState } from "./entry_state.js";
import { type ApiHandlers, type ApiRequest, apiServer, REQUEST_TIMEOUT_MS } from "./http_api.js";
import { httpFault, readJson, writeFault, writeJson } from "./http_io.js";
import { operatorApi } from "./operator_api.js";
import { PoolLinks } from "./pool_links.js";

/** Flags of an entry daemon. */
export const ENTRY_SPECS = {
  ...DAEMON_SPECS,
  "caller-port": {
    kind: "port",
    help: "TCP port for callers and operators; 0 for any that is free",
  },
} as const satisfies SettingSpecs;

/** Parsed settings of an entry daemon. */
export type EntrySettings = Settings<typeof ENTRY_SPECS>;

/** Minimum time for final messages to be sent before the process exits, in milliseconds. */
const SHUTDOWN_GRACE_MS = 100;

/** A running entry daemon. */
export interface EntryDaemon {
  readonly peerPort: number;
  readonly callerPort: number;
  /** Starts a planned stop. */
  stop(): void;
}

/**
 * Starts an entry daemon.
 *
 * @param settings - Settings of the daemon.
 * @param options - Callback for the end of the daemon.
 * @returns The daemon, once it is listening.
 */
export async function startEntry(
  settings: EntrySettings,
  { onEnd }: { readonly onEnd: () => void },
): Promise<EntryDaemon> {
  const telemetry = startTelemetry(telemetryOptions("rackvale-entry", settings));
  const platform = createPlatformClient(settings.platform);
  const callers = new Map<string, WaitingCaller>();
  const tickets = new PendingReplies<string>();
  const loans = new PendingReplies<number>();
  let core: CoreRunner<EntryState, EntryEvent> | undefined;
  let nextQuery = 1;
  function send(event: EntryEvent): void {
    core?.send(event);
  }
  function state(): EntryState {
    if (core === undefined) {
      throw new Error("Cannot read the state: the core has not started");
    }
    return core.state();
  }
  function report(): unknown {
    const current = state();
    return {
      ...reportDaemon(current.control, { telemetry, control }),
      queries: current.queries.size,
      openPools: [...current.openPools],
    };
  }

  const control: ControlShell = controlShell({
    platform,
    telemetry,
    send,
    nowMs,
    objectJson: (key) => {
      const object = state().control.catalog.objects.get(key);
      return object === undefined ? undefined : JSON.stringify(object);
    },
    report,
    stop: () => void end(),
  });

  const peers = await listenForPeers(
    {
      ...control.service,
      borrow: async ({ service, tokens }) => {
        const lent = await loans.open((requestId) =>
          send({ kind: "borrowArrived", nowMs: nowMs(), requestId, service, tokens }),
        );
        return { tokens: lent };
      },
    },
    { address: settings.address, port: settings["peer-port"] },
  );

  const operators = operatorApi({
    platform,
    control,
    state: () => state().control,
    accepted: (object) => send({ kind: "objectAccepted", nowMs: nowMs(), object }),
    report,
    drainSelf: () => send({ kind: "stopRequested", nowMs: nowMs() }),
  });

  async function handleQuery({ request, response, name }: ApiRequest): Promise<void> {
    const body = await readJson(request, { maxBytes: MAX_BODY_BYTES });
    if (body.isErr()) {
      writeFault(response, body.error);
      return;
    }
    const data = typeof body.value === "object" ? { ...body.value, service: name } : body.value;
    const parsed = parseQueryRequest(data);
    if (parsed.isErr()) {
      writeFault(response, httpFault(400, parsed.error.message, parsed.error.field));
      return;
    }
    const queryId = `q${nextQuery++}`;
    callers.set(queryId, { response, body: body.value });
    response.on("close", () => {
      if (callers.delete(queryId)) {
        send({ kind: "callerGone", nowMs: nowMs(), queryId });
      }
    });
    send({
      kind: "queryArrived",
      nowMs: nowMs(),
      queryId,
      request: parsed.value,
      forwarded: isForwarded(request),
    });
  }

  async function handleEntries({ response, query }: ApiRequest): Promise<void> {
    const ticket =
      query.get("ticket") === "true"
        ? await tickets.open((requestId) =>
            send({ kind: "ticketWanted", nowMs: nowMs(), requestId: String(requestId) }),
          )
        : undefined;
    const entries = listedEntries(state()).map(({ box, dataCentre, address, callerPort }) => {
      return { box, dataCentre, address, port: callerPort };
    });
    const keepForMs = settings["advice-keep-ms"];
    const body = ticket === undefined ? { entries, keepForMs } : { entries, keepForMs, ticket };
    writeJson(response, body, { statusCode: 200, headers: connectionHeaders() });
  }

  const handlers: ApiHandlers = {
    ...operators,
    entries: (api) => void handleEntries(api),
    query: (api) => void handleQuery(api),
    health: ({ response }) => writeJson(response, { healthy: true }, { statusCode: 200 }),
    ready: ({ response }) => {
      const phase = lifecyclePhase(state().control.lifecycle);
      writeJson(response, { phase }, { statusCode: phase === "ready" ? 200 : 503 });
    },
  };
  const server = apiServer(handlers);
  const connections = new HttpConnections(server);
  const callerPort = await listen(server, {
    address: settings.address,
    port: settings["caller-port"],
  });
  const self = createSelfMember(settings, { role: "entry", peerPort: peers.port, callerPort });
  const links = new PoolLinks({ entryId: self.incarnation, send, nowMs });
  const timers = coreTimers<EntryTimer, EntryEvent>(send, nowMs);

  /** Closes callers' connections once the daemon is leaving. */
  function connectionHeaders(): Readonly<Record<string, string>> {
    const phase = lifecyclePhase(state().control.lifecycle);
    return phase === "ready" || phase === "starting" ? {} : { connection: "close" };
  }

  function sendAnswer(queryId: string, answer: QueryAnswer): void {
    const caller = callers.get(queryId);
    callers.delete(queryId);
    if (caller !== undefined) {
      const { statusCode, ...body } = answer;
      const headers = { ...retryAfter(answer), ...connectionHeaders() };
      writeJson(caller.response, { ...body, entry: settings.box }, { statusCode, headers });
    }
  }

  async function forward({ queryId, member }: Extract<EntryEffect, { readonly kind: "forward" }>) {
    const caller = callers.get(queryId);
    if (caller === undefined) {
      return;
    }
    try {
      const { statusCode, body } = await forwardQuery(caller, member);
      callers.delete(queryId);
      writeJson(caller.response, body, { statusCode, headers: connectionHeaders() });
    } catch {
      const message = "Cannot tell whether the query ran: the entry that gave the ticket is silent";
      sendAnswer(queryId, unknownAnswer(state(), nowMs(), message));
    }
  }

  async function borrow(effect: Extract<EntryEffect, { readonly kind: "borrow" }>): Promise<void> {
    const { lender, service, tokens } = effect;
    let lent = 0;
    try {
      const { rpc } = control.client(lender);
      const reply = await rpc.borrow(
        { service, tokens, borrowerId: self.memberId },
        { timeoutMs: PEER_TIMEOUT_MS },
      );
      lent = Number.isFinite(reply.tokens) ? Math.max(0, reply.tokens) : 0;
    } catch {
      // The tokens that the lender deducted are discarded, so the total never grows.
    }
    send({ kind: "loanArrived", nowMs: nowMs(), service, tokens: lent });
  }

  const effects: EffectHandlers<EntryEffect> = {
    ...control.handlers,
    setTimer: ({ timer, delayMs }) => timers.set(timer, delayMs),
    clearTimer: ({ timer }) => timers.clear(timer),
    answer: ({ queryId, answer }) => sendAnswer(queryId, answer),
    giveTicket: ({ requestId, ticket }) => tickets.resolve(Number(requestId), ticket),
    forward: (effect) => void forward(effect),
    sendCall: ({ poolId, call }) => links.sendCall(poolId, call),
    cancelCall: ({ poolId, callId }) => links.cancelCall(poolId, callId),
    openPools: ({ pools }) => links.setPools(pools),
    closeListener: () => connections.stopAccepting(),
    borrow: (effect) => void borrow(effect),
    replyBorrow: ({ requestId, tokens }) => loans.resolve(requestId, tokens),
  };

  /** Ends the process once what callers and operators have begun to send is answered. */
  async function end(): Promise<void> {
    const minimum = delay(SHUTDOWN_GRACE_MS);
    await finishRequests(connections, {
      isAnswering: () => callers.size > 0,
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    await minimum;
    timers.clearAll();
    links.close();
    await peers.finish({ timeoutMs: SHUTDOWN_GRACE_MS });
    await telemetry.close();
    onEnd();
  }

  core = runCore<EntryState, EntryEvent, EntryEffect>(
    entryLogic({
      self,
      seeds: parseSeeds(settings.seeds),
      adviceKeepMs: settings["advice-keep-ms"],
    }),
    effects,
  );
  core.send({ kind: "started", nowMs: nowMs() });
  return {
    peerPort: peers.port,
    callerPort,
    stop: () => send({ kind: "stopRequested", nowMs: nowMs() }),
  };
}

function retryAfter({ statusCode, retryAfterMs }: QueryAnswer): Readonly<Record<string, string>> {
  return statusCode >= 400 && retryAfterMs > 0
    ? { "retry-after": String(Math.ceil(retryAfterMs / 1000)) }
    : {};
}
