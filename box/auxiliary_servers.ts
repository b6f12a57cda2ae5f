/**
 * HTTP servers of a box other than the one for callers' requests: readiness, directory, peers and
 * metrics.
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
import { HttpConnections } from "../http/mod.js";
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

/** Port and path at which metrics are served. */
export interface MetricsEndpoint {
  readonly port: number;
  readonly path: string;
}

/** A server, its connections, and the port on which it is to listen. */
export interface ServerAtPort {
  readonly server: Server;
  readonly connections: HttpConnections;
  readonly port: number;
}

/** The servers other than the one for callers' requests. */
export interface AuxiliaryServers {
  /** The server for other boxes and operators. */
  readonly peers: ServerAtPort;
  /** The servers for readiness, directory and metrics. */
  readonly others: ReadonlyArray<ServerAtPort>;
}

/** Options of {@link createAuxiliaryServers}. */
export interface AuxiliaryServersOptions {
  readonly settings: Pick<BoxSettings, "readiness" | "directory" | "peers">;
  /** Returns whether this box is ready for requests. */
  readonly isReady: () => boolean;
  /** Returns the addresses that a caller is to use. */
  readonly resolveAddresses: (question: ResolveRequest) => ReadonlyArray<SocketAddress>;
  /** Returns the time to live of the address list, in milliseconds. */
  readonly ttlMs: () => number;
  /** Returns the state that a peer with the given progress lacks. */
  readonly stateSince: (progress: SyncProgress) => SharedState;
  /** Returns the report for operators. */
  readonly report: () => BoxReport;
  /** Clears a crash-inducing query; returns whether there was anything to clear. */
  readonly clearQuery: (fingerprint: string) => boolean;
  /** Options for answering relay requests of other boxes. */
  readonly relay: RelayServerOptions;
  readonly metrics: MetricsEndpoint | undefined;
  readonly metricsText: () => Promise<string>;
}

/**
 * Creates the servers; none is listening yet.
 *
 * @param options - Settings and callbacks that provide the responses.
 * @returns The servers with their ports.
 */
export function createAuxiliaryServers(options: AuxiliaryServersOptions): AuxiliaryServers {
  const { settings, metrics } = options;
  const others: ReadonlyArray<ServerAtPort> = [
    serverAtPort(settings.readiness.port, answerReadiness(options)),
    serverAtPort(settings.directory.port, answerDirectory(options)),
    ...(metrics === undefined
      ? []
      : [serverAtPort(metrics.port, answerMetrics(options, metrics.path))]),
  ];
  return { peers: serverAtPort(settings.peers.port, answerPeer(options)), others };
}

function serverAtPort(port: number, handler: RequestListener): ServerAtPort {
  const server = createServer(handler);
  return { server, connections: new HttpConnections(server), port };
}

function answerReadiness({ isReady }: AuxiliaryServersOptions): RequestListener {
  return (request, response) => {
    const isKnown = request.url?.startsWith(READY_PATH) === true;
    const statusCode = isReady() ? 200 : 503;
    writeText(response, isKnown ? statusCode : 404, "");
  };
}

function answerDirectory({ resolveAddresses, ttlMs }: AuxiliaryServersOptions): RequestListener {
  return (request, response) => {
    const question = decodeResolveRequest(request.url ?? "/");
    if (question === undefined) {
      writeText(response, 404, "");
      return;
    }
    response.setHeader("Content-Type", "application/json");
    writeText(response, 200, encodeAddressList(resolveAddresses(question), { keepMs: ttlMs() }));
  };
}

function answerPeer({
  clearQuery,
  relay,
  report,
  stateSince,
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
      const isLifted = clearQuery(url.slice(CLEAR_QUERY_PATH.length));
      response.setHeader("Content-Type", "application/json");
      writeText(response, isLifted ? 200 : 404, JSON.stringify({ isLifted }));
    } else if (url.startsWith(CLUSTER_STATE_PATH)) {
      response.end(encodeSharedState(stateSince(decodeClusterStateUrl(url))));
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
