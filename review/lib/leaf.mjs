/**
 * A stand-in of a leaf: runs requests, keeps its entry in the store and records what it ran.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";

const RECORD_BYTES = 16;
const HEARTBEAT_MS = 1_200;

/** Time for which a draining leaf serves beyond `drainMs`, in milliseconds. */
const EXTRA_DRAIN_MS = 1_000;

/** Time of one request: a number, or evenly between two. */
function workOf(workMs) {
  return typeof workMs === "number"
    ? workMs
    : workMs.min + Math.random() * (workMs.max - workMs.min);
}

/**
 * Starts a leaf.
 *
 * @param store - Store that holds its entry.
 * @param options - `service`, `zone`, `slots`, `workMs`, `queue`, and `onRun`, which is called with
 *   each request that it runs.
 */
export async function startLeaf(store, options) {
  const { service, zone, slots = 2, workMs = 5, queue = 12, records = 8 } = options;
  const id = `i-${randomBytes(6).toString("hex")}`;
  const born = Date.now();
  const waiting = [];
  let running = 0;
  let state = "ready";
  let sequence = 0;
  let signatures = 0;
  let isListed = true;

  function load() {
    return `${running},${waiting.length},${slots}`;
  }

  function reject(response, requestId, status) {
    response.writeHead(status, {
      "X-Request-Id": requestId,
      "X-Not-Executed": "1",
      "X-Server-Load": load(),
    });
    response.end();
  }

  function run({ request, response, body, requestId }) {
    running += 1;
    signatures += 1;
    const stamp = `${id}.${signatures}`;
    const { method, url: path } = request;
    options.onRun?.({
      leaf: id,
      service,
      zone,
      requestId,
      method,
      path,
      body,
      stamp,
      headers: request.headers,
    });
    setTimeout(() => {
      running -= 1;
      if (!response.destroyed) {
        const answer = options.answer?.({ requestId, path, body });
        const bytes = answer ?? randomBytes(records * RECORD_BYTES);
        response.writeHead(200, {
          "X-Request-Id": requestId,
          "X-Response-Stamp": stamp,
          "X-Server-Load": load(),
          "Content-Length": String(bytes.length),
        });
        response.end(bytes);
      }
      const next = waiting.shift();
      if (next !== undefined) {
        run(next);
      }
    }, workOf(workMs));
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      if (request.url === "/healthz") {
        response.writeHead(state === "ready" ? 200 : 503, { "X-Instance-Id": id }).end();
        return;
      }
      const requestId = String(request.headers["x-request-id"] ?? "");
      const expected = request.headers["x-expect-instance"];
      if (requestId === "") {
        reject(response, requestId, 400);
        return;
      }
      if (expected !== undefined && expected !== id) {
        reject(response, requestId, 421);
        return;
      }
      options.onArrival?.({ leaf: id, requestId });
      const work = { request, response, requestId, body: Buffer.concat(chunks) };
      if (running < slots) {
        run(work);
      } else if (waiting.length < queue) {
        waiting.push(work);
      } else {
        reject(response, requestId, 503);
      }
    });
  });
  server.keepAliveTimeout = 15_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();

  function writeEntry() {
    sequence += 1;
    store.put("servers", id, {
      ...{ service, zone, version: "v1", slots, state, sequence, born, warmupLeftMs: 0 },
      address: `127.0.0.1:${port}`,
    });
  }
  writeEntry();
  const beat = setInterval(() => {
    if (isListed) {
      writeEntry();
    }
  }, HEARTBEAT_MS);

  function stop() {
    clearInterval(beat);
    isListed = false;
    server.closeAllConnections();
    server.close();
  }

  return {
    id,
    service,
    zone,
    stop,
    /** Says `draining`, serves on for `drainMs` and a little longer, then ends and leaves the store. */
    drain: (drainMs) => {
      state = "draining";
      writeEntry();
      setTimeout(() => {
        stop();
        store.remove("servers", id);
      }, drainMs + EXTRA_DRAIN_MS);
    },
  };
}
