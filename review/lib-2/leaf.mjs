/** A leaf: runs `slots` requests at once, queues a few more, and says when it has not run one. */
import http from "node:http";

/** Requests that a full leaf queues, as on the sheets of the small deployments. */
const QUEUE = 16;

/** Starts a leaf and writes its entry; `workMs()` tells how long it works on the next request. */
export async function startLeaf(platform, { leafId, service, zone, slots = 4, workMs, onRun }) {
  const waiting = [];
  let running = 0;
  let sequence = 0;
  const answer = (job, statusCode, headers, body = "") => {
    if (!job.response.destroyed) {
      const load = `${running},${waiting.length},${slots}`;
      const own = { "X-Request-Id": job.requestId, "X-Server-Load": load };
      job.response.writeHead(statusCode, { ...own, ...headers }).end(body);
    }
  };
  const next = () => {
    while (running < slots && waiting.length > 0) {
      const job = waiting.shift();
      if (job.response.destroyed) {
        continue;
      }
      if (performance.now() > job.deadlineAtMs) {
        answer(job, 503, { "X-Not-Executed": "1" });
        continue;
      }
      running += 1;
      onRun({ leafId, zone, requestId: job.requestId });
      const end = () => {
        running -= 1;
        const stamp = { "X-Response-Stamp": `${leafId}.${job.requestId}` };
        answer(job, 200, stamp, Buffer.alloc(32, 65));
        next();
      };
      setTimeout(end, workMs());
    }
  };
  const server = http.createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      const { headers } = request;
      const requestId = headers["x-request-id"] ?? "";
      const deadlineAtMs = performance.now() + Number(headers["x-deadline-ms"] ?? 0);
      const job = { requestId, response, deadlineAtMs };
      if (headers["x-expect-instance"] !== leafId) {
        answer(job, 421, { "X-Instance-Id": leafId });
      } else if (running >= slots && waiting.length >= QUEUE) {
        answer(job, 503, { "X-Not-Executed": "1" });
      } else {
        waiting.push(job);
        next();
      }
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const write = (state) => {
    sequence += 1;
    platform.put("servers", leafId, {
      ...{ service, address: `127.0.0.1:${server.address().port}`, zone, version: "v1" },
      ...{ slots, state, warmupLeftMs: 0, sequence },
    });
  };
  write("ready");
  return {
    leafId,
    drain: () => write("draining"),
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Draws from a log-normal distribution with a greatest value, as work is told on the sheets. */
export function drawWorkMs({ meanMs, spread, maxMs }) {
  const normal =
    Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(2 * Math.PI * Math.random());
  return Math.min(maxMs, meanMs * Math.exp(spread * normal - (spread * spread) / 2));
}
