/**
 * Logs and metrics of a box. Log writes are rate-limited and never block.
 *
 * @module
 */
import bunyan from "bunyan";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { nowMs } from "../clock/mod.js";
import type { LogEffect } from "../core/mod.js";
import { createLogSink } from "./log_sink.js";
import { createRolloutMetrics, type RolloutMetrics } from "./rollout_metrics.js";

/** Maximum number of request log lines per second; further ones are dropped and counted. */
export const MAX_REQUEST_LINES_PER_SECOND = 60;

/** Upper bounds of the latency histogram's buckets, in milliseconds. */
const LATENCY_BOUNDS_MS = [
  5, 10, 20, 40, 60, 80, 100, 150, 200, 300, 500, 800, 1_500, 3_000, 6_000,
];

/** Fields of a log line in addition to its message. */
export type LogFields = LogEffect["fields"];

/** A counter with one label, cheap enough for hot paths. */
export interface LabeledCounter {
  /** Increments the count of a label. */
  add(label: string): void;
}

/** Statistics of a box's access to the platform's store. */
export interface StoreStats {
  /** Number of calls since the process started. */
  readonly calls: number;
  /** Time since the last response in milliseconds, by kind of watched object. */
  readonly answeredAgoMs: ReadonlyMap<string, number>;
}

/** Logs and metrics of a box. */
export interface BoxTelemetry {
  /** Writes a log line without rate limit, such as for starts, stops and state changes. */
  event(level: LogEffect["level"], message: string, fields?: LogFields): void;
  /** Writes the log line of a request, unless the limit of the current second is exceeded. */
  logRequest(message: string, fields: LogFields): void;
  readonly requests: Counter<"route" | "outcome">;
  readonly requestMs: Histogram<"route">;
  readonly attempts: LabeledCounter;
  readonly extraCalls: LabeledCounter;
  readonly relayedParts: Counter;
  readonly missingParts: Counter<"cause">;
  readonly relayDelayMs: Histogram;
  readonly quarantineChanges: LabeledCounter;
  readonly storeAnswers: Counter<"kind" | "outcome">;
  readonly slackShare: Gauge;
  readonly rollouts: RolloutMetrics;
  /** Updates the metrics of the store. */
  setStoreStats(store: StoreStats): void;
  readonly linesDropped: Counter;
  /** Returns all metrics in the Prometheus text format. */
  metricsText(): Promise<string>;
  /** Writes buffered lines; resolves to `false` if the log reader did not accept them in time. */
  flush(): Promise<boolean>;
}

/**
 * Creates the telemetry of a box.
 *
 * @param box - Name of the box.
 * @param options - File descriptor of the log; standard output by default.
 * @returns The telemetry.
 */
export function createBoxTelemetry(
  box: string,
  { logFd = 1 }: { readonly logFd?: number } = {},
): BoxTelemetry {
  const registry = new Registry();
  const registers = [registry];
  const linesDropped = new Counter({
    name: "rackvale_log_lines_dropped_total",
    help: "Log lines not written, as too many came or the reader was slow",
    registers,
  });
  const sink = createLogSink({ fd: logFd, onDrop: () => linesDropped.inc() });
  const log = bunyan.createLogger({
    name: "rackvale-box",
    box,
    stream: sink.stream,
  });
  let second = 0;
  let lines = 0;
  return {
    event: (level, message, fields = {}) => log[level](fields, message),
    logRequest: (message, fields) => {
      const nowSecond = Math.floor(nowMs() / 1_000);
      if (nowSecond !== second) {
        second = nowSecond;
        lines = 0;
      }
      lines += 1;
      if (lines > MAX_REQUEST_LINES_PER_SECOND) {
        linesDropped.inc();
      } else {
        log.info(fields, message);
      }
    },
    requests: new Counter({
      name: "rackvale_requests_total",
      help: "Requests answered, by route and outcome",
      labelNames: ["route", "outcome"],
      registers,
    }),
    requestMs: new Histogram({
      name: "rackvale_request_ms",
      help: "Time from arrival to answer in milliseconds, by route",
      labelNames: ["route"],
      buckets: LATENCY_BOUNDS_MS,
      registers,
    }),
    attempts: createLabeledCounter({
      name: "rackvale_leaf_attempts_total",
      help: "Calls to leafs that ended, by outcome",
      labelName: "outcome",
      registers,
    }),
    extraCalls: createLabeledCounter({
      name: "rackvale_extra_calls_total",
      help: "Calls beyond the first of a shard, by kind",
      labelName: "kind",
      registers,
    }),
    relayedParts: new Counter({
      name: "rackvale_relayed_parts_total",
      help: "Parts that this box got and merged for boxes of other regions",
      registers,
    }),
    missingParts: new Counter({
      name: "rackvale_missing_parts_total",
      help: "Parts that merged answers lacked, by cause",
      labelNames: ["cause"],
      registers,
    }),
    relayDelayMs: new Histogram({
      name: "rackvale_relay_delay_ms",
      help: "Time for which requests of other boxes were under way beyond the usual, in milliseconds",
      buckets: LATENCY_BOUNDS_MS,
      registers,
    }),
    quarantineChanges: createLabeledCounter({
      name: "rackvale_quarantine_changes_total",
      help: "Queries under which leafs were lost, by what is believed of them from then on",
      labelName: "standing",
      registers,
    }),
    storeAnswers: new Counter({
      name: "rackvale_store_answers_total",
      help: "Lists and watches of the platform's store that ended, by kind of object and outcome",
      labelNames: ["kind", "outcome"],
      registers,
    }),
    slackShare: new Gauge({
      name: "rackvale_extra_call_slack_share",
      help: "Share of the slack of extra calls over all boxes that this box may use, 0 to 1",
      registers,
    }),
    rollouts: createRolloutMetrics(registers),
    setStoreStats: createStoreGauges(registers),
    linesDropped,
    metricsText: () => registry.metrics(),
    flush: () => sink.flush(),
  };
}

function createStoreGauges(registers: Array<Registry>): BoxTelemetry["setStoreStats"] {
  const storeCalls = new Gauge({
    name: "rackvale_store_calls",
    help: "Calls to the platform's store since the start",
    registers,
  });
  const storeAnsweredAgoMs = new Gauge({
    name: "rackvale_store_answered_ago_ms",
    help: "Age of the store's last answer in milliseconds, by kind of object that this box watches",
    labelNames: ["kind"],
    registers,
  });
  return ({ calls, answeredAgoMs }) => {
    storeCalls.set(calls);
    storeAnsweredAgoMs.reset();
    for (const [kind, ageMs] of answeredAgoMs) {
      storeAnsweredAgoMs.set({ kind }, ageMs);
    }
  };
}

interface LabeledCounterOptions {
  readonly name: string;
  readonly help: string;
  readonly labelName: string;
  readonly registers: Array<Registry>;
}

/** Creates a counter for hot paths; the metric is only updated when metrics are read. */
function createLabeledCounter({
  name,
  help,
  labelName,
  registers,
}: LabeledCounterOptions): LabeledCounter {
  const counts = new Map<string, number>();
  // The constructor adds the counter to the registers.
  new Counter({
    name,
    help,
    labelNames: [labelName],
    registers,
    collect() {
      this.reset();
      for (const [label, count] of counts) {
        this.inc({ [labelName]: label }, count);
      }
    },
  });
  return {
    add: (label) => {
      counts.set(label, (counts.get(label) ?? 0) + 1);
    },
  };
}
