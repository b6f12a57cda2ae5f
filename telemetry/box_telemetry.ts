/**
 * Log lines of a box, bounded in volume and never waited for, and its metrics.
 *
 * @module
 */
import bunyan from "bunyan";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import sonicBoom from "sonic-boom";
import { nowMs } from "../clock/mod.js";
import type { LogEffect } from "../core/mod.js";

/** Lines a second that are written for requests; more are counted and told once a second. */
export const MAX_REQUEST_LINES_PER_SECOND = 60;

/** Bytes that wait for a slow reader of the log; lines beyond are dropped. */
const MAX_WAITING_BYTES = 1_048_576;

/** Bytes gathered before they are written, as each write costs a system call. */
const WRITE_BYTES = 8_192;

/** Longest time that lines are gathered, in milliseconds. */
const FLUSH_EVERY_MS = 500;

/** Time for the last lines to be written when the process ends, in milliseconds. */
const LAST_WRITE_MS = 100;

/** Upper bounds of the latency histograms, in milliseconds; around the routes' aims of 80 to 800 ms. */
const LATENCY_BOUNDS_MS = [
  5, 10, 20, 40, 60, 80, 100, 150, 200, 300, 500, 800, 1_500, 3_000, 6_000,
];

/** Values of a log line besides its sentence. */
export type LogFields = LogEffect["fields"];

/** A counter by one label for the busiest paths. */
export interface LabeledCounter {
  /** Counts one more with a label. */
  add(label: string): void;
}

/** What a box has of the platform's store. */
export interface StoreStats {
  /** Calls to it since the start. */
  readonly calls: number;
  /** Age of its last answer in milliseconds, by kind of object that the box watches. */
  readonly answeredAgoMs: ReadonlyMap<string, number>;
}

/** What a box tells of itself. */
export interface BoxTelemetry {
  /** Writes a line, whatever the volume: starts, stops, what is lost and regained. */
  event(level: LogEffect["level"], sentence: string, fields?: LogFields): void;
  /** Writes the line of a request, unless too many were written in this second. */
  logRequest(sentence: string, fields: LogFields): void;
  readonly requests: Counter<"route" | "outcome">;
  readonly requestMs: Histogram<"route">;
  readonly attempts: LabeledCounter;
  readonly extraCalls: LabeledCounter;
  readonly relayedParts: Counter;
  readonly quarantineChanges: LabeledCounter;
  readonly storeAnswers: Counter<"kind" | "outcome">;
  /** Shows what this box has of the store now. */
  setStoreStats(store: StoreStats): void;
  readonly linesDropped: Counter;
  /** Gives all metrics as text. */
  metricsText(): Promise<string>;
  /** Writes out what was gathered; tells whether the log was read within a moment. */
  flush(): Promise<boolean>;
}

/**
 * Starts the telemetry of a box.
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
  const sink = new sonicBoom.SonicBoom({
    fd: logFd,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAX_WAITING_BYTES,
  });
  sink.on("drop", () => linesDropped.inc());
  sink.on("error", () => linesDropped.inc());
  const log = bunyan.createLogger({
    name: "rackvale-box",
    box,
    stream: flushedSoon(sink) as unknown as NodeJS.WritableStream,
  });
  let second = 0;
  let lines = 0;
  return {
    event: (level, sentence, fields = {}) => log[level](fields, sentence),
    logRequest: (sentence, fields) => {
      const nowSecond = Math.floor(nowMs() / 1_000);
      if (nowSecond !== second) {
        second = nowSecond;
        lines = 0;
      }
      lines += 1;
      if (lines > MAX_REQUEST_LINES_PER_SECOND) {
        linesDropped.inc();
      } else {
        log.info(fields, sentence);
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
    attempts: tally({
      name: "rackvale_leaf_attempts_total",
      help: "Calls to leafs that ended, by outcome",
      labelName: "outcome",
      registers,
    }),
    extraCalls: tally({
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
    quarantineChanges: tally({
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
    setStoreStats: storeGauges(registers),
    linesDropped,
    metricsText: () => registry.metrics(),
    flush: () => {
      return new Promise((resolve) => {
        // Not for long: a reader that has stopped must not hold up the end of the process.
        setTimeout(() => resolve(false), LAST_WRITE_MS);
        sink.flush((error) => resolve(error === undefined || error === null));
      });
    },
  };
}

/** Writes out what is gathered a while after a line has come; a box without news is not woken up. */
function flushedSoon(sink: sonicBoom.SonicBoom): { write(line: string): void } {
  let isFlushDue = false;
  function flush(): void {
    isFlushDue = false;
    sink.flush();
  }
  return {
    write: (line) => {
      sink.write(line);
      if (!isFlushDue) {
        isFlushDue = true;
        setTimeout(flush, FLUSH_EVERY_MS).unref();
      }
    },
  };
}

function storeGauges(registers: Array<Registry>): BoxTelemetry["setStoreStats"] {
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

interface TallyOptions {
  readonly name: string;
  readonly help: string;
  readonly labelName: string;
  readonly registers: Array<Registry>;
}

/** A counter for the busiest paths: labels are looked up only when metrics are read. */
function tally({ name, help, labelName, registers }: TallyOptions): LabeledCounter {
  const counts = new Map<string, number>();
  // Registers itself.
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
