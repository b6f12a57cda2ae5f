/**
 * Sends the reports of this box on orders of rollouts to the boxes that coordinate these.
 *
 * @module
 */
import type { RolloutReport } from "../model/mod.js";
import type { RolloutLink } from "./_rollout_ports.js";

/** Interval at which changed reports are sent, in milliseconds. */
const CHANGED_INTERVAL_MS = 250;

/** Interval at which all reports are sent, in milliseconds; this makes up for lost datagrams. */
const ALL_INTERVAL_MS = 1_000;

/** Decides which reports are due and sends them. */
export class ReportSender {
  readonly #link: RolloutLink;
  /** Last report that was sent on each service, and its JSON text. */
  readonly #sent = new Map<string, { readonly report: RolloutReport; readonly text: string }>();
  #changedAtMs = -Infinity;
  #allAtMs = -Infinity;

  /**
   * @param link - Link to the other boxes.
   */
  constructor(link: RolloutLink) {
    this.#link = link;
  }

  /**
   * Sends what is due. Verdicts and confirmations are due at once.
   *
   * @param reports - All reports of running orders.
   * @param boxes - The boxes that coordinate, without this one.
   * @param nowMs - Current time, in milliseconds.
   */
  send(reports: ReadonlyArray<RolloutReport>, boxes: ReadonlyArray<string>, nowMs: number): void {
    const isAllDue = nowMs >= this.#allAtMs + ALL_INTERVAL_MS;
    const isChangedDue = nowMs >= this.#changedAtMs + CHANGED_INTERVAL_MS;
    const due = reports.filter((report) => {
      return isAllDue || this.#isUrgent(report) || (isChangedDue && this.#isChanged(report));
    });
    this.#allAtMs = isAllDue ? nowMs : this.#allAtMs;
    this.#changedAtMs = isChangedDue ? nowMs : this.#changedAtMs;
    for (const report of due) {
      this.#sent.set(report.service, { report, text: JSON.stringify(report) });
    }
    if (due.length > 0 && boxes.length > 0) {
      this.#link.send(boxes, due);
    }
  }

  /** Whether a report contains a confirmation or a verdict that has not been sent. */
  #isUrgent({ confirmedAttempt, isBad, service }: RolloutReport): boolean {
    const sent = this.#sent.get(service)?.report;
    return confirmedAttempt !== (sent?.confirmedAttempt ?? 0) || isBad !== (sent?.isBad ?? false);
  }

  #isChanged(report: RolloutReport): boolean {
    return this.#sent.get(report.service)?.text !== JSON.stringify(report);
  }
}
