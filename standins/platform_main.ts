#!/usr/bin/env node
import { startPlatformStandin } from "../platform/standin/mod.js";
/**
 * Entry point of the platform stand-in.
 *
 * @module
 */
import { parseSettingsOrExit } from "../settings/mod.js";

const { settings } = parseSettingsOrExit("Usage: platform_main --address IP --port PORT", {
  address: { kind: "address", help: "IP address to listen on", fallback: "127.0.0.1" },
  port: { kind: "port", help: "TCP port; 0 for any free port", fallback: "0" },
});
const { port } = await startPlatformStandin(settings);
process.stdout.write(`${JSON.stringify({ listening: { port } })}\n`);
