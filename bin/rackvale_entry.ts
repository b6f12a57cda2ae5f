#!/usr/bin/env node
/**
 * Entry point of the entry daemon.
 *
 * @module
 */
import { reportPorts } from "../daemon/mod.js";
import { ENTRY_SPECS, startEntry } from "../entry/entry_shell.js";
import { parseSettingsOrExit } from "../settings/mod.js";

const USAGE =
  "Usage: rackvale-entry --box NAME --data-centre NAME --address IP --peer-port PORT --caller-port PORT --platform URL";

const { settings } = parseSettingsOrExit(USAGE, ENTRY_SPECS);
const daemon = await startEntry(settings, { onEnd: () => process.exit(0) });
process.on("SIGTERM", () => daemon.stop());
process.on("SIGINT", () => daemon.stop());
const { peerPort, callerPort } = daemon;
reportPorts({ peerPort, callerPort });
