/**
 * Shell of the pool daemon: connects the core to the streams of entries and to leafs.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { leafClient } from "../backend/mod.js";
import { StallMeter } from "../clock/mod.js";
import {
  type CoreRunner,
  controlShell,
  coreTimers,
  createSelfMember,
  type DaemonSettings,
  type EffectHandlers,
  nowMs,
  parseSeeds,
  reportDaemon,
  runCore,
  telemetryOptions,
} from "../daemon/mod.js";
import type { CallResult, LeafCall, LeafReport } from "../entry/entry_messages.js";
import { nextPoll } from "../http/mod.js";
import type { CallBatch, ResultBatch } from "../peer/gen/rackvale/peer/v1/peer_pb.js";
import { decodeCall, encodeResults, listenForPeers, PushQueue } from "../peer/mod.js";
import { createPlatformClient } from "../platform/mod.js";
import { startTelemetry } from "../telemetry/mod.js";
import { PendingCalls } from "./pending_calls.js";
import { poolLogic } from "./pool_core.js";
import type { PoolEffect, PoolEvent } from "./pool_messages.js";
import { reportPool } from "./pool_report.js";
import type { PoolState } from "./pool_state.js";

/** Minimum time before the process ends, so that peers receive its final state, in milliseconds. */
const SHUTDOWN_DELAY_MS = 100;

/** Maximum time for writing the last results to entries that read slowly, in milliseconds. */
const WRITE_TIMEOUT_MS = 5_000;

/** Interval of checks whether results have been written, in milliseconds. */
const WRITE_CHECK_INTERVAL_MS = 20;

/** Maximum time for entries and other daemons to close their connections, in milliseconds. */
const CLOSE_TIMEOUT_MS = 500;

/** Interval of keepalive messages to an entry with pending calls, in milliseconds. */
const KEEPALIVE_INTERVAL_MS = 40;

interface EntryStream {
  readonly queue: PushQueue<ResultBatch>;
  /** Calls that have been read but not handled yet. */
  arrivedCalls: Array<LeafCall>;
  arrivedCancellations: Array<string>;
  results: Array<CallResult>;
  reports: Map<string, LeafReport>;
  isFlushScheduled: boolean;
  readonly pendingCalls: PendingCalls;
  flushedAtMs: number;
}

/**
 * Time after a stall in which calls may have been sent before or during it, in milliseconds: on a
 * busy machine, what has arrived is read late.
 */
const WAKE_WINDOW_MS = 200;

/**
 * Time for which the handling of these calls is delayed, in milliseconds. The end of a connection is
 * noticed some turns of the event loop after its last message.
 */
const WAKE_DELAY_MS = 20;

/** Polls of the event loop after that time, which may pass without any on a busy machine. */
const WAKE_POLLS = 5;

/** Time after a flush within which further results for an entry are batched, in milliseconds. */
const BATCH_WINDOW_MS = 2;

/** A running pool daemon. */
export interface PoolDaemon {
  readonly peerPort: number;
  /** Starts a planned stop. */
  stop(): void;
}

/**
 * Starts a pool daemon.
 *
 * @param settings - Settings of the daemon.
 * @param options - Callback for the end of the daemon.
 * @returns The daemon, once it is listening.
 */
export async function startPool(
  settings: DaemonSettings,
  { onEnd }: { readonly onEnd: () => void },
): Promise<PoolDaemon> {
  const telemetry = startTelemetry(telemetryOptions("rackvale-pool", settings));
  const streams = new Map<string, EntryStream>();
  const stalls = new StallMeter({ nowMs, intervalMs: KEEPALIVE_INTERVAL_MS });
  let nextStream = 0;
  let core: CoreRunner<PoolState, PoolEvent> | undefined;
  function send(event: PoolEvent): void {
    core?.send(event);
  }
  function state(): PoolState | undefined {
    return core?.state();
  }

  const control = controlShell({
    platform: createPlatformClient(settings.platform),
    telemetry,
    send,
    nowMs,
    objectJson: (key) => {
      const object = state()?.control.catalog.objects.get(key);
      return object === undefined ? undefined : JSON.stringify(object);
    },
    report: () => {
      const current = state();
      return current === undefined
        ? {}
        : { ...reportDaemon(current.control, { telemetry, control }), ...reportPool(current) };
    },
    stop: () => void end(),
  });

  async function* serveCalls(batches: AsyncIterable<CallBatch>): AsyncGenerator<ResultBatch> {
    const queue = new PushQueue<ResultBatch>();
    const stream: EntryStream = {
      queue,
      arrivedCalls: [],
      arrivedCancellations: [],
      results: [],
      reports: new Map(),
      pendingCalls: new PendingCalls(),
      isFlushScheduled: false,
      flushedAtMs: 0,
    };
    void readCalls(batches, stream);
    yield* queue;
  }

  async function readCalls(batches: AsyncIterable<CallBatch>, stream: EntryStream): Promise<void> {
    // Streams are numbered, as a restarted entry opens another stream.
    nextStream += 1;
    const entryId = `s${nextStream}`;
    let isOpen = false;
    try {
      for await (const batch of batches) {
        if (!isOpen) {
          isOpen = true;
          streams.set(entryId, stream);
          // An empty batch signals to the entry that the stream is open.
          stream.queue.push(encodeResults([], []));
          send({ kind: "entryOpened", nowMs: nowMs(), entryId });
        }
        if (stream.arrivedCalls.length + stream.arrivedCancellations.length === 0) {
          scheduleHandling(entryId, stream);
        }
        stream.arrivedCalls.push(...batch.calls.map(decodeCall));
        stream.arrivedCancellations.push(...batch.cancelledCallIds);
      }
    } catch {
      // The entry disconnected; its pending calls are cancelled below.
    }
    if (streams.get(entryId) === stream) {
      streams.delete(entryId);
      send({ kind: "entryLost", nowMs: nowMs(), entryId });
    }
    stream.queue.end();
  }

  /**
   * Schedules the handling of what an entry has sent, once all of it has been read: after a stall of
   * this pool, most calls have been cancelled, as their queries were answered through other pools,
   * and entries may have disconnected.
   */
  function scheduleHandling(entryId: string, stream: EntryStream): void {
    const handle = (): void => handleArrived(entryId, stream);
    if (stalls.sinceStallMs() < WAKE_WINDOW_MS) {
      void afterWaking().then(handle);
    } else {
      setImmediate(handle);
    }
  }

  /** Resolves once what had arrived during a stall has been read and handled by the HTTP/2 server. */
  async function afterWaking(): Promise<void> {
    await delay(WAKE_DELAY_MS);
    for (let poll = 0; poll < WAKE_POLLS; poll++) {
      await nextPoll();
    }
  }

  /** Handles what an entry has sent, unless it has disconnected. */
  function handleArrived(entryId: string, stream: EntryStream): void {
    const cancelledCallIds = stream.arrivedCancellations;
    const cancelled = new Set(cancelledCallIds);
    const calls = stream.arrivedCalls.filter(({ callId }) => !cancelled.has(callId));
    stream.arrivedCalls = [];
    stream.arrivedCancellations = [];
    if (streams.get(entryId) !== stream) {
      return;
    }
    stream.pendingCalls.add(calls);
    stream.pendingCalls.remove(cancelledCallIds);
    send({ kind: "callsArrived", nowMs: nowMs(), entryId, calls, cancelledCallIds });
    if (cancelledCallIds.length > 0 && isKeepaliveDue(stream)) {
      // No result follows, and the entry avoids this pool until it receives a message.
      flush(stream);
    }
  }

  function isKeepaliveDue({ flushedAtMs }: EntryStream): boolean {
    return nowMs() - flushedAtMs >= KEEPALIVE_INTERVAL_MS;
  }

  const server = await listenForPeers(
    { ...control.service, calls: serveCalls },
    { address: settings.address, port: settings["peer-port"] },
  );
  const self = createSelfMember(settings, { role: "pool", peerPort: server.port, callerPort: 0 });
  const leafs = leafClient({ incarnation: self.incarnation });
  const timers = coreTimers<{ readonly kind: string }, PoolEvent>(send, nowMs);

  // Keeps the streams of entries with pending calls active.
  const keepaliveTimer = setInterval(() => {
    stalls.tick();
    for (const stream of streams.values()) {
      if (isKeepaliveDue(stream) && !stream.pendingCalls.isEmpty) {
        flush(stream);
      }
    }
  }, KEEPALIVE_INTERVAL_MS);

  function flush(stream: EntryStream): void {
    stream.isFlushScheduled = false;
    stream.flushedAtMs = nowMs();
    const batch = encodeResults(stream.results, [...stream.reports.values()]);
    stream.results = [];
    stream.reports = new Map();
    stream.queue.push(batch);
  }

  const handlers: EffectHandlers<PoolEffect> = {
    ...control.handlers,
    setTimer: ({ timer, delayMs }) => timers.set(timer, delayMs),
    dispatch: ({ dispatch }) => {
      const sentAtStalledMs = stalls.totalMs();
      leafs.dispatch(dispatch, ({ outcome, signal }) =>
        send({
          kind: "leafAnswered",
          nowMs: nowMs(),
          flightId: dispatch.flightId,
          stalledMs: stalls.totalMs() - sentAtStalledMs,
          outcome,
          signal,
        }),
      );
    },
    cancelDispatch: ({ flightId, leaf }) => leafs.cancel(flightId, leaf),
    reply: ({ entryId, results, reports }) => {
      const stream = streams.get(entryId);
      if (stream === undefined) {
        return;
      }
      stream.results.push(...results);
      stream.pendingCalls.remove(results.map(({ callId }) => callId));
      for (const report of reports) {
        stream.reports.set(`${report.service} ${report.leafId}`, report);
      }
      if (!stream.isFlushScheduled) {
        stream.isFlushScheduled = true;
        // A message costs more than a result, so frequent results are sent in batches.
        if (nowMs() - stream.flushedAtMs < BATCH_WINDOW_MS) {
          setTimeout(() => flush(stream), 1);
        } else {
          setImmediate(() => flush(stream));
        }
      }
    },
    probeLeafs: ({ leafs: probed }) => {
      for (const leaf of probed) {
        void leafs.probe(leaf).then((signal) => {
          const leafKey = `${leaf.service} ${leaf.leafId}`;
          send({ kind: "leafProbed", nowMs: nowMs(), leafKey, signal });
        });
      }
    },
  };

  /** Ends the process once entries have the results. Calls that arrive meanwhile are refused. */
  async function end(): Promise<void> {
    const giveUpAtMs = nowMs() + WRITE_TIMEOUT_MS;
    await delay(SHUTDOWN_DELAY_MS);
    while (nowMs() < giveUpAtMs && [...streams.values()].some(({ queue }) => !queue.isDrained)) {
      await delay(WRITE_CHECK_INTERVAL_MS);
    }
    clearInterval(keepaliveTimer);
    for (const [entryId, stream] of streams) {
      handleArrived(entryId, stream);
      flush(stream);
      stream.queue.end();
    }
    await server.finish({ timeoutMs: CLOSE_TIMEOUT_MS });
    timers.clearAll();
    leafs.close();
    await telemetry.close();
    onEnd();
  }

  core = runCore<PoolState, PoolEvent, PoolEffect>(
    poolLogic({
      self,
      seeds: parseSeeds(settings.seeds),
      adviceKeepMs: settings["advice-keep-ms"],
    }),
    handlers,
  );
  core.send({ kind: "started", nowMs: nowMs() });
  return {
    peerPort: server.port,
    stop: () => send({ kind: "stopRequested", nowMs: nowMs() }),
  };
}
