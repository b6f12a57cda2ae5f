/**
 * Commands that tell how the system is, and the one that drains a box.
 *
 * @module
 */
import type { DaemonReport } from "../daemon/mod.js";
import { callEntry, errorMessage } from "./_entry_http.js";
import { type Command, type CommandContext, type CommandResult, EXIT_CODES } from "./command.js";

/** One daemon as the status names it. */
export interface DaemonStatus {
  readonly memberId: string;
  readonly reached: boolean;
  readonly report?: DaemonReport & { readonly ownedLeafs?: ReadonlyArray<string> };
}

/** Time since its confirmation from which a configuration counts as degraded, in milliseconds. */
const DEGRADED_MS = 10_000;

/**
 * Reads how each daemon is.
 *
 * @param entry - Base URL of an entry.
 * @returns The daemons.
 */
export async function readStatus(entry: string): Promise<ReadonlyArray<DaemonStatus>> {
  const { body } = await callEntry(entry, { method: "GET", path: "/v1/status" });
  return (body as { readonly daemons: ReadonlyArray<DaemonStatus> }).daemons;
}

async function status({ settings }: CommandContext): Promise<CommandResult> {
  const daemons = await readStatus(settings.entry);
  const lines = daemons.map(describe);
  const isWell = daemons.every((daemon) => daemon.reached);
  return { exitCode: isWell ? EXIT_CODES.ok : EXIT_CODES.failed, lines, data: { daemons } };
}

function describe({ memberId, reached, report }: DaemonStatus): string {
  if (!reached || report === undefined) {
    return `${memberId} cannot be reached`;
  }
  const { phase, isolated, confirmedAgoMs, revisions, ownedLeafs } = report;
  const condition = isolated
    ? "cut off"
    : confirmedAgoMs > DEGRADED_MS
      ? `degraded, configuration confirmed ${Math.round(confirmedAgoMs / 1000)} s ago`
      : "well";
  const owned = ownedLeafs === undefined ? "" : `, owns ${ownedLeafs.length} leafs`;
  const inForce = Object.entries(revisions).map(([key, revision]) => `${key}@${revision}`);
  return `${memberId} is ${phase}, ${condition}${owned}, in force ${inForce.join(" ") || "nothing"}`;
}

async function entries({ settings }: CommandContext): Promise<CommandResult> {
  const { body } = await callEntry(settings.entry, { method: "GET", path: "/v1/entries" });
  const advice = body as {
    readonly entries: ReadonlyArray<{
      readonly box: string;
      readonly dataCentre: string;
      readonly address: string;
      readonly port: number;
    }>;
    readonly keepForMs: number;
  };
  const lines = advice.entries.map(({ box, dataCentre, address, port }) => {
    return `${address}:${port} ${box} in ${dataCentre}`;
  });
  return {
    exitCode: EXIT_CODES.ok,
    lines: [...lines, `keep for ${advice.keepForMs} ms`],
    data: body,
  };
}

async function drain({ settings, positionals: words }: CommandContext): Promise<CommandResult> {
  const path = `/v1/drain/${encodeURIComponent(words[0] ?? "")}`;
  const { statusCode, body } = await callEntry(settings.entry, { method: "POST", path });
  if (statusCode !== 202) {
    return { exitCode: EXIT_CODES.failed, lines: [errorMessage(body)], data: body };
  }
  const { draining } = body as { readonly draining: ReadonlyArray<string> };
  return { exitCode: EXIT_CODES.ok, lines: [`draining ${draining.join(", ")}`], data: body };
}

/** Commands by name. */
export const STATUS_COMMANDS: Readonly<Record<string, Command>> = {
  status: {
    usage: "",
    help: "Shows each daemon: its phase, what is in force on it, what it owns",
    positionalCount: 0,
    specs: {},
    run: status,
  },
  entries: {
    usage: "",
    help: "Shows the addresses that callers are told to use",
    positionalCount: 0,
    specs: {},
    run: entries,
  },
  drain: {
    usage: "BOX",
    help: "Begins the planned stop of a box's daemons",
    positionalCount: 1,
    specs: {},
    run: drain,
  },
};
