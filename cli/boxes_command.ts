/**
 * The command that tells what is in force on each box of the users' platform, and what each believes.
 *
 * @module
 */
import {
  type BoxReport,
  CLEAR_QUERY_PATH,
  type LeafReport,
  REPORT_PATH,
} from "../box/box_report.js";
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
import {
  BOXES_SPECS,
  type Command,
  type CommandContext,
  type CommandResult,
  EXIT_CODES,
} from "./command.js";

/** Time that a box has to tell of itself, in milliseconds; with many boxes some will not answer. */
const REPORT_MS = 1_200;

/** Boxes up to which each has a line of its own. */
const FEW_BOXES = 12;

async function boxes({ settings, positionals: words }: CommandContext): Promise<CommandResult> {
  const all = await askAll(settings.entry);
  const chosen = words[0] === undefined ? all : all.filter(({ box }) => box === words[0]);
  if (chosen.length === 0) {
    return { exitCode: EXIT_CODES.failed, lines: [`No box "${words[0]}" is known`], data: [] };
  }
  const isWell = chosen.every(({ report }) => report !== undefined);
  const exitCode = isWell ? EXIT_CODES.ok : EXIT_CODES.failed;
  const withLeafs = words[0] !== undefined;
  const isSummary = chosen.length > FEW_BOXES && !settings.all;
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

/** Asks one box, and through its list all others; one that does not answer holds up none of them. */
async function askAll(url: string): Promise<ReadonlyArray<QueriedBox>> {
  const first = await readReport(url);
  const self = first.members.find(({ box }) => box === first.box);
  const others = first.members.filter(({ box, state }) => box !== first.box && state !== "dead");
  const asked = await Promise.all(
    others.map(async ({ box, dataCentre, address, peerPort }): Promise<QueriedBox> => {
      const report = await readReport(`http://${address}:${peerPort}`).catch(() => undefined);
      return { box, dataCentre, report };
    }),
  );
  return [{ box: first.box, dataCentre: self?.dataCentre ?? "", report: first }, ...asked];
}

async function readReport(url: string): Promise<BoxReport> {
  const call = { method: "GET", path: REPORT_PATH, timeoutMs: REPORT_MS } as const;
  const { body } = await callEntry(url, call);
  return body as BoxReport;
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
  const way = isWatcher ? "watches the store" : "hears from others";
  const ready = leafs.filter(({ standing }) => standing === "ready").length;
  const low = Object.entries(extraCallsLeft).filter(([, calls]) => calls < MIN_EXTRA_CALLS_LEFT);
  const budgets = low.length === 0 ? "" : `, budgets spent: ${low.map(([name]) => name).join(" ")}`;
  const head = `${box} is ${phase}, ${inForce}, ${way} (${seconds(knownAgoMs)} ago), ${ready} of ${leafs.length} leafs ready${warming}${budgets}`;
  return withLeafs ? [head, ...leafs.map(describeLeaf)] : [head];
}

function describeEvacuations(asked: ReadonlyArray<QueriedBox>): ReadonlyArray<string> {
  return evacuationsOf(asked).map(({ boxes: count, dataCentre, of }) => {
    return `${dataCentre} is evacuated: ${count} of ${of} boxes send nothing there`;
  });
}

function describeLeaf(leaf: LeafReport): string {
  const { avoidedForMs, dataCentre, failuresInRow, leafId, meanMs, openCalls, service, standing } =
    leaf;
  const avoided =
    avoidedForMs > 0 ? `, avoided for ${avoidedForMs} ms after ${failuresInRow} failures` : "";
  return `  ${service} ${leafId} in ${dataCentre}: ${standing}, mean ${meanMs} ms, ${openCalls} open${avoided}`;
}

function describeQuery(query: ReportedCrashes): string {
  const { changedAgoMs, fingerprint, lostLeafs, lostTrials, standing } = query;
  const lost = `${lostLeafs} leafs lost under it, ${lostTrials} of them asked alone`;
  return `query ${fingerprint} is ${standing}: ${lost}, last ${seconds(changedAgoMs)} ago`;
}

async function lift({ settings, positionals: words }: CommandContext): Promise<CommandResult> {
  const [fingerprint = ""] = words;
  const path = `${CLEAR_QUERY_PATH}${encodeURIComponent(fingerprint)}`;
  const { statusCode } = await callEntry(settings.entry, { method: "POST", path });
  const isLifted = statusCode === 200;
  const text = isLifted
    ? `Cleared query "${fingerprint}"; all boxes are told`
    : `Cannot clear query "${fingerprint}": the box neither suspects nor holds it`;
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
    help: "Sums up the boxes of the users' platform by data centre and shows those that differ, asked at one's port for peers; with BOX its leafs too",
    positionalCount: 0,
    optionalPositionalCount: 1,
    specs: BOXES_SPECS,
    run: boxes,
  },
  lift: {
    usage: "FINGERPRINT",
    help: "Clears a query under which leafs were lost, on all boxes, asked at one's port for peers; its fingerprint stands in the log line of each of its requests",
    positionalCount: 1,
    specs: {},
    run: lift,
  },
};
