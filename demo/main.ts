#!/usr/bin/env node
/**
 * Demo: three boxes, the stand-ins and the bidscope service, as separate processes. It sends a query,
 * a second one while a pool is killed, and a third one without any leaf for one shard, and checks the
 * coverage and the rows of each answer.
 *
 * @module
 */
import type { QueryAnswer, ServiceConfig, ShardMap } from "../model/mod.js";
import { mergeRows } from "../query/mod.js";
import { Fleet, postJson, SAMPLE_SHAPES, shardRows, urlOf } from "../standins/mod.js";

const SHAPE = SAMPLE_SHAPES.bidscope;
const MERGE = { orderBy: "price", limitRows: 10 } as const;

function printLine(text: string): void {
  process.stdout.write(`demo: ${text}\n`);
}

async function sendQuery(fleet: Fleet, title: string): Promise<QueryAnswer> {
  const { body } = await postJson(`${urlOf(fleet.boxes[0]?.entry)}/v1/services/bidscope/query`, {
    caller: "trader-1",
    deadlineMs: 2_000,
    merge: MERGE,
    body: { mark: title },
  });
  const answer = body as QueryAnswer;
  const { included, lacking } = answer.coverage;
  const missing = lacking.map((each) => `${each.shard} (${each.reason})`).join(", ") || "none";
  printLine(
    `${title}: ${answer.outcome}, snapshot ${answer.snapshot}, revision ${answer.revision}`,
  );
  printLine(`  included ${included.length} shards, missing ${missing}`);
  printLine(`  best rows ${answer.rows.map((row) => `${row.shard}=${row.price}`).join(" ")}`);
  return answer;
}

/** Computes the rows that the answer must contain, from the shards that it reports as included. */
function expectedRows({ coverage, snapshot }: QueryAnswer) {
  const shardResults = coverage.included.map((shard) =>
    shardRows(SHAPE.service, { snapshot, shard }, SHAPE.rowsPerShard),
  );
  return mergeRows(shardResults, MERGE);
}

function checkAnswer(answer: QueryAnswer, expectedLacking: ReadonlyArray<string>): void {
  const reportedLacking = answer.coverage.lacking.map((each) => each.shard);
  if (JSON.stringify(reportedLacking) !== JSON.stringify(expectedLacking)) {
    throw new Error(`Wrong answer: reported as missing: ${reportedLacking.join(", ")}`);
  }
  if (answer.coverage.included.length !== 40 - expectedLacking.length) {
    throw new Error("Wrong answer: its coverage does not list every shard");
  }
  if (JSON.stringify(answer.rows) !== JSON.stringify(expectedRows(answer))) {
    throw new Error("Wrong answer: its rows do not match those of the included shards");
  }
}

async function disableShard(
  fleet: Fleet,
  config: ServiceConfig,
  shardMap: ShardMap,
): Promise<string> {
  const [spec] = shardMap.snapshots[0]?.shards ?? [];
  const leafIds = new Set(spec?.leafIds);
  printLine(
    `disables leafs ${[...leafIds].join(" and ")} of ${config.service}, all replicas of shard ${spec?.shard}`,
  );
  await fleet.changeLeafs("bidscope", {});
  for (const leafId of leafIds) {
    await fleet.changeLeafs(leafId, { misbehaviour: "hang up" });
  }
  return spec?.shard ?? "";
}

async function run(): Promise<void> {
  printLine("starts a platform, backend servers and three boxes with an entry and a pool each");
  const fleet = await Fleet.start({
    boxes: 3,
    dataCentres: SHAPE.dataCentres,
    seed: 1,
    backendProcesses: 2,
    logLevel: "warn",
  });
  try {
    const { config, shardMap } = await fleet.addService(SHAPE);
    printLine("bidscope is configured on every box: 20 backend servers, 40 leafs, 40 shards");
    checkAnswer(await sendQuery(fleet, "a query over all shards"), []);

    const pendingAnswer = sendQuery(fleet, "a query while a pool is killed");
    fleet.boxes[1]?.pool.signal("SIGKILL");
    checkAnswer(await pendingAnswer, []);

    const shard = await disableShard(fleet, config, shardMap);
    checkAnswer(await sendQuery(fleet, "a query that lacks a shard"), [shard]);
  } finally {
    await fleet.stop();
  }
  process.stdout.write("demo: ok\n");
}

await run();
process.exit(0);
