/**
 * What a played day came to, read from the program's report.
 *
 * @module
 */

/** A played day. */
export interface PlayedDay {
  readonly worth: number;
  /** Whether a rule was broken. */
  readonly isBroken: boolean;
  /** Share of the credit that each kind of request earned. */
  readonly worthByKind: Readonly<Record<string, number>>;
  /** What the play is kept as; empty where the report does not name it. */
  readonly entry: string;
}

const WORTH = /^worth (-?\d+\.\d+) = /m;
const BROKEN = /\bBROKEN\b|^broken\b/m;
const ENTRY = /^snapshot (\w+)$/m;
const KINDS_HEAD = /^class\s+asked\b.*$/m;

/** Place of the share earned in a row of the table of kinds, counted from its name. */
const WORTH_COLUMN = 7;

/**
 * Reads a report.
 *
 * @param report - What the program printed.
 * @returns What the day came to, or nothing where it was not played to its end.
 */
export function readPlayedDay(report: string): PlayedDay | undefined {
  const worth = WORTH.exec(report)?.[1];
  if (worth === undefined) {
    return undefined;
  }
  return {
    worth: Number(worth),
    isBroken: BROKEN.test(report),
    worthByKind: readKinds(report),
    entry: ENTRY.exec(report)?.[1] ?? "",
  };
}

function readKinds(report: string): Readonly<Record<string, number>> {
  const head = KINDS_HEAD.exec(report);
  const rows = head === null ? [] : report.slice(head.index).split("\n").slice(1);
  const end = rows.findIndex((row) => row.trim() === "");
  const kinds = rows.slice(0, Math.max(0, end)).map((row) => row.trim().split(/\s+/));
  return Object.fromEntries(
    kinds.map((columns) => [columns[0] ?? "", Number(columns[WORTH_COLUMN])] as const),
  );
}
