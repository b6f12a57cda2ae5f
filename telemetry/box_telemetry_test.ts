import { spawnSync } from "node:child_process";
import { constants, mkdtempSync, openSync, rmSync } from "node:fs";
import { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import t from "tap";
import { waitUntil } from "../standins/waiting.js";
import { createBoxTelemetry, MAX_REQUEST_LINES_PER_SECOND } from "./box_telemetry.js";

/** Creates a pipe that is not read until `read()` is called. */
function unreadPipe() {
  const folder = mkdtempSync(join(tmpdir(), "rackvale-log-"));
  const path = join(folder, "log");
  spawnSync("mkfifo", [path]);
  // Opened for reading as well, because opening for writing only would block until there is a
  // reader.
  const logFd = openSync(path, constants.O_RDWR);
  return {
    folder,
    logFd,
    read: () => new Socket({ fd: openSync(path, constants.O_RDONLY | constants.O_NONBLOCK) }),
  };
}

async function readLines(
  input: NodeJS.ReadableStream,
  isLast: (line: string) => boolean,
): Promise<ReadonlyArray<string>> {
  const lines: Array<string> = [];
  for await (const line of createInterface({ input })) {
    lines.push(line);
    if (isLast(line)) {
      break;
    }
  }
  return lines;
}

t.test("a blocked log reader does not block the box; lines are dropped and counted", async (t) => {
  const { folder, logFd, read } = unreadPipe();
  t.teardown(() => rmSync(folder, { recursive: true }));
  const telemetry = createBoxTelemetry("b", { logFd });
  for (let number = 0; number < 20_000; number++) {
    telemetry.event("info", "test: line", { number, filling: "x".repeat(100) });
  }
  const dropped = /rackvale_log_lines_dropped_total (\d+)/.exec(await telemetry.metricsText());
  t.ok(Number(dropped?.[1]) > 0, `dropped ${dropped?.[1]}`);
  t.equal(await telemetry.flush(), false);
  const input = read();
  const first = await readLines(input, (line) => line.includes('"number":10,'));
  t.equal(first.length, 11);
  // Drains the pipe so that no write is pending when the test ends.
  input.resume();
  await waitUntil(() => telemetry.flush(), "all lines are written");
  input.destroy();
});

t.test("request log lines are limited per second", async (t) => {
  const { folder, logFd, read } = unreadPipe();
  t.teardown(() => rmSync(folder, { recursive: true }));
  const telemetry = createBoxTelemetry("b", { logFd });
  for (let number = 0; number < 10 * MAX_REQUEST_LINES_PER_SECOND; number++) {
    telemetry.logRequest("request: answered", { requestId: `r${number}` });
  }
  telemetry.event("info", "test: last");
  const input = read();
  const reading = readLines(input, (line) => line.includes("test: last"));
  await telemetry.flush();
  const lines = (await reading).filter((line) => line.includes("request: answered"));
  // The loop may cross the end of a second, but hardly two of them.
  t.ok(
    lines.length >= MAX_REQUEST_LINES_PER_SECOND &&
      lines.length <= 3 * MAX_REQUEST_LINES_PER_SECOND,
  );
  input.destroy();
});
