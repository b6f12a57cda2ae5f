/**
 * Logs this box's share of the slack of extra calls when it changes, and exposes it as a metric.
 *
 * @module
 */
import type { FleetView } from "../fleet/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Relative change of the share from which it is logged. */
const MIN_LOGGED_CHANGE = 0.05;

/** Options of {@link SlackReporter}. */
export interface SlackReporterOptions {
  readonly view: Pick<FleetView, "slackShare">;
  readonly telemetry: Pick<BoxTelemetry, "event" | "slackShare">;
}

/** Reports the share of the slack. */
export class SlackReporter {
  readonly #options: SlackReporterOptions;
  #loggedShare = 0;

  /**
   * @param options - Source of the share, and where it is reported.
   */
  constructor(options: SlackReporterOptions) {
    this.#options = options;
  }

  /** Updates the metric, and logs the share if it has changed since it was last logged. */
  report(): void {
    const { view, telemetry } = this.#options;
    const { share, ...inputs } = view.slackShare();
    telemetry.slackShare.set(share);
    if (Math.abs(share - this.#loggedShare) > this.#loggedShare * MIN_LOGGED_CHANGE) {
      const fields = { share, before: this.#loggedShare, ...inputs };
      this.#loggedShare = share;
      telemetry.event("info", "budget: share of extra calls changed", fields);
    }
  }
}
