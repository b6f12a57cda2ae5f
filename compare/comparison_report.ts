/**
 * Renders the results of a comparison as tables and a plot.
 *
 * @module
 */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { Run } from "./comparison.js";
import type { DayReport } from "./day_report.js";
import { pairedDifference } from "./paired_difference.js";

/** A run with its result. */
export interface RunResult extends Run, DayReport {}

/**
 * Renders the tables: worth of each run, and differences of each variant from the first one, by site and kind of request.
 *
 * @param decision - Name of the decision that is compared.
 * @param results - Results of the runs.
 * @returns Tables in Markdown.
 */
export function comparisonReport(decision: string, results: ReadonlyArray<RunResult>): string {
  const [baseline = "", ...others] = unique(results.map(({ way }) => way));
  const head = [`# ${decision}`, "", "| site | day | seed | way | worth | entry |"];
  const runs = results.map(({ site, day, seed, way, worth, isBroken, entry }) => {
    const shown = isBroken ? `${worth.toFixed(3)}, rule broken` : worth.toFixed(3);
    return `| ${site} | ${day} | ${seed} | ${way} | ${shown} | ${entry} |`;
  });
  const sites = [...unique(results.map(({ site }) => site)), ALL_SITES];
  const differences = others.flatMap((variant) => {
    return sites.flatMap((site) => differenceRows(results, { baseline, variant, site }));
  });
  return [
    ...[...head, "|---|---|---|---|---|---|", ...runs, ""],
    `| way, against ${baseline} | site | of | pairs | mean | spread | |`,
    ...["|---|---|---|---|---|---|---|", ...differences, ""],
  ].join("\n");
}

const ALL_SITES = "all";

interface ComparedVariants {
  readonly baseline: string;
  readonly variant: string;
  readonly site: string;
}

function differenceRows(
  results: ReadonlyArray<RunResult>,
  { baseline, variant, site }: ComparedVariants,
): ReadonlyArray<string> {
  const pairs = results
    .filter((result) => result.way === variant && (site === ALL_SITES || result.site === site))
    .flatMap((result) => {
      const other = results.find((each) => each.way === baseline && isSameScenario(each, result));
      return other === undefined ? [] : [{ other, result }];
    });
  const kinds = unique(pairs.flatMap(({ result }) => Object.keys(result.worthByKind)));
  const row = (metric: string, differences: ReadonlyArray<number>): string => {
    const { pairs: count, mean, spread, verdict } = pairedDifference(differences);
    return `| ${variant} | ${site} | ${metric} | ${count} | ${mean.toFixed(3)} | ${spread.toFixed(3)} | ${verdict} |`;
  };
  const overall = row(
    "worth",
    pairs.map(({ other, result }) => result.worth - other.worth),
  );
  const byKind = kinds.map((kind) => {
    return row(
      kind,
      pairs.map(({ other, result }) => {
        return (result.worthByKind[kind] ?? 0) - (other.worthByKind[kind] ?? 0);
      }),
    );
  });
  return [overall, ...(site === ALL_SITES ? [] : byKind)];
}

function isSameScenario(one: Run, other: Run): boolean {
  return one.site === other.site && one.day === other.day && one.seed === other.seed;
}

function unique(names: ReadonlyArray<string>): ReadonlyArray<string> {
  return [...new Set(names)];
}

/**
 * Plots the worth of each variant by site, with one point per run.
 *
 * @param decision - Name of the decision that is compared.
 * @param results - Results of the runs.
 * @returns The plot in SVG.
 */
export async function comparisonPlot(
  decision: string,
  results: ReadonlyArray<RunResult>,
): Promise<string> {
  const spec: TopLevelSpec = {
    title: decision,
    data: { values: results.map(({ day, site, way, worth }) => ({ day, site, way, worth })) },
    mark: { type: "point", filled: true },
    encoding: {
      x: { field: "way", type: "nominal", title: null },
      y: { field: "worth", type: "quantitative", scale: { zero: false } },
      color: { field: "day", type: "nominal" },
      column: { field: "site", type: "nominal" },
    },
  };
  return new View(parse(compile(spec).spec), { renderer: "none" }).toSVG();
}
