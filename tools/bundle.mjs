/**
 * Bundles the box daemon under `target/` and keeps its compiled code, so that it starts quickly.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/** Flags of Node that the daemon runs with; compiled code fits only the same ones. */
const NODE_FLAGS = process.argv.slice(2);

/** Stands in for the whole library, except within the file that picks its parts. */
const UNDICI_CLIENT = fileURLToPath(new URL("undici_client.cjs", import.meta.url));

/** Takes parts of libraries and of the program itself from other places than the sources name. */
const PLACES = {
  name: "places",
  setup({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: UNDICI_CLIENT }));
    // Read only where an operator has set policy programs.
    onResolve({ filter: /^\.\.\/policy\/mod\.js$/ }, ({ kind }) => {
      return kind === "dynamic-import" ? { path: "./policy.cjs", external: true } : undefined;
    });
  },
};

await build({
  entryPoints: { box: "bin/rackvale_box.ts", policy: "policy/mod.ts" },
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  keepNames: false,
  logLevel: "warning",
  plugins: [PLACES],
  // Compiled code that was kept can only `require`.
  supported: { "dynamic-import": false },
  // bunyan's optional parts are not installed.
  external: ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"],
});

copyFileSync("tools/box_loader.cjs", "target/rackvale_box.cjs");
execFileSync(process.execPath, [...NODE_FLAGS, "target/rackvale_box.cjs", "--help"], {
  env: { ...process.env, RACKVALE_KEEP_COMPILED: "1" },
  stdio: "ignore",
});
