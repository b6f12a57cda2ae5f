/**
 * Stand-ins of the platform's object store, as its page describes it, and free addresses.
 *
 * @module
 */
import { createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";

const HISTORY_LIMIT = 100_000;
const PAGE_SIZE = 500;
const MAX_WAIT_MS = 30_000;

/** Starts a store; `faults` may be changed while it runs. */
export async function startStore() {
  const objects = new Map();
  const history = [];
  const watches = new Set();
  const faults = { delayMs: 0 };
  let revision = 1;

  function record(kind, name, object, deleted) {
    history.push({ kind, name, object: structuredClone(object), deleted, revision });
    if (history.length > HISTORY_LIMIT) {
      history.shift();
    }
    for (const notify of [...watches]) {
      notify();
    }
  }

  function write(kind, name, change) {
    const key = `${kind}/${name}`;
    const known = objects.get(key);
    revision += 1;
    const meta = { name, revision, created: Date.now(), finalizers: [], deletionPending: false };
    const object = { meta: { ...meta, created: known?.meta.created ?? meta.created }, ...change };
    const merged = { spec: known?.spec ?? null, status: known?.status ?? null, ...object };
    objects.set(key, merged);
    record(kind, name, merged, false);
    return merged;
  }

  function remove(kind, name) {
    const known = objects.get(`${kind}/${name}`);
    if (known !== undefined) {
      objects.delete(`${kind}/${name}`);
      revision += 1;
      record(kind, name, { ...known, meta: { ...known.meta, revision } }, true);
    }
  }

  function reply(response, status, body) {
    response.writeHead(status, { "Content-Type": "application/json", "Store-Era": "0" });
    response.end(JSON.stringify(body));
  }

  function list(response, kind, query) {
    const after = query.get("after") ?? "";
    const all = [...objects.entries()]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({ meta }) => meta.name > after)
      .sort((a, b) => (a.meta.name < b.meta.name ? -1 : 1));
    const items = all.slice(0, PAGE_SIZE);
    reply(response, 200, { items, hasMore: all.length > items.length, currentRev: revision });
  }

  function watch(response, kind, query) {
    const since = Number(query.get("watch"));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("waitMs") ?? 0));
    const events = () =>
      history
        .filter((each) => each.kind === kind && each.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
    const finish = () => {
      clearTimeout(timer);
      watches.delete(notify);
      reply(response, 200, { events: events(), currentRev: revision });
    };
    const notify = () => {
      if (events().length > 0) {
        finish();
      }
    };
    const timer = setTimeout(finish, waitMs);
    watches.add(notify);
    response.on("close", () => {
      clearTimeout(timer);
      watches.delete(notify);
    });
    notify();
  }

  function handleWrite(request, response, { kind, name, part, body }) {
    const key = `${kind}/${name}`;
    const known = objects.get(key);
    const expected = body?.meta?.revision;
    if (request.method === "POST") {
      const made = body.meta.name;
      const existing = objects.get(`${kind}/${made}`);
      if (existing !== undefined) {
        reply(response, 409, existing);
        return;
      }
      reply(response, 200, write(kind, made, { spec: body.spec ?? null }));
      return;
    }
    if (known === undefined) {
      reply(response, 404, {});
      return;
    }
    if (expected !== undefined && expected !== known.meta.revision) {
      reply(response, 409, known);
      return;
    }
    if (request.method === "DELETE") {
      remove(kind, name);
      reply(response, 200, {});
      return;
    }
    const change = part === "status" ? { status: body.status } : { spec: body.spec };
    reply(response, 200, write(kind, name, change));
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const url = new URL(request.url ?? "/", "http://store");
      const [kind = "", name = "", part = ""] = url.pathname
        .slice("/api/objects/".length)
        .split("/");
      const text = Buffer.concat(chunks).toString();
      const body = text === "" ? undefined : JSON.parse(text);
      setTimeout(() => {
        if (request.method !== "GET") {
          handleWrite(request, response, { kind, name, part, body });
        } else if (name !== "") {
          const object = objects.get(`${kind}/${name}`);
          reply(response, object === undefined ? 404 : 200, object ?? {});
        } else if (url.searchParams.has("watch")) {
          watch(response, kind, url.searchParams);
        } else {
          list(response, kind, url.searchParams);
        }
      }, faults.delayMs);
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    faults,
    put: (kind, name, spec) => write(kind, name, { spec }),
    remove,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Whether a TCP port is free at an address. */
function isFree(address, port) {
  return new Promise((resolve) => {
    const probe = createTcpServer();
    probe.once("error", () => resolve(false));
    probe.listen(port, address, () => probe.close(() => resolve(true)));
  });
}

/** Finds a port offset at which all ports are free at all addresses. */
export async function findFreeBase(addresses, offsets) {
  for (let tries = 0; tries < 200; tries += 1) {
    const base = 20_000 + Math.floor(Math.random() * 9_000);
    const checks = addresses.flatMap((address) => {
      return offsets.map((offset) => isFree(address, base + offset));
    });
    if ((await Promise.all(checks)).every(Boolean)) {
      return base;
    }
  }
  throw new Error("Cannot find free ports");
}
