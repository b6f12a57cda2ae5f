/**
 * Commands that show the state of the system, and the one that drains a box.
 *
 * @module
 */
import type { DaemonReport } from "../daemon/mod.js";
import { callEntry, errorMessage } from "./_entry_http.js";
import { type Command, type CommandContext, type CommandResult, EXIT_CODES } from "./command.js";

/** Status of one daemon. */
export interface DaemonStatus {
  readonly memberId: string;
  readonly reached: boolean;
  readonly report?: DaemonReport & { readonly ownedLeafs?: ReadonlyArray<string> };
}

/**
 * Time since the last confirmation from which a configuration counts as degraded, in milliseconds.
 */
const DEGRADED_MS = 10_000;

/**
 * Reads the status of all daemons.
 *
 * @param entry - Base URL of an entry.
 * @returns The status of each daemon.
 */
export async function readStatus(entry: string): Promise<ReadonlyArray<DaemonStatus>> {
  const { body } = await callEntry(entry, { method: "GET", path: "/v1/status" });
  return (body as { readonly daemons: ReadonlyArray<DaemonStatus> }).daemons;
}

async function status({ settings }: CommandContext): Promise<CommandResult> {
  const daemons = await readStatus(settings.entry);
  const lines = daemons.map(describe);
  const allReached = daemons.every((daemon) => daemon.reached);
  return { exitCode: allReached ? EXIT_CODES.ok : EXIT_CODES.failed, lines, data: { daemons } };
}

function describe({ memberId, reached, report }: DaemonStatus): string {
  if (!reached || report === undefined) {
    return `${memberId} cannot be reached`;
  }
  const { phase, isolated, confirmedAgoMs, revisions, ownedLeafs } = report;
  const condition = isolated
    ? "isolated"
    : confirmedAgoMs > DEGRADED_MS
      ? `degraded, configuration confirmed ${Math.round(confirmedAgoMs / 1000)} s ago`
      : "healthy";
  const owned = ownedLeafs === undefined ? "" : `, owns ${ownedLeafs.length} leafs`;
  const inForce = Object.entries(revisions).map(([key, revision]) => `${key}@${revision}`);
  return `${memberId} is ${phase}, ${condition}${owned}, in force ${inForce.join(" ") || "nothing"}`;
}

async function entries({ settings }: CommandContext): Promise<CommandResult> {
  const { body } = await callEntry(settings.entry, { method: "GET", path: "/v1/entries" });
  const addressList = body as {
    readonly entries: ReadonlyArray<{
      readonly box: string;
      readonly dataCentre: string;
      readonly address: string;
      readonly port: number;
    }>;
    readonly keepForMs: number;
  };
  const lines = addressList.entries.map(({ box, dataCentre, address, port }) => {
    return `${address}:${port} ${box} in ${dataCentre}`;
  });
  return {
    exitCode: EXIT_CODES.ok,
    lines: [...lines, `cache for ${addressList.keepForMs} ms`],
    data: body,
  };
}

async function drain({ settings, positionals }: CommandContext): Promise<CommandResult> {
  const path = `/v1/drain/${encodeURIComponent(positionals[0] ?? "")}`;
  const { statusCode, body } = await callEntry(settings.entry, { method: "POST", path });
  if (statusCode !== 202) {
    return { exitCode: EXIT_CODES.failed, lines: [errorMessage(body)], data: body };
  }
  const { draining, unanswered } = body as {
    readonly draining: ReadonlyArray<string>;
    readonly unanswered: ReadonlyArray<string>;
  };
  const lines = [
    `draining ${draining.join(", ")}`,
    ...unanswered.map((memberId) => `${memberId} did not answer, drain it again`),
  ];
  return {
    exitCode: unanswered.length === 0 ? EXIT_CODES.ok : EXIT_CODES.failed,
    lines,
    data: body,
  };
}

/** Commands by name. */
export const STATUS_COMMANDS: Readonly<Record<string, Command>> = {
  status: {
    usage: "",
    help: "Shows the phase of each daemon, its objects in force and its leafs",
    positionalCount: 0,
    specs: {},
    run: status,
  },
  entries: {
    usage: "",
    help: "Shows the addresses that callers are to use",
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
