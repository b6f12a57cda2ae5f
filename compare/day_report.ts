/**
 * Parses the report that the program prints after a simulated day.
 *
 * @module
 */

/** Results of a simulated day. */
export interface DayReport {
  readonly worth: number;
  /** Whether a rule was violated. */
  readonly isBroken: boolean;
  /** Share of the possible credit that each kind of request earned. */
  readonly worthByKind: Readonly<Record<string, number>>;
  /** ID of the stored run; empty if the report does not contain it. */
  readonly entry: string;
}

const WORTH = /^worth (-?\d+\.\d+) = /m;
const BROKEN = /\bBROKEN\b|^broken\b/m;
const ENTRY = /^snapshot (\w+)$/m;
const KINDS_HEADER = /^class\s+asked\b.*$/m;

/** Index of the column of earned credit in the table of request kinds. */
const WORTH_COLUMN = 7;

/**
 * Parses a report.
 *
 * @param report - Output of the program.
 * @returns Results of the day, or `undefined` if the run did not finish.
 */
export function parseDayReport(report: string): DayReport | undefined {
  const worth = WORTH.exec(report)?.[1];
  if (worth === undefined) {
    return undefined;
  }
  return {
    worth: Number(worth),
    isBroken: BROKEN.test(report),
    worthByKind: parseWorthByKind(report),
    entry: ENTRY.exec(report)?.[1] ?? "",
  };
}

function parseWorthByKind(report: string): Readonly<Record<string, number>> {
  const header = KINDS_HEADER.exec(report);
  const rows = header === null ? [] : report.slice(header.index).split("\n").slice(1);
  const end = rows.findIndex((row) => row.trim() === "");
  const kinds = rows.slice(0, Math.max(0, end)).map((row) => row.trim().split(/\s+/));
  return Object.fromEntries(
    kinds.map((columns) => [columns[0] ?? "", Number(columns[WORTH_COLUMN])] as const),
  );
}
