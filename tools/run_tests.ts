/**
 * Runs the tests with tap and prints `N passed, N failed` as the last line. Failures listed in
 * KNOWN-RED.txt are printed but not counted as failed. The logs of the processes that failed test
 * files started are printed and kept in `test_logs/`.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { readdirSync, readFileSync, rmSync } from "node:fs";
import { resolve } from "node:path";
import { Parser } from "tap-parser";
import { LOG_DIRECTORY_VARIABLE } from "../standins/process_log.js";
import { deletePassedLogs, formatFailureLogs } from "./failure_logs.js";

/** Timeout of each test file, in seconds. */
const FILE_TIMEOUT_S = 400;

/** Directory for the logs of the processes that tests start. */
const LOG_DIRECTORY = resolve("test_logs");

interface Tally {
  passed: number;
  readonly failures: Array<string>;
  readonly failedFiles: Array<string>;
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
    if (parser.level === 0 && !result.ok) {
      tally.failedFiles.push(result.name);
    }
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
  const tally: Tally = { passed: 0, failures: [], failedFiles: [] };
  const args = ["tap", "--disable-coverage", "--reporter=tap", "--jobs=4"];
  const child = spawn("npx", [...args, `--timeout=${FILE_TIMEOUT_S}`, ...files], {
    stdio: ["ignore", "pipe", "inherit"],
    env: { ...process.env, [LOG_DIRECTORY_VARIABLE]: LOG_DIRECTORY },
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
rmSync(LOG_DIRECTORY, { recursive: true, force: true });
const { passed, failures, failedFiles, code } = await runTap(selected);
deletePassedLogs(LOG_DIRECTORY, failedFiles);
for (const line of failedFiles.flatMap((file) => formatFailureLogs(LOG_DIRECTORY, file))) {
  process.stdout.write(`${line}\n`);
}
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
