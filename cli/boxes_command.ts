/**
 * The command that shows the state of each box of the users' platform, and the one that clears a
 * query.
 *
 * @module
 */
import { CLEAR_QUERY_PATH, type LeafReport } from "../box/box_report.js";
import type { ReportedCrashes } from "../quarantine/mod.js";
import { callEntry } from "./_entry_http.js";
import {
  differencesOf,
  evacuationsOf,
  flaggedQueriesOf,
  MIN_EXTRA_CALLS_LEFT,
  newestVersionOf,
  type QueriedBox,
  summariseFleet,
} from "./_fleet_summary.js";
import { queryBoxes } from "./_query_boxes.js";
import {
  BOXES_SPECS,
  type Command,
  type CommandContext,
  type CommandResult,
  EXIT_CODES,
} from "./command.js";

/** Maximum number of boxes that are listed individually by default. */
const MAX_LISTED_BOXES = 12;

async function boxes({ settings, positionals }: CommandContext): Promise<CommandResult> {
  const all = await queryBoxes(settings.entry);
  const chosen =
    positionals[0] === undefined ? all : all.filter(({ box }) => box === positionals[0]);
  if (chosen.length === 0) {
    return {
      exitCode: EXIT_CODES.failed,
      lines: [`No box "${positionals[0]}" is known`],
      data: [],
    };
  }
  const allAnswered = chosen.every(({ report }) => report !== undefined);
  const exitCode = allAnswered ? EXIT_CODES.ok : EXIT_CODES.failed;
  const withLeafs = positionals[0] !== undefined;
  const isSummary = chosen.length > MAX_LISTED_BOXES && !settings.all;
  const newest = newestVersionOf(chosen);
  const shown = isSummary
    ? chosen.filter((each) => differencesOf(each, newest).length > 0)
    : chosen;
  const summary = isSummary ? summariseFleet(chosen) : [];
  const lines = [
    ...summary,
    ...shown.flatMap((each) => describe(each, { withLeafs })),
    ...describeEvacuations(chosen),
    ...flaggedQueriesOf(chosen).map(describeQuery),
  ];
  return { exitCode, lines, data: chosen };
}

function describe(
  { box, report }: QueriedBox,
  { withLeafs }: { readonly withLeafs: boolean },
): ReadonlyArray<string> {
  if (report === undefined) {
    return [`${box} cannot be reached`];
  }
  const { configuration, extraCallsLeft, isWatcher, knownAgoMs, leafs, phase } = report;
  const cold = leafs.filter(({ standing }) => standing === "warming up").length;
  const warming = cold === 0 ? "" : `, ${cold} cold`;
  const inForce =
    configuration === undefined
      ? "no configuration"
      : `configuration ${configuration.version} from the ${configuration.source} for ${seconds(configuration.inForceForMs)}`;
  const updateSource = isWatcher ? "watches the store" : "receives updates from others";
  const ready = leafs.filter(({ standing }) => standing === "ready").length;
  const exhausted = Object.entries(extraCallsLeft).filter(
    ([, calls]) => calls < MIN_EXTRA_CALLS_LEFT,
  );
  const budgets =
    exhausted.length === 0
      ? ""
      : `, budgets exhausted: ${exhausted.map(([name]) => name).join(" ")}`;
  const head = `${box} is ${phase}, ${inForce}, ${updateSource} (${seconds(knownAgoMs)} ago), ${ready} of ${leafs.length} leafs ready${warming}${budgets}`;
  return withLeafs ? [head, ...leafs.map(describeLeaf)] : [head];
}

function describeEvacuations(queried: ReadonlyArray<QueriedBox>): ReadonlyArray<string> {
  return evacuationsOf(queried).map(({ activeCount, dataCentre, answeredCount }) => {
    return `${dataCentre} is evacuated: ${activeCount} of ${answeredCount} boxes send no calls there`;
  });
}

function describeLeaf(leaf: LeafReport): string {
  const { avoidedForMs, blockedBy, dataCentre, failuresInRow, leafId } = leaf;
  const { meanMs, openCalls, service, standing, version } = leaf;
  const avoided =
    avoidedForMs > 0 ? `, avoided for ${avoidedForMs} ms after ${failuresInRow} failures` : "";
  const versionText = version === undefined ? "" : `, version ${version}`;
  const blocked = blockedBy === undefined ? "" : `, not called: ${blockedBy}`;
  return `  ${service} ${leafId} in ${dataCentre}: ${standing}, mean ${meanMs} ms, ${openCalls} open${avoided}${versionText}${blocked}`;
}

function describeQuery(query: ReportedCrashes): string {
  const { changedAgoMs, fingerprint, lostLeafs, lostTrials, standing } = query;
  const crashes = `${lostLeafs} leafs crashed while running it, ${lostTrials} of them in trial calls`;
  return `query ${fingerprint} is ${standing}: ${crashes}, last ${seconds(changedAgoMs)} ago`;
}

async function clearQuery({ settings, positionals }: CommandContext): Promise<CommandResult> {
  const [fingerprint = ""] = positionals;
  const path = `${CLEAR_QUERY_PATH}${encodeURIComponent(fingerprint)}`;
  const { statusCode } = await callEntry(settings.entry, { method: "POST", path });
  const isLifted = statusCode === 200;
  const text = isLifted
    ? `Cleared query "${fingerprint}"; all boxes are notified`
    : `Cannot clear query "${fingerprint}": the box neither suspects nor blocks it`;
  const exitCode = isLifted ? EXIT_CODES.ok : EXIT_CODES.failed;
  return { exitCode, lines: [text], data: { fingerprint, isLifted } };
}

function seconds(timeMs: number): string {
  return `${(timeMs / 1_000).toFixed(1)} s`;
}

/** Commands by name. */
export const BOXES_COMMANDS: Readonly<Record<string, Command>> = {
  boxes: {
    usage: "[BOX]",
    help: "Summarises the boxes by data centre and lists those that are not healthy; --entry is the peer port of any box; with BOX lists its leafs too",
    positionalCount: 0,
    optionalPositionalCount: 1,
    specs: BOXES_SPECS,
    run: boxes,
  },
  lift: {
    usage: "FINGERPRINT",
    help: "Clears a crash-inducing query on all boxes; --entry is the peer port of any box; the fingerprint is in the log line of each of the query's requests",
    positionalCount: 1,
    specs: {},
    run: clearQuery,
  },
};
