/**
 * Settings that all daemons have.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { isIP } from "node:net";
import type bunyan from "bunyan";
import type { PeerAddress } from "../control/mod.js";
import type { Member, Role } from "../model/mod.js";
import type { SettingSpecs, Settings } from "../settings/mod.js";

/** Flags of every daemon. */
export const DAEMON_SPECS = {
  box: { kind: "text", help: "Name of the box in the platform's box list" },
  "data-centre": { kind: "text", help: "Name of the data centre the box stands in" },
  address: { kind: "address", help: "IP address that callers and other daemons reach" },
  "peer-port": { kind: "port", help: "TCP port for other daemons; 0 for any that is free" },
  platform: { kind: "url", help: "Where the platform's object API answers" },
  seeds: {
    kind: "text",
    help: "Daemons to ask first, as address:port with commas, for a start without the platform",
    fallback: "",
  },
  "advice-keep-ms": {
    kind: "number",
    help: "Time callers may keep the list of entries, in milliseconds",
    fallback: "5000",
    min: 0,
    max: 3_600_000,
  },
  "log-level": {
    kind: "choice",
    help: "Least level of log lines",
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

/** Settings of every daemon as read. */
export type DaemonSettings = Settings<typeof DAEMON_SPECS>;

/** What a daemon's own member entry needs besides its settings. */
export interface SelfOptions {
  readonly role: Role;
  readonly peerPort: number;
  readonly callerPort: number;
}

/**
 * Makes a daemon's account of itself, with an incarnation never used before.
 *
 * @param settings - Its settings.
 * @param options - Its role and the ports it listens on.
 * @returns The member.
 */
export function makeSelf(
  settings: DaemonSettings,
  { role, peerPort, callerPort }: SelfOptions,
): Member {
  const startedAtEpochMs = Date.now();
  return {
    memberId: `${settings.box}/${role}`,
    incarnation: `${startedAtEpochMs.toString(36)}-${randomBytes(8).toString("hex")}`,
    startedAtEpochMs,
    version: 1,
    // It is given work once it knows a configuration.
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
 * Reads the addresses of the daemons to ask first.
 *
 * @param text - Addresses with ports, with commas between.
 * @returns The addresses; what is not one is passed over.
 */
export function parseSeeds(text: string): ReadonlyArray<PeerAddress> {
  return text.split(",").flatMap((each) => {
    const cut = each.lastIndexOf(":");
    const address = each.slice(0, cut).trim();
    const peerPort = Number(each.slice(cut + 1));
    return isIP(address) > 0 && peerPort > 0 ? [{ address, peerPort }] : [];
  });
}

/**
 * Picks the telemetry settings of a daemon.
 *
 * @param name - Name of the program.
 * @param settings - Its settings.
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
