#!/usr/bin/env node
/**
 * Entry point of the operators' command line.
 *
 * @module
 */
import { runCommand } from "../cli/mod.js";

const { exitCode, output, errors } = await runCommand({
  args: process.argv.slice(2),
  env: process.env,
});
process.stdout.write(output);
process.stderr.write(errors);
process.exitCode = exitCode;
