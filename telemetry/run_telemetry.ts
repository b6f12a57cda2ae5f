/**
 * Writes the telemetry effects of the state machines: log lines with bunyan, metrics with
 * hot-shots.
 *
 * @module
 */
import bunyan from "bunyan";
import { StatsD } from "hot-shots";
import type { TelemetryEffect } from "../core/mod.js";

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

/** Writer of logs and metrics. */
export interface Telemetry {
  /** Writes the log line or metric of an effect. */
  run(effect: TelemetryEffect): void;
  /** Returns the counts so far by metric and tag values, for reports. */
  counts(): Readonly<Record<string, number>>;
  /** Flushes and closes the connection to the StatsD server. */
  close(): void;
}

/**
 * Starts logs and metrics.
 *
 * @param options - Names, log level and StatsD server.
 * @returns The writer.
 */
export function startTelemetry(options: TelemetryOptions): Telemetry {
  const { name, logLevel, fields, statsdAddress, statsdPort } = options;
  const log = bunyan.createLogger({ name, level: logLevel, ...fields });
  const metrics = new StatsD({
    host: statsdAddress === "" ? "127.0.0.1" : statsdAddress,
    port: statsdPort,
    prefix: "rackvale.",
    mock: statsdAddress === "",
    globalTags: { ...fields },
    errorHandler: () => undefined,
  });
  const counts = new Map<string, number>();
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
    close: () => metrics.close(),
  };
}

type Writers = {
  readonly [K in TelemetryEffect["kind"]]: (
    effect: Extract<TelemetryEffect, { readonly kind: K }>,
  ) => void;
};
