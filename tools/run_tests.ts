/**
 * Runs the tests with tap and prints `N passed, N failed` as the last line. Failures listed in
 * KNOWN-RED.txt are printed but not counted as failed.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { Parser } from "tap-parser";

/** Timeout of each test file, in seconds. */
const FILE_TIMEOUT_S = 400;

interface Tally {
  passed: number;
  readonly failures: Array<string>;
}

function readKnownFailures(): ReadonlyArray<string> {
  try {
    return readFileSync("KNOWN-RED.txt", "utf8")
      .split("\n")
      .filter((line) => line.trim() !== "" && !line.startsWith("#"))
      .map((line) => line.split("|")[0]?.trim() ?? "");
  } catch {
    return [];
  }
}

/** Counts the top-level tests of each file. */
function countTests(parser: Parser, tally: Tally): void {
  parser.on("child", (child: Parser) => countTests(child, tally));
  parser.on("assert", (result) => {
    const isTest = result.name !== "" && parser.level === 1;
    if (!isTest) {
      return;
    }
    if (result.ok) {
      tally.passed += 1;
    } else {
      tally.failures.push(result.name);
    }
  });
  parser.on("bailout", (reason: string) => tally.failures.push(`bailed out: ${reason}`));
}

async function runTap(files: ReadonlyArray<string>): Promise<Tally & { readonly code: number }> {
  const tally: Tally = { passed: 0, failures: [] };
  const args = ["tap", "--disable-coverage", "--reporter=tap", "--jobs=4"];
  const child = spawn("npx", [...args, `--timeout=${FILE_TIMEOUT_S}`, ...files], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const parser = new Parser();
  countTests(parser, tally);
  child.stdout.on("data", (chunk: Buffer) => process.stdout.write(chunk));
  child.stdout.pipe(parser);
  const code = await new Promise<number>((resolve) => {
    child.on("close", (exitCode) => resolve(exitCode ?? 1));
  });
  return { ...tally, code };
}

const files = readdirSync("dist", { recursive: true, encoding: "utf8" })
  .filter((file) => file.endsWith("_test.js"))
  .map((file) => `dist/${file}`);
const filters = process.argv.slice(2);
const selected = files.filter((file) => filters.every((filter) => file.includes(filter))).sort();
const { passed, failures, code } = await runTap(selected);
const knownFailures = readKnownFailures();
const expectedFailures = failures.filter((name) => knownFailures.includes(name));
const unexpectedFailures = failures.filter((name) => !knownFailures.includes(name));
for (const name of expectedFailures) {
  process.stdout.write(`known red: ${name}\n`);
}
for (const name of unexpectedFailures) {
  process.stdout.write(`failed: ${name}\n`);
}
const failedWithoutTest = code !== 0 && failures.length === 0;
const failed = unexpectedFailures.length + (failedWithoutTest ? 1 : 0);
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed > 0 || passed === 0 ? 1 : 0);
