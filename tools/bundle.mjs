/**
 * Bundles the box daemon to one file under `target/`, so that it starts quickly.
 *
 * @module
 */
import { build } from "esbuild";

await build({
  entryPoints: ["bin/rackvale_box.ts"],
  outfile: "target/rackvale_box.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  keepNames: false,
  logLevel: "warning",
  // bunyan's optional parts are not installed.
  external: ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"],
  // Libraries in CommonJS ask for `require`.
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
