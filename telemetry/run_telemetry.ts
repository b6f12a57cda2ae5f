/**
 * Writes the telemetry effects of the state machines: log lines with bunyan, metrics with
 * hot-shots.
 *
 * @module
 */
import bunyan from "bunyan";
import { StatsD } from "hot-shots";
import type { TelemetryEffect } from "../core/mod.js";
import { createLogSink } from "./log_sink.js";

/** Options of {@link startTelemetry}. */
export interface TelemetryOptions {
  /** Name of the program. */
  readonly name: string;
  readonly logLevel: bunyan.LogLevelString;
  /** Fields of each log line. */
  readonly fields: Readonly<Record<string, string>>;
  /** Address of a StatsD server; empty for none. */
  readonly statsdAddress: string;
  readonly statsdPort: number;
}

/** Count of log lines not written, as the reader was slow or gone. */
const LINES_DROPPED = "log.lines_dropped";

/** File descriptor of the log: standard output. */
const LOG_FD = 1;

/** Writer of logs and metrics. */
export interface Telemetry {
  /** Writes the log line or metric of an effect. */
  run(effect: TelemetryEffect): void;
  /** Returns the counts so far by metric and tag values, for reports. */
  counts(): Readonly<Record<string, number>>;
  /** Writes buffered log lines, as far as they are read, and closes the StatsD connection. */
  close(): Promise<void>;
}

/**
 * Starts logs and metrics.
 *
 * @param options - Names, log level and StatsD server.
 * @returns The writer.
 */
export function startTelemetry(options: TelemetryOptions): Telemetry {
  const { name, logLevel, fields, statsdAddress, statsdPort } = options;
  const counts = new Map<string, number>();
  const sink = createLogSink({
    fd: LOG_FD,
    onDrop: () => counts.set(LINES_DROPPED, (counts.get(LINES_DROPPED) ?? 0) + 1),
  });
  const log = bunyan.createLogger({ name, level: logLevel, ...fields, stream: sink.stream });
  const metrics = new StatsD({
    host: statsdAddress === "" ? "127.0.0.1" : statsdAddress,
    port: statsdPort,
    prefix: "rackvale.",
    mock: statsdAddress === "",
    globalTags: { ...fields },
    errorHandler: () => undefined,
  });
  const writers: Writers = {
    log: ({ level, component: part, message, fields: values }) => {
      log[level]({ ...values }, `${part}: ${message}`);
    },
    count: ({ metric, by, tags }) => {
      const name = [metric, ...Object.values(tags)].join(" ");
      counts.set(name, (counts.get(name) ?? 0) + by);
      if (statsdAddress !== "") {
        metrics.increment(metric, by, { ...tags });
      }
    },
    timing: ({ metric, valueMs, tags }) => {
      if (statsdAddress !== "") {
        metrics.timing(metric, valueMs, { ...tags });
      }
    },
  };
  return {
    run: (effect) => (writers[effect.kind] as (effect: TelemetryEffect) => void)(effect),
    counts: () => Object.fromEntries(counts),
    close: async () => {
      await sink.flush();
      metrics.close();
    },
  };
}

type Writers = {
  readonly [K in TelemetryEffect["kind"]]: (
    effect: Extract<TelemetryEffect, { readonly kind: K }>,
  ) => void;
};
