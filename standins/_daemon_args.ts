/**
 * Command-line arguments of the daemons of a local fleet.
 *
 * @module
 */

/** Address that all processes of the fleet listen on. */
export const LOOPBACK = "127.0.0.1";

/** Options of the entry and the pool of one box. */
export interface DaemonArgsOptions {
  readonly box: string;
  readonly dataCentre: string;
  readonly platformUrl: string;
  /** Peer addresses (`host:port`) of daemons to contact first. */
  readonly seeds: ReadonlyArray<string>;
  /** Time for which callers may cache the address list, in milliseconds. */
  readonly adviceKeepMs: number;
  readonly logLevel: string;
}

/**
 * Builds the arguments that an entry and a pool share; the operating system assigns the peer port.
 *
 * @param options - Options of the daemons.
 * @returns Command-line arguments.
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
