/**
 * Runs the effects of the control slice and serves control calls of other daemons.
 *
 * @module
 */
import { toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import type { ControlEffect, ControlEvent, Exchange, PeerAddress } from "../control/mod.js";
import { ExchangeMessageSchema, type PeerService } from "../peer/gen/rackvale/peer/v1/peer_pb.js";
import {
  decodeExchange,
  decodeObjects,
  encodeExchange,
  PEER_TIMEOUT_MS,
  type PeerClient,
  peerClient,
} from "../peer/mod.js";
import type { PlatformPort } from "../platform/mod.js";
import type { Telemetry } from "../telemetry/mod.js";
import type { EffectHandlers } from "./core_runner.js";
import { PendingReplies } from "./pending_replies.js";
import { PlatformWatch } from "./platform_watch.js";
import { type TimerKey, Timers } from "./timers.js";

/** Options of {@linkcode controlShell}. */
export interface ControlShellOptions {
  readonly platform: PlatformPort;
  readonly telemetry: Telemetry;
  readonly send: (event: ControlEvent) => void;
  readonly nowMs: () => number;
  /** Returns a catalog object as JSON, or undefined if the key is unknown. */
  readonly objectJson: (key: string) => string | undefined;
  /** Returns the state of the daemon for operators. */
  readonly report: () => unknown;
  /** Ends the process. */
  readonly stop: () => void;
}

type OwnEffect = Exclude<ControlEffect, { readonly kind: "setTimer" }>;

/** Control part of a daemon's shell. */
export interface ControlShell {
  readonly handlers: EffectHandlers<OwnEffect>;
  readonly service: Partial<ServiceImpl<typeof PeerService>>;
  /** Returns the client for a peer, creating it on first use. */
  client(peer: PeerAddress): PeerClient;
  /** Returns the control traffic sent and received since the start of the daemon. */
  traffic(): ControlTraffic;
}

/** Control traffic of a daemon since its start, sent and received. */
export interface ControlTraffic {
  readonly messages: number;
  readonly sizeBytes: number;
}

/**
 * Creates the control part of a daemon's shell.
 *
 * @param options - Ports and callbacks of the daemon.
 * @returns The effect handlers, and the service for other daemons.
 */
export function controlShell(options: ControlShellOptions): ControlShell {
  const { send, nowMs, telemetry } = options;
  const exchanges = new PendingReplies<Exchange>();
  const clients = new Map<string, PeerClient>();
  const watch = new PlatformWatch(options.platform, { send, nowMs });
  let messages = 0;
  let sizeBytes = 0;

  function count(text: { readonly length: number }): void {
    messages += 1;
    sizeBytes += text.length;
  }

  function client(peer: PeerAddress): PeerClient {
    const key = `${peer.address}:${peer.peerPort}`;
    const cached = clients.get(key) ?? peerClient(peer);
    clients.set(key, cached);
    return cached;
  }

  async function runExchange(
    effect: Extract<ControlEffect, { readonly kind: "exchange" }>,
  ): Promise<void> {
    const { peer, memberId, exchange } = effect;
    try {
      const request = encodeExchange(exchange);
      count(toBinary(ExchangeMessageSchema, request));
      const reply = await client(peer).rpc.exchange(request, { timeoutMs: PEER_TIMEOUT_MS });
      count(toBinary(ExchangeMessageSchema, reply));
      const decoded = decodeExchange(reply);
      if (decoded !== undefined) {
        send({ kind: "exchangeAnswered", nowMs: nowMs(), peer, exchange: decoded });
      }
    } catch {
      send({ kind: "exchangeFailed", nowMs: nowMs(), memberId });
    }
  }

  async function fetchObjects(
    effect: Extract<ControlEffect, { readonly kind: "fetchObjects" }>,
  ): Promise<void> {
    try {
      const reply = await client(effect.peer).rpc.fetchObjects(
        { keys: [...effect.keys] },
        { timeoutMs: PEER_TIMEOUT_MS },
      );
      reply.objectsJson.forEach(count);
      send({ kind: "objectsFetched", nowMs: nowMs(), objects: decodeObjects(reply.objectsJson) });
    } catch {
      // The next exchange detects the missing objects again.
    }
  }

  return {
    client,
    traffic: () => ({ messages, sizeBytes }),
    handlers: {
      log: telemetry.run,
      count: telemetry.run,
      timing: telemetry.run,
      exchange: (effect) => void runExchange(effect),
      replyExchange: ({ requestId, exchange }) => exchanges.resolve(requestId, exchange),
      fetchObjects: (effect) => void fetchObjects(effect),
      watchPlatform: ({ enabled }) => watch.enable(enabled),
      stop: options.stop,
    },
    service: {
      exchange: async (message) => {
        const exchange = decodeExchange(message);
        if (exchange === undefined) {
          throw new ConnectError("Cannot read the exchange: sender unknown", Code.InvalidArgument);
        }
        count(toBinary(ExchangeMessageSchema, message));
        const reply = await exchanges.open((requestId) =>
          send({ kind: "exchangeArrived", nowMs: nowMs(), requestId, exchange }),
        );
        const encoded = encodeExchange(reply);
        count(toBinary(ExchangeMessageSchema, encoded));
        return encoded;
      },
      fetchObjects: ({ keys }) => ({
        objectsJson: keys.flatMap((key) => options.objectJson(key) ?? []),
      }),
      report: () => ({ reportJson: JSON.stringify(options.report()) }),
      drain: () => {
        send({ kind: "stopRequested", nowMs: nowMs() });
        return {};
      },
    },
  };
}

/**
 * Creates the timers of a core. An expired timer is sent to the core as an event of the same kind.
 *
 * @param send - Sends an event to the core.
 * @param clock - Returns the current time, in milliseconds.
 * @returns The timers.
 */
export function coreTimers<Key extends TimerKey, Event>(
  send: (event: Event) => void,
  clock: () => number,
): Timers<Key> {
  return new Timers<Key>((timer) => send({ ...timer, nowMs: clock() } as unknown as Event));
}
