/**
 * The servers beside the one for requests: readiness, directory, other boxes, metrics.
 *
 * @module
 */
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { Progress } from "../fleet/mod.js";
import {
  decodeKnowledgeUrl,
  encodeShared,
  KNOWLEDGE_PATH,
  type SharedKnowledge,
} from "../knowledge/mod.js";
import {
  type BoxSettings,
  decodeResolve,
  encodeAdvice,
  READY_PATH,
  type ResolveQuestion,
  type SocketAddress,
} from "../platform/mod.js";
import { answerRelay, RELAY_PATH, type RelayServerOptions } from "../relay/mod.js";
import { type BoxReport, LIFT_PATH, REPORT_PATH } from "./box_report.js";

/** Where metrics are served. */
export interface MetricsPlace {
  readonly port: number;
  readonly path: string;
}

/** A server and the port that it is to listen on. */
export interface ServerAtPort {
  readonly server: Server;
  readonly port: number;
}

/** What the servers answer from. */
export interface SideServersOptions {
  readonly settings: Pick<BoxSettings, "readiness" | "directory" | "peers">;
  /** Tells whether this box can be given work. */
  readonly isReady: () => boolean;
  /** Tells which addresses a caller is to use. */
  readonly advise: (question: ResolveQuestion) => ReadonlyArray<SocketAddress>;
  /** Tells how long callers may keep that, in milliseconds. */
  readonly keepMs: () => number;
  /** Gives what a peer that is behind may take over. */
  readonly share: (progress: Progress) => SharedKnowledge;
  /** Gives what this box tells operators of itself. */
  readonly report: () => BoxReport;
  /** Clears a query under which leafs were lost; tells whether there was anything to clear. */
  readonly lift: (fingerprint: string) => boolean;
  /** What orders of other boxes are answered from. */
  readonly relay: RelayServerOptions;
  readonly metrics: MetricsPlace | undefined;
  readonly metricsText: () => Promise<string>;
}

/**
 * Makes the servers; none is listening yet.
 *
 * @param options - What they answer from.
 * @returns Each with its port.
 */
export function sideServers(options: SideServersOptions): ReadonlyArray<ServerAtPort> {
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

function answerReadiness({ isReady }: SideServersOptions): RequestListener {
  return (request, response) => {
    const isKnown = request.url?.startsWith(READY_PATH) === true;
    const statusCode = isReady() ? 200 : 503;
    writeText(response, isKnown ? statusCode : 404, "");
  };
}

function answerDirectory({ advise, keepMs }: SideServersOptions): RequestListener {
  return (request, response) => {
    const question = decodeResolve(request.url ?? "/");
    if (question === undefined) {
      writeText(response, 404, "");
      return;
    }
    response.setHeader("Content-Type", "application/json");
    writeText(response, 200, encodeAdvice(advise(question), { keepMs: keepMs() }));
  };
}

function answerPeer({ lift, relay, report, share }: SideServersOptions): RequestListener {
  return (request, response) => {
    if (request.url === RELAY_PATH) {
      answerRelay(request, response, relay);
      return;
    }
    const url = request.url ?? "";
    if (url === REPORT_PATH) {
      response.setHeader("Content-Type", "application/json");
      writeText(response, 200, JSON.stringify(report()));
    } else if (url.startsWith(LIFT_PATH) && request.method === "POST") {
      const isLifted = lift(url.slice(LIFT_PATH.length));
      response.setHeader("Content-Type", "application/json");
      writeText(response, isLifted ? 200 : 404, JSON.stringify({ isLifted }));
    } else if (url.startsWith(KNOWLEDGE_PATH)) {
      response.end(encodeShared(share(decodeKnowledgeUrl(url))));
    } else {
      writeText(response, 404, "");
    }
  };
}

function answerMetrics({ metricsText }: SideServersOptions, path: string): RequestListener {
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
