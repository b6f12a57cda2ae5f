/**
 * Writes what the cores tell: log lines by bunyan, metrics by hot-shots.
 *
 * @module
 */
import bunyan from "bunyan";
import { StatsD } from "hot-shots";
import type { TelemetryEffect } from "../core/mod.js";

/** Settings of logs and metrics. */
export interface TelemetryOptions {
  /** Name of the program. */
  readonly name: string;
  readonly logLevel: bunyan.LogLevelString;
  /** Fields on each log line. */
  readonly fields: Readonly<Record<string, string>>;
  /** Address of a StatsD server; empty for none. */
  readonly statsdAddress: string;
  readonly statsdPort: number;
}

/** Takes effects that only tell about decisions. */
export interface Telemetry {
  /** Writes one effect. */
  run(effect: TelemetryEffect): void;
  /** Counts so far by metric and the values of its tags, for reports. */
  counts(): Readonly<Record<string, number>>;
  /** Flushes and closes. */
  close(): void;
}

/**
 * Starts logs and metrics.
 *
 * @param options - Their settings.
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
