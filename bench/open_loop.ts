/**
 * Open-loop load: each query is sent at its planned time regardless of the outcome of earlier queries,
 * and its latency is measured from that time.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import type { QueryAnswer } from "../model/mod.js";

/** A query to send. */
export interface PlannedQuery {
  readonly atMs: number;
  readonly service: string;
  /** Kind under which the result is counted. */
  readonly kind: string;
  readonly body: object;
}

/** Results of the queries of one kind. */
export interface LoadResult {
  readonly sent: number;
  /** Answers with rows. */
  readonly answered: number;
  readonly complete: number;
  readonly refusedNotRun: number;
  readonly unknown: number;
  /** Queries that received no HTTP response. */
  readonly failed: number;
  /** Mean share of shards covered by the answers with rows, 0 to 1. */
  readonly coverage: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
  /** 99th percentile of the latency of refusals, in milliseconds. */
  readonly refusalP99Ms: number;
}

interface Tally {
  readonly latencies: Histogram;
  readonly refusals: Histogram;
  sent: number;
  answered: number;
  complete: number;
  refusedNotRun: number;
  unknown: number;
  failed: number;
  coverageSum: number;
}

/** Histogram units per millisecond. */
const UNITS_PER_MS = 100;

function newTally(): Tally {
  const options = { lowestDiscernibleValue: 1, highestTrackableValue: 6_000_000 } as const;
  return {
    latencies: build({ ...options, numberOfSignificantValueDigits: 3 }),
    refusals: build({ ...options, numberOfSignificantValueDigits: 3 }),
    sent: 0,
    answered: 0,
    complete: 0,
    refusedNotRun: 0,
    unknown: 0,
    failed: 0,
    coverageSum: 0,
  };
}

/** Options of {@linkcode sendLoad}. */
export interface LoadOptions {
  /** Returns the current base URLs of the entries; called before each query. */
  readonly entries: () => ReadonlyArray<string>;
}

/**
 * Sends a load and waits for all responses.
 *
 * @param planned - Queries to send.
 * @param options - Entries to send them to.
 * @returns Results by kind.
 */
export async function sendLoad(
  planned: ReadonlyArray<PlannedQuery>,
  { entries }: LoadOptions,
): Promise<Readonly<Record<string, LoadResult>>> {
  const tallies = new Map<string, Tally>();
  const agent = new Agent({ connections: 200, pipelining: 1 });
  const startMs = performance.now();
  const calls = planned.map(async (query, index) => {
    const tally = tallies.get(query.kind) ?? newTally();
    tallies.set(query.kind, tally);
    await waitUntil(startMs + query.atMs);
    const urls = entries();
    const url = urls[index % urls.length] ?? "";
    tally.sent += 1;
    await sendOne({ query, url, agent, tally, plannedAtMs: startMs + query.atMs });
  });
  await Promise.all(calls);
  await agent.destroy();
  return Object.fromEntries([...tallies].map(([kind, tally]) => [kind, resultOf(tally)]));
}

function waitUntil(atMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, atMs - performance.now())));
}

interface SendOptions {
  readonly query: PlannedQuery;
  readonly url: string;
  readonly agent: Agent;
  readonly tally: Tally;
  readonly plannedAtMs: number;
}

async function sendOne({ query, url, agent, tally, plannedAtMs }: SendOptions): Promise<void> {
  try {
    const response = await request(`${url}/v1/services/${query.service}/query`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(query.body),
      dispatcher: agent,
    });
    const body = (await response.body.json()) as QueryAnswer;
    recordAnswer(tally, body, performance.now() - plannedAtMs);
  } catch {
    tally.failed += 1;
  }
}

function recordAnswer(tally: Tally, answer: QueryAnswer, tookMs: number): void {
  const units = Math.max(1, Math.round(tookMs * UNITS_PER_MS));
  const { included, lacking } = answer.coverage;
  if (answer.outcome === "complete" || answer.outcome === "partial") {
    tally.latencies.recordValue(units);
    tally.answered += 1;
    tally.complete += answer.outcome === "complete" ? 1 : 0;
    const shardCount = Math.max(included.length + lacking.length, included.length, 1);
    tally.coverageSum += included.length / shardCount;
  } else if (answer.notRun) {
    tally.refusals.recordValue(units);
    tally.refusedNotRun += 1;
  } else {
    tally.unknown += 1;
  }
}

function resultOf(tally: Tally): LoadResult {
  const { latencies, refusals, sent, answered, complete, refusedNotRun, unknown, failed } = tally;
  const latencyAt = (percentile: number) =>
    latencies.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {
    sent,
    answered,
    complete,
    refusedNotRun,
    unknown,
    failed,
    coverage: answered === 0 ? 0 : tally.coverageSum / answered,
    p50Ms: latencyAt(50),
    p99Ms: latencyAt(99),
    p999Ms: latencyAt(99.9),
    maxMs: latencies.maxValue / UNITS_PER_MS,
    refusalP99Ms: refusedNotRun === 0 ? 0 : refusals.getValueAtPercentile(99) / UNITS_PER_MS,
  };
}

/** Options of {@linkcode steadyLoad}. */
export interface SteadyOptions {
  readonly service: string;
  readonly kind: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly body: (index: number) => object;
}

/**
 * Plans queries at a constant rate.
 *
 * @param options - Rate, period and bodies.
 * @returns The planned queries.
 */
export function steadyLoad(options: SteadyOptions): ReadonlyArray<PlannedQuery> {
  const { service, kind, perSecond, fromMs, untilMs, body } = options;
  const count = Math.floor(((untilMs - fromMs) / 1000) * perSecond);
  return Array.from({ length: count }, (_, index) => ({
    atMs: fromMs + (index * 1000) / perSecond,
    service,
    kind,
    body: body(index),
  }));
}
