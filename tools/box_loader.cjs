/**
 * Starts the bundled box daemon from V8's code cache, which the build writes, to shorten its start.
 * The build copies this file into `target/`, next to the bundle.
 *
 * @module
 */
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "box.cjs");
const CODE_CACHE = join(__dirname, "box.compiled");

/** Whether the build runs this file, to write the code cache when the process exits. */
const isBuild = process.env.RACKVALE_KEEP_COMPILED === "1";

if (isBuild) {
  // Compiles all functions, not only those called during the build.
  setFlagsFromString("--no-lazy");
}
/** The bundle in Node.js's CommonJS module wrapper. */
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(BUNDLE, "utf8")}\n})`;
const script = new Script(source, {
  filename: BUNDLE,
  ...(isBuild ? {} : { cachedData: readFileSync(CODE_CACHE) }),
});
if (script.cachedDataRejected === true) {
  // Built with another version or other flags of Node.js; the daemon only starts more slowly.
  process.stderr.write(
    "box: code cache rejected (other version or flags of Node.js), compiling from source\n",
  );
}
if (isBuild) {
  // Restores the daemon's flags: V8 accepts a code cache only with the same flags.
  setFlagsFromString("--lazy");
  process.on("exit", () => writeFileSync(CODE_CACHE, script.createCachedData()));
}
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, require, loaded, BUNDLE, __dirname);
