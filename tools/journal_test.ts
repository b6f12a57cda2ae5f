// Guards against journal entries with merge conflict markers or invalid JSON.

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";

const FOLDER = "journal";

t.test("each journal entry is valid JSON without conflict markers", async (t) => {
  const names = readdirSync(FOLDER).filter((name) => name.endsWith(".json"));
  t.ok(names.length > 0);
  for (const name of names) {
    const text = readFileSync(join(FOLDER, name), "utf8");
    t.notMatch(text, /^(<{7}|={7}$|>{7})/m, `${name} has no conflict markers`);
    t.doesNotThrow(() => JSON.parse(text), `${name} is valid JSON`);
  }
});
