/**
 * Tables and a plot of a comparison.
 *
 * @module
 */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { Play } from "./comparison.js";
import { pairedDifference } from "./paired_difference.js";
import type { PlayedDay } from "./played_day.js";

/** A play and what it came to. */
export interface PlayResult extends Play, PlayedDay {}

/**
 * Writes the tables: worth of each way by site and day, and what each differs from the first one by, by site and kind.
 *
 * @param decision - What the ways differ in.
 * @param results - What has been played.
 * @returns Markdown.
 */
export function comparisonReport(decision: string, results: ReadonlyArray<PlayResult>): string {
  const [first = "", ...others] = unique(results.map(({ way }) => way));
  const head = [`# ${decision}`, "", "| site | day | seed | way | worth | entry |"];
  const plays = results.map(({ site, day, seed, way, worth, isBroken, entry }) => {
    const shown = isBroken ? `${worth.toFixed(3)}, rule broken` : worth.toFixed(3);
    return `| ${site} | ${day} | ${seed} | ${way} | ${shown} | ${entry} |`;
  });
  const sites = [...unique(results.map(({ site }) => site)), ALL_SITES];
  const differences = others.flatMap((way) => {
    return sites.flatMap((site) => differenceRows(results, { first, way, site }));
  });
  return [
    ...[...head, "|---|---|---|---|---|---|", ...plays, ""],
    `| way, against ${first} | site | of | pairs | mean | spread | |`,
    ...["|---|---|---|---|---|---|---|", ...differences, ""],
  ].join("\n");
}

const ALL_SITES = "all";

interface ComparedWays {
  readonly first: string;
  readonly way: string;
  readonly site: string;
}

function differenceRows(
  results: ReadonlyArray<PlayResult>,
  { first, way, site }: ComparedWays,
): ReadonlyArray<string> {
  const pairs = results
    .filter((result) => result.way === way && (site === ALL_SITES || result.site === site))
    .flatMap((result) => {
      const other = results.find((each) => each.way === first && isSameDay(each, result));
      return other === undefined ? [] : [{ other, result }];
    });
  const kinds = unique(pairs.flatMap(({ result }) => Object.keys(result.worthByKind)));
  const row = (of: string, differences: ReadonlyArray<number>): string => {
    const { pairs: count, mean, spread, verdict } = pairedDifference(differences);
    return `| ${way} | ${site} | ${of} | ${count} | ${mean.toFixed(3)} | ${spread.toFixed(3)} | ${verdict} |`;
  };
  const whole = row(
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
  return [whole, ...(site === ALL_SITES ? [] : byKind)];
}

function isSameDay(one: Play, other: Play): boolean {
  return one.site === other.site && one.day === other.day && one.seed === other.seed;
}

function unique(names: ReadonlyArray<string>): ReadonlyArray<string> {
  return [...new Set(names)];
}

/**
 * Draws the worth of each way by site: one mark a play.
 *
 * @param decision - What the ways differ in.
 * @param results - What has been played.
 * @returns SVG.
 */
export async function comparisonPlot(
  decision: string,
  results: ReadonlyArray<PlayResult>,
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
