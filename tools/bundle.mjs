/**
 * Bundles the box daemon into `target/` and writes its V8 code cache.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/** Node.js flags of the daemon; V8 accepts a code cache only with the same flags. */
const NODE_FLAGS = process.argv.slice(2);

/** Replaces the complete library, except in the file that selects its modules. */
const UNDICI_CLIENT = fileURLToPath(new URL("undici_client.cjs", import.meta.url));

/** esbuild plugin that redirects imports of undici and of the policy engine. */
const REDIRECTS = {
  name: "redirects",
  setup({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: UNDICI_CLIENT }));
    // Loaded only if an operator has configured policy programs.
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
  plugins: [REDIRECTS],
  // Code from the cache supports `require` only.
  supported: { "dynamic-import": false },
  // bunyan's optional dependencies are not installed.
  external: ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"],
});

copyFileSync("tools/box_loader.cjs", "target/rackvale_box.cjs");
execFileSync(process.execPath, [...NODE_FLAGS, "target/rackvale_box.cjs", "--help"], {
  env: { ...process.env, RACKVALE_KEEP_COMPILED: "1" },
  stdio: "ignore",
});
