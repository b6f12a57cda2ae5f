/**
 * Formats the results of the benchmark as a table and as a plot.
 *
 * @module
 */
import { parse, View } from "vega";
import { compile } from "vega-lite";
import type { LoadResult } from "./open_loop.js";

/** Result of a mode in a scenario, for one kind of query. */
export interface BenchRow {
  readonly scenario: string;
  readonly kind: string;
  readonly mode: "rackvale" | "naive";
  readonly result: LoadResult;
  /** Leaf calls beyond one for each shard and query that ran, as a share; negative if calls are shared. */
  readonly extraLoadShare: number;
  /** CPU time of all daemons of a role per leaf call, in microseconds; only in mode `rackvale`. */
  readonly cpuMicrosPerCall: { readonly entry: number; readonly pool: number } | undefined;
}

const COLUMNS: ReadonlyArray<{
  readonly title: string;
  readonly value: (row: BenchRow) => string;
}> = [
  { title: "scenario", value: (row) => row.scenario },
  { title: "queries", value: (row) => row.kind },
  { title: "mode", value: (row) => row.mode },
  { title: "sent", value: (row) => String(row.result.sent) },
  { title: "p50 ms", value: (row) => row.result.p50Ms.toFixed(1) },
  { title: "p99 ms", value: (row) => row.result.p99Ms.toFixed(1) },
  { title: "p99.9 ms", value: (row) => row.result.p999Ms.toFixed(1) },
  { title: "coverage", value: (row) => row.result.coverage.toFixed(4) },
  { title: "complete", value: (row) => String(row.result.complete) },
  { title: "not run", value: (row) => String(row.result.refusedNotRun) },
  { title: "unknown", value: (row) => String(row.result.unknown) },
  { title: "failed", value: (row) => String(row.result.failed) },
  { title: "extra load", value: (row) => `${(row.extraLoadShare * 100).toFixed(1)}%` },
];

/**
 * Formats results as a Markdown table.
 *
 * @param rows - Results of the benchmark.
 * @returns The table.
 */
export function formatTable(rows: ReadonlyArray<BenchRow>): string {
  const header = `| ${COLUMNS.map((column) => column.title).join(" | ")} |`;
  const separator = `|${COLUMNS.map(() => "---").join("|")}|`;
  const lines = rows.map((row) => `| ${COLUMNS.map((each) => each.value(row)).join(" | ")} |`);
  return [header, separator, ...lines].join("\n");
}

/**
 * Formats the ratio of the latency percentiles of rackvale to those of the naive mode, for each scenario
 * and kind.
 *
 * @param rows - Results of the benchmark.
 * @returns A line for each scenario and kind.
 */
export function formatRatios(rows: ReadonlyArray<BenchRow>): ReadonlyArray<string> {
  return rows.flatMap((row) => {
    const naive = rows.find((other) => {
      return other.mode === "naive" && other.scenario === row.scenario && other.kind === row.kind;
    });
    if (row.mode === "naive" || naive === undefined) {
      return [];
    }
    const p99 = row.result.p99Ms / Math.max(0.1, naive.result.p99Ms);
    const p50 = row.result.p50Ms / Math.max(0.1, naive.result.p50Ms);
    const coverage = row.result.coverage - naive.result.coverage;
    return [
      `${row.scenario}, ${row.kind}: p99 ${p99.toFixed(2)} of naive's, p50 ${p50.toFixed(2)}, coverage ${coverage >= 0 ? "+" : ""}${coverage.toFixed(4)}`,
    ];
  });
}

/**
 * Renders a plot of the 99th percentiles of both modes.
 *
 * @param rows - Results of the benchmark.
 * @returns SVG document.
 */
export async function renderPlot(rows: ReadonlyArray<BenchRow>): Promise<string> {
  const values = rows.map(({ scenario, kind, mode, result }) => ({
    scenario: kind === "steady" ? scenario : `${scenario}, ${kind}`,
    mode,
    p99: Math.max(0.1, result.p99Ms),
  }));
  const { spec } = compile({
    width: 520,
    title: "99th percentile of answered queries",
    data: { values },
    mark: "bar",
    encoding: {
      y: { field: "scenario", type: "nominal", sort: null, title: null },
      yOffset: { field: "mode" },
      x: {
        field: "p99",
        type: "quantitative",
        scale: { type: "log" },
        title: "milliseconds (log)",
      },
      color: { field: "mode", type: "nominal", title: null },
    },
  });
  return new View(parse(spec), { renderer: "none" }).toSVG();
}
