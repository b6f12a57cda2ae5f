/**
 * Arguments of the daemons of an installation on this machine.
 *
 * @module
 */

/** Address that everything listens on. */
export const LOOPBACK = "127.0.0.1";

/** What an entry and a pool of one box are started with. */
export interface DaemonArgsOptions {
  readonly box: string;
  readonly dataCentre: string;
  readonly platformUrl: string;
  /** Addresses of daemons to ask first. */
  readonly seeds: ReadonlyArray<string>;
  /** Time callers may keep advice, in milliseconds. */
  readonly adviceKeepMs: number;
  readonly logLevel: string;
}

/**
 * Lists the arguments that an entry and a pool share; ports are any that are free.
 *
 * @param options - What they are started with.
 * @returns The arguments.
 */
export function daemonArgs({
  box,
  dataCentre,
  platformUrl,
  seeds,
  adviceKeepMs,
  logLevel,
}: DaemonArgsOptions): ReadonlyArray<string> {
  const flags: Readonly<Record<string, string>> = {
    box,
    "data-centre": dataCentre,
    address: LOOPBACK,
    "peer-port": "0",
    platform: platformUrl,
    seeds: seeds.join(","),
    "advice-keep-ms": String(adviceKeepMs),
    "log-level": logLevel,
  };
  return Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]);
}
