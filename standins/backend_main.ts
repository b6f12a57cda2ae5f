#!/usr/bin/env node
/**
 * Entry point of the backend server stand-in.
 *
 * @module
 */
import { parseSettingsOrExit } from "../settings/mod.js";
import { startBackendStandin } from "./backend_standin.js";

const { settings } = parseSettingsOrExit("Usage: backend_main --address IP --port PORT", {
  address: { kind: "address", help: "IP address to listen on", fallback: "127.0.0.1" },
  port: { kind: "port", help: "TCP port of the admin API; 0 for any free port", fallback: "0" },
});
const { port } = await startBackendStandin(settings);
process.stdout.write(`${JSON.stringify({ listening: { port } })}\n`);
