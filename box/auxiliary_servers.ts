/**
 * The servers beside the one for requests: readiness, directory, other boxes, metrics.
 *
 * @module
 */
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import {
  CLUSTER_STATE_PATH,
  decodeClusterStateUrl,
  encodeSharedState,
  type SharedState,
} from "../cluster_state/mod.js";
import type { SyncProgress } from "../fleet/mod.js";
import {
  type BoxSettings,
  decodeResolveRequest,
  encodeAddressList,
  READY_PATH,
  type ResolveRequest,
  type SocketAddress,
} from "../platform/mod.js";
import { handleRelayRequest, RELAY_PATH, type RelayServerOptions } from "../relay/mod.js";
import { type BoxReport, CLEAR_QUERY_PATH, REPORT_PATH } from "./box_report.js";

/** Where metrics are served. */
export interface MetricsEndpoint {
  readonly port: number;
  readonly path: string;
}

/** A server and the port that it is to listen on. */
export interface ServerAtPort {
  readonly server: Server;
  readonly port: number;
}

/** What the servers answer from. */
export interface AuxiliaryServersOptions {
  readonly settings: Pick<BoxSettings, "readiness" | "directory" | "peers">;
  /** Tells whether this box can be given work. */
  readonly isReady: () => boolean;
  /** Tells which addresses a caller is to use. */
  readonly resolveAddresses: (question: ResolveRequest) => ReadonlyArray<SocketAddress>;
  /** Tells how long callers may keep that, in milliseconds. */
  readonly ttlMs: () => number;
  /** Gives what a peer that is behind may take over. */
  readonly stateSince: (progress: SyncProgress) => SharedState;
  /** Gives what this box tells operators of itself. */
  readonly report: () => BoxReport;
  /** Clears a query under which leafs were lost; tells whether there was anything to clear. */
  readonly clearQuery: (fingerprint: string) => boolean;
  /** What orders of other boxes are answered from. */
  readonly relay: RelayServerOptions;
  readonly metrics: MetricsEndpoint | undefined;
  readonly metricsText: () => Promise<string>;
}

/**
 * Makes the servers; none is listening yet.
 *
 * @param options - What they answer from.
 * @returns Each with its port.
 */
export function createAuxiliaryServers(
  options: AuxiliaryServersOptions,
): ReadonlyArray<ServerAtPort> {
  const { settings, metrics } = options;
  const answers: ReadonlyArray<{ readonly port: number; readonly answer: RequestListener }> = [
    { port: settings.readiness.port, answer: answerReadiness(options) },
    { port: settings.directory.port, answer: answerDirectory(options) },
    { port: settings.peers.port, answer: answerPeer(options) },
    ...(metrics === undefined
      ? []
      : [{ port: metrics.port, answer: answerMetrics(options, metrics.path) }]),
  ];
  return answers.map(({ port, answer }) => ({ port, server: createServer(answer) }));
}

function answerReadiness({ isReady }: AuxiliaryServersOptions): RequestListener {
  return (request, response) => {
    const isKnown = request.url?.startsWith(READY_PATH) === true;
    const statusCode = isReady() ? 200 : 503;
    writeText(response, isKnown ? statusCode : 404, "");
  };
}

function answerDirectory({
  resolveAddresses: advise,
  ttlMs: keepMs,
}: AuxiliaryServersOptions): RequestListener {
  return (request, response) => {
    const question = decodeResolveRequest(request.url ?? "/");
    if (question === undefined) {
      writeText(response, 404, "");
      return;
    }
    response.setHeader("Content-Type", "application/json");
    writeText(response, 200, encodeAddressList(advise(question), { keepMs: keepMs() }));
  };
}

function answerPeer({
  clearQuery: lift,
  relay,
  report,
  stateSince: share,
}: AuxiliaryServersOptions): RequestListener {
  return (request, response) => {
    if (request.url === RELAY_PATH) {
      handleRelayRequest(request, response, relay);
      return;
    }
    const url = request.url ?? "";
    if (url === REPORT_PATH) {
      response.setHeader("Content-Type", "application/json");
      writeText(response, 200, JSON.stringify(report()));
    } else if (url.startsWith(CLEAR_QUERY_PATH) && request.method === "POST") {
      const isLifted = lift(url.slice(CLEAR_QUERY_PATH.length));
      response.setHeader("Content-Type", "application/json");
      writeText(response, isLifted ? 200 : 404, JSON.stringify({ isLifted }));
    } else if (url.startsWith(CLUSTER_STATE_PATH)) {
      response.end(encodeSharedState(share(decodeClusterStateUrl(url))));
    } else {
      writeText(response, 404, "");
    }
  };
}

function answerMetrics({ metricsText }: AuxiliaryServersOptions, path: string): RequestListener {
  return (request, response) => {
    if (request.url !== path) {
      writeText(response, 404, "");
      return;
    }
    void metricsText().then((text) => writeText(response, 200, text));
  };
}

function writeText(response: ServerResponse, statusCode: number, text: string): void {
  response.writeHead(statusCode, { "Content-Length": Buffer.byteLength(text) });
  response.end(text);
}
