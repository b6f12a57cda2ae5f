/**
 * The entry's HTTP interface for callers and operators.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type ObjectKind, parseRequestUrl } from "../model/mod.js";
import { httpFault, writeFault } from "./http_io.js";

/** A request with its parsed path and query string. */
export interface ApiRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Name in the path; empty if the path has none. */
  readonly name: string;
  readonly kind: ObjectKind;
  readonly query: URLSearchParams;
}

/** Handlers of the API's requests. */
export interface ApiHandlers {
  readonly entries: (api: ApiRequest) => void;
  readonly query: (api: ApiRequest) => void;
  readonly listObjects: (api: ApiRequest) => void;
  readonly getObject: (api: ApiRequest) => void;
  readonly submitObject: (api: ApiRequest) => void;
  readonly removeObject: (api: ApiRequest) => void;
  readonly checkPolicies: (api: ApiRequest) => void;
  readonly status: (api: ApiRequest) => void;
  readonly drain: (api: ApiRequest) => void;
  readonly health: (api: ApiRequest) => void;
  readonly ready: (api: ApiRequest) => void;
}

/** Time limit for receiving an entire request, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 10_000;

/** Time limit for receiving the headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;

/** Time for which an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

const KINDS: Readonly<Record<string, ObjectKind>> = {
  services: "service",
  shardmaps: "shardmap",
};

/** Handlers by method and path, with `*` for a name and `kind` for a collection. */
const ROUTES: Readonly<Record<string, keyof ApiHandlers>> = {
  "GET v1 entries": "entries",
  "POST v1 services * query": "query",
  "GET v1 kind": "listObjects",
  "GET v1 kind *": "getObject",
  "PUT v1 kind *": "submitObject",
  "DELETE v1 kind *": "removeObject",
  "POST v1 policies check": "checkPolicies",
  "GET v1 status": "status",
  "POST v1 drain *": "drain",
  "GET health": "health",
  "GET ready": "ready",
};

interface Route {
  readonly handler: keyof ApiHandlers;
  readonly name: string;
  readonly kind: ObjectKind;
}

/**
 * Finds the handler of a request.
 *
 * @param method - HTTP method.
 * @param path - Path without the query string.
 * @returns Handler, name and kind, or `undefined` if no route matches.
 */
export function findRoute(method: string, path: string): Route | undefined {
  const parts = path.split("/").filter((part) => part !== "");
  const [, collection = "", name = ""] = parts;
  const kind = KINDS[collection] ?? "service";
  const shapes = [
    [method, ...parts],
    [method, parts[0], collection, "*", ...parts.slice(3)],
    [method, parts[0], "kind", ...parts.slice(2)],
    [method, parts[0], "kind", "*", ...parts.slice(3)],
  ];
  const isKind = KINDS[collection] !== undefined;
  for (const shape of shapes) {
    const handler = ROUTES[shape.join(" ")];
    if (handler !== undefined && (shape[2] !== "kind" || isKind)) {
      return { handler, name: decodeName(name), kind };
    }
  }
  return undefined;
}

function decodeName(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}

/**
 * Creates the HTTP server, which does not listen yet.
 *
 * @param handlers - Handlers of the requests.
 * @returns The server.
 */
export function apiServer(handlers: ApiHandlers): Server {
  const server = createServer((request, response) => {
    response.on("error", () => undefined);
    const url = parseRequestUrl(request.url ?? "/");
    const route = url && findRoute(request.method ?? "", url.pathname);
    if (url === undefined || route === undefined) {
      request.resume();
      const message = `Cannot find ${request.method} "${url?.pathname ?? request.url}"`;
      writeFault(response, httpFault(404, message));
      return;
    }
    const { name, kind } = route;
    handlers[route.handler]({ request, response, name, kind, query: url.searchParams });
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.on("clientError", (_error, socket) => {
    if (socket.writable) {
      socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    }
  });
  return server;
}
