/**
 * The command that tells what is in force on each box of the users' platform, and what each believes.
 *
 * @module
 */
import { type BoxReport, type LeafReport, REPORT_PATH } from "../box/box_report.js";
import { callEntry } from "./_entry_http.js";
import { type Command, type CommandContext, type CommandEnd, EXIT_CODES } from "./command.js";

/** Calls that a budget must allow to go unmentioned. */
const LOW_BUDGET = 1;

/** A box that was asked. */
interface AskedBox {
  readonly box: string;
  readonly report: BoxReport | undefined;
}

async function boxes({ settings, words }: CommandContext): Promise<CommandEnd> {
  const first = await readReport(settings.entry);
  const others = first.members.filter(({ box, state }) => box !== first.box && state !== "dead");
  const asked = await Promise.all(
    others.map(async ({ box, address, peerPort }): Promise<AskedBox> => {
      const report = await readReport(`http://${address}:${peerPort}`).catch(() => undefined);
      return { box, report };
    }),
  );
  const all = [{ box: first.box, report: first }, ...asked];
  const chosen = words[0] === undefined ? all : all.filter(({ box }) => box === words[0]);
  const lines = chosen.flatMap((each) => describe(each, { withLeafs: words[0] !== undefined }));
  const isWell = chosen.length > 0 && chosen.every(({ report }) => report !== undefined);
  const exitCode = isWell ? EXIT_CODES.ok : EXIT_CODES.failed;
  return {
    exitCode,
    lines: chosen.length > 0 ? lines : [`No box "${words[0]}" is known`],
    data: chosen,
  };
}

async function readReport(url: string): Promise<BoxReport> {
  const { body } = await callEntry(url, { method: "GET", path: REPORT_PATH });
  return body as BoxReport;
}

function describe(
  { box, report }: AskedBox,
  { withLeafs }: { readonly withLeafs: boolean },
): ReadonlyArray<string> {
  if (report === undefined) {
    return [`${box} cannot be reached`];
  }
  const { configuration, extraCallsLeft, isWatcher, knownAgoMs, leafs, phase } = report;
  const inForce =
    configuration === undefined
      ? "no configuration"
      : `configuration ${configuration.version} from the ${configuration.source} for ${seconds(configuration.inForceForMs)}`;
  const way = isWatcher ? "watches the store" : "hears from others";
  const ready = leafs.filter(({ standing }) => standing === "ready").length;
  const low = Object.entries(extraCallsLeft).filter(([, calls]) => calls < LOW_BUDGET);
  const budgets = low.length === 0 ? "" : `, budgets spent: ${low.map(([name]) => name).join(" ")}`;
  const head = `${box} is ${phase}, ${inForce}, ${way} (${seconds(knownAgoMs)} ago), ${ready} of ${leafs.length} leafs ready${budgets}`;
  return withLeafs ? [head, ...leafs.map(describeLeaf)] : [head];
}

function describeLeaf(leaf: LeafReport): string {
  const { avoidedForMs, dataCentre, failuresInRow, leafId, meanMs, openCalls, service, standing } =
    leaf;
  const avoided =
    avoidedForMs > 0 ? `, avoided for ${avoidedForMs} ms after ${failuresInRow} failures` : "";
  return `  ${service} ${leafId} in ${dataCentre}: ${standing}, mean ${meanMs} ms, ${openCalls} open${avoided}`;
}

function seconds(timeMs: number): string {
  return `${(timeMs / 1_000).toFixed(1)} s`;
}

/** Commands by name. */
export const BOXES_COMMANDS: Readonly<Record<string, Command>> = {
  boxes: {
    usage: "[BOX]",
    help: "Shows the boxes of the users' platform, asked at one's port for peers; with BOX its leafs too",
    wordCount: 0,
    optionalWordCount: 1,
    specs: {},
    run: boxes,
  },
};
