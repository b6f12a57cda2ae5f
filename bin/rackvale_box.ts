/**
 * Entry point of the box daemon.
 *
 * @module
 */
import { Box, readPolicies } from "../box/mod.js";
import { readBoxSettings, SETTINGS_VARIABLE, watchBoxSettings } from "../platform/mod.js";
import { parseSettingsOrExit } from "../settings/mod.js";
import { createBoxTelemetry } from "../telemetry/mod.js";

const USAGE = "Usage: rackvale-box [--metrics-port PORT] [--metrics-path PATH] [--policies FILE]";

const SPECS = {
  "metrics-port": { kind: "port", help: "Port of the metrics; 0 for none", fallback: "0" },
  policies: {
    kind: "text",
    help: "JSON file with policy programs by route; empty for none",
    fallback: "",
  },
  "metrics-path": { kind: "text", help: "Path of the metrics", fallback: "/metrics" },
} as const;

async function main(): Promise<void> {
  const { settings: own } = parseSettingsOrExit(USAGE, SPECS);
  const settings = readBoxSettings(process.env[SETTINGS_VARIABLE]);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exit(2);
  }
  const policies = own.policies === "" ? undefined : await readPolicies(own.policies);
  if (policies?.isErr() === true) {
    process.stderr.write(`${policies.error}\n`);
    process.exit(2);
  }
  const telemetry = createBoxTelemetry(settings.value.box);
  const port = own["metrics-port"];
  const box = new Box({
    settings: settings.value,
    telemetry,
    policies: policies?.isOk() === true ? policies.value : undefined,
    metrics: port === 0 ? undefined : { port, path: own["metrics-path"] },
    onEnd: () => process.exit(0),
  });
  process.on("SIGTERM", () => box.stop());
  process.on("SIGINT", () => box.stop());
  const watch = watchBoxSettings(process.env[SETTINGS_VARIABLE] ?? "", {
    onChange: (changed) => box.reload(changed),
    // Invalid settings are ignored; a serving box keeps its current ones.
    onError: ({ message }) =>
      telemetry.event("error", "box: cannot reload settings", { reason: message }),
  });
  process.on("SIGHUP", () => watch.check());
  await box.start();
}

void main();
