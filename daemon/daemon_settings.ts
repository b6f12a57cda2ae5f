/**
 * Settings common to all daemons.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { isIP } from "node:net";
import type bunyan from "bunyan";
import type { PeerAddress } from "../control/mod.js";
import type { Member, Role } from "../model/mod.js";
import type { SettingSpecs, Settings } from "../settings/mod.js";

/** Command-line flags common to all daemons. */
export const DAEMON_SPECS = {
  box: { kind: "text", help: "Name of the box in the platform's box list" },
  "data-centre": { kind: "text", help: "Name of the data centre that the box is in" },
  address: {
    kind: "address",
    help: "IP address at which callers and other daemons reach this daemon",
  },
  "peer-port": { kind: "port", help: "TCP port for other daemons; 0 for any free port" },
  platform: { kind: "url", help: "URL of the platform's object API" },
  seeds: {
    kind: "text",
    help: "Daemons to contact first, as comma-separated address:port, for a start without the platform",
    fallback: "",
  },
  "advice-keep-ms": {
    kind: "number",
    help: "Time for which callers may cache the list of entries, in milliseconds",
    fallback: "5000",
    min: 0,
    max: 3_600_000,
  },
  "log-level": {
    kind: "choice",
    help: "Minimum level of log lines",
    choices: ["trace", "debug", "info", "warn", "error", "fatal"],
    fallback: "info",
  },
  "statsd-address": {
    kind: "address",
    help: "IP address of a StatsD server for metrics; empty for none",
    fallback: "",
  },
  "statsd-port": { kind: "port", help: "UDP port of the StatsD server", fallback: "8125" },
} as const satisfies SettingSpecs;

/** Parsed settings common to all daemons. */
export type DaemonSettings = Settings<typeof DAEMON_SPECS>;

/** Options of {@linkcode createSelfMember}. */
export interface SelfOptions {
  readonly role: Role;
  readonly peerPort: number;
  readonly callerPort: number;
}

/**
 * Creates the member record of this daemon, with a new unique incarnation.
 *
 * @param settings - Settings of the daemon.
 * @param options - Role of the daemon and the ports it listens on.
 * @returns The member record.
 */
export function createSelfMember(
  settings: DaemonSettings,
  { role, peerPort, callerPort }: SelfOptions,
): Member {
  const startedAtEpochMs = Date.now();
  return {
    memberId: `${settings.box}/${role}`,
    incarnation: `${startedAtEpochMs.toString(36)}-${randomBytes(8).toString("hex")}`,
    startedAtEpochMs,
    version: 1,
    // Receives no calls until it has a configuration.
    state: "joining",
    role,
    box: settings.box,
    dataCentre: settings["data-centre"],
    address: settings.address,
    peerPort,
    callerPort,
  };
}

/**
 * Parses the addresses of the daemons to contact first. Invalid addresses are skipped.
 *
 * @param text - Comma-separated addresses with ports.
 * @returns The addresses.
 */
export function parseSeeds(text: string): ReadonlyArray<PeerAddress> {
  return text.split(",").flatMap((each) => {
    const separator = each.lastIndexOf(":");
    const address = each.slice(0, separator).trim();
    const peerPort = Number(each.slice(separator + 1));
    return isIP(address) > 0 && peerPort > 0 ? [{ address, peerPort }] : [];
  });
}

/**
 * Returns the telemetry options of a daemon.
 *
 * @param name - Name of the program.
 * @param settings - Settings of the daemon.
 * @returns Options for `startTelemetry`.
 */
export function telemetryOptions(name: string, settings: DaemonSettings) {
  return {
    name,
    logLevel: settings["log-level"] as bunyan.LogLevelString,
    fields: { box: settings.box, dataCentre: settings["data-centre"] },
    statsdAddress: settings["statsd-address"],
    statsdPort: settings["statsd-port"],
  };
}
