#!/usr/bin/env node
/**
 * Entry point of the pool daemon.
 *
 * @module
 */
import { DAEMON_SPECS, reportPorts } from "../daemon/mod.js";
import { startPool } from "../pool/pool_shell.js";
import { parseSettingsOrExit } from "../settings/mod.js";

const USAGE =
  "Usage: rackvale-pool --box NAME --data-centre NAME --address IP --peer-port PORT --platform URL";

const { settings } = parseSettingsOrExit(USAGE, DAEMON_SPECS);
const daemon = await startPool(settings, { onEnd: () => process.exit(0) });
process.on("SIGTERM", () => daemon.stop());
process.on("SIGINT", () => daemon.stop());
reportPorts({ peerPort: daemon.peerPort });
