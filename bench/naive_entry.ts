#!/usr/bin/env node
/**
 * The naive mode that rackvale is compared with: each entry connects to leafs itself, selects a random
 * replica, waits until the deadline of the query and retries after any failure.
 *
 * @module
 */
import prand from "pure-rand";
import { Pool } from "undici";
import { LEAF_HEADERS, LEAF_PATHS } from "../backend/mod.js";
import type { LeafSpec, QueryRequest, Row, ServiceConfig, ShardMap } from "../model/mod.js";
import { mergeRows } from "../query/mod.js";
import { parseSettingsOrExit } from "../settings/mod.js";
import { reply, type StandinRequest, serve } from "../standins/http.js";

interface NaiveLeaf extends LeafSpec {
  readonly pool: Pool;
}

interface NaiveService {
  readonly leafs: ReadonlyMap<string, NaiveLeaf>;
  readonly shardMap: ShardMap;
}

interface ShardCall {
  readonly shard: string;
  readonly snapshot: string;
  readonly leafIds: ReadonlyArray<string>;
  readonly bodyJson: string;
  readonly deadlineAtMs: number;
}

const MAX_ATTEMPTS = 2;
const IDLE_TIMEOUT_MS = 1_000;

const { settings } = parseSettingsOrExit("Usage: naive_entry --seed N", {
  seed: { kind: "number", help: "Seed of the selection of replicas", fallback: "1" },
});
let random = prand.xoroshiro128plus(settings.seed);
const services = new Map<string, NaiveService>();

function pickOne<T>(items: ReadonlyArray<T>): T | undefined {
  const [index, next] = prand.uniformIntDistribution(0, items.length - 1, random);
  random = next;
  return items[index];
}

function configure({ body, response }: StandinRequest): void {
  const { config, shardMap } = JSON.parse(body) as {
    readonly config: ServiceConfig;
    readonly shardMap: ShardMap;
  };
  const leafs = config.backendServers.flatMap(({ address, leafs: specs }) =>
    specs.map((leaf) => {
      const options = {
        connections: leaf.maxConnections,
        pipelining: 1,
        headersTimeout: 0,
        // Idle connections would count towards the connection limit of the leaf in the mode that runs next.
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      };
      return [
        leaf.leafId,
        { ...leaf, pool: new Pool(`http://${address}:${leaf.port}`, options) },
      ] as const;
    }),
  );
  services.set(config.service, { leafs: new Map(leafs), shardMap });
  reply(response, 200, {});
}

async function callLeaf(leaf: NaiveLeaf, call: ShardCall): Promise<ReadonlyArray<Row>> {
  const remainingMs = Math.max(1, Math.round(call.deadlineAtMs - performance.now()));
  const response = await leaf.pool.request({
    method: "POST",
    path: LEAF_PATHS.query,
    headers: {
      "content-type": "application/json",
      [LEAF_HEADERS.callId]: "naive",
      [LEAF_HEADERS.snapshot]: call.snapshot,
      [LEAF_HEADERS.shard]: call.shard,
      [LEAF_HEADERS.deadlineMs]: String(remainingMs),
    },
    body: call.bodyJson,
    signal: AbortSignal.timeout(remainingMs),
  });
  const data = await response.body.json();
  if (response.statusCode !== 200) {
    throw new Error("Leaf call failed");
  }
  return data as ReadonlyArray<Row>;
}

async function fetchShard(
  service: NaiveService,
  call: ShardCall,
): Promise<ReadonlyArray<Row> | undefined> {
  for (
    let attempt = 0;
    attempt < MAX_ATTEMPTS && performance.now() < call.deadlineAtMs;
    attempt++
  ) {
    const leaf = service.leafs.get(pickOne(call.leafIds) ?? "");
    if (leaf !== undefined) {
      try {
        return await callLeaf(leaf, call);
      } catch {
        // Every failure is retried.
      }
    }
  }
  return undefined;
}

async function query({ path, body, response }: StandinRequest): Promise<void> {
  const service = services.get(path.split("/")[3] ?? "");
  const spec = service?.shardMap.snapshots[0];
  if (service === undefined || spec === undefined) {
    reply(response, 404, {});
    return;
  }
  const request = JSON.parse(body) as QueryRequest;
  const deadlineAtMs = performance.now() + request.deadlineMs;
  const bodyJson = JSON.stringify(request.body);
  const { snapshot } = spec;
  const shardResults = await Promise.all(
    spec.shards.map(({ shard, leafIds }) =>
      fetchShard(service, { shard, snapshot, leafIds, bodyJson, deadlineAtMs }),
    ),
  );
  const included = spec.shards.filter((_, index) => shardResults[index] !== undefined);
  const rows = mergeRows(
    shardResults.map((rows) => rows ?? []),
    request.merge ?? {},
  );
  const outcome = included.length === shardResults.length ? "complete" : "partial";
  const lacking = spec.shards.filter((_, index) => shardResults[index] === undefined);
  const coverage = { included: included.map((each) => each.shard), lacking };
  reply(response, 200, { outcome, notRun: false, snapshot, coverage, rows });
}

const { port } = await serve(
  (request) => {
    if (request.path === "/admin/configure") {
      configure(request);
    } else {
      void query(request);
    }
  },
  { address: "127.0.0.1", port: 0 },
);
process.stdout.write(`${JSON.stringify({ listening: { callerPort: port } })}\n`);
