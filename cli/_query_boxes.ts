/**
 * Requests the reports of all boxes.
 *
 * @module
 */
import { type BoxReport, REPORT_PATH } from "../box/box_report.js";
import { callEntry } from "./_entry_http.js";
import type { QueriedBox } from "./_fleet_summary.js";

/** Timeout for the report of one box, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_200;

/**
 * Requests the reports of one box and of all members that it lists; unreachable boxes delay no
 * others.
 *
 * @param url - Base URL of the peer port of any box.
 * @returns The boxes and their reports.
 */
export async function queryBoxes(url: string): Promise<ReadonlyArray<QueriedBox>> {
  const first = await readReport(url);
  const self = first.members.find(({ box }) => box === first.box);
  const others = first.members.filter(({ box, state }) => box !== first.box && state !== "dead");
  const queried = await Promise.all(
    others.map(async ({ box, dataCentre, address, peerPort }): Promise<QueriedBox> => {
      const report = await readReport(`http://${address}:${peerPort}`).catch(() => undefined);
      return { box, dataCentre, report };
    }),
  );
  return [{ box: first.box, dataCentre: self?.dataCentre ?? "", report: first }, ...queried];
}

async function readReport(url: string): Promise<BoxReport> {
  const call = { method: "GET", path: REPORT_PATH, timeoutMs: REPORT_TIMEOUT_MS } as const;
  const { body } = await callEntry(url, call);
  return body as BoxReport;
}
