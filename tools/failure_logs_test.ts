// Guards against failures of tests over processes that leave no log of these processes.
import { mkdtempSync, readdirSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { ProcessLog } from "../standins/process_log.js";
import { deletePassedLogs, formatFailureLogs, selectLines } from "./failure_logs.js";

t.test("the logs of a failed test file are printed, those of others are deleted", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "rackvale-logs-"));
  t.teardown(() => rmSync(directory, { recursive: true, force: true }));
  const program = "bin/rackvale_box.js";
  new ProcessLog({ directory, testFile: "dist/a_test.js", program, pid: 7 }).append("of a");
  new ProcessLog({ directory, testFile: "dist/b_test.js", program, pid: 8 }).append("of b");
  t.same(formatFailureLogs(directory, "dist/a_test.js"), [
    "log of a_test.js, rackvale_box-7.log:",
    "of a",
  ]);
  t.same(formatFailureLogs(directory, "dist/c_test.js"), [], "a test file without processes");
  deletePassedLogs(directory, ["dist/a_test.js"]);
  t.same(readdirSync(directory), ["a_test.js"]);
});

t.test("a long log keeps its latest lines", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "rackvale-logs-"));
  t.teardown(() => rmSync(directory, { recursive: true, force: true }));
  const log = new ProcessLog({
    directory,
    testFile: "a_test.js",
    program: "box.js",
    pid: 7,
    maxFileBytes: 20,
  });
  for (let index = 0; index < 9; index++) {
    log.append(`line ${index}`);
  }
  const [, ...lines] = formatFailureLogs(directory, "a_test.js");
  t.same(lines.at(-1), "line 8");
  t.equal(readdirSync(join(directory, "a_test.js")).length, 2);
});

t.test("warnings are printed however many lines follow them", async (t) => {
  const warning = JSON.stringify({ level: 40, msg: "warned" });
  const routine = Array.from({ length: 100 }, (_, index) => {
    return JSON.stringify({ level: 30, msg: `routine ${index}` });
  });
  const lines = selectLines([warning, "TypeError: broken", ...routine]);
  t.same(lines.slice(0, 2), [warning, "TypeError: broken"]);
  t.same(lines.at(-1), routine.at(-1));
});
