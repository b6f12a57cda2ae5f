// Four entries of the journal held both sides of a merge, so that no program could read them and the days
// that they record could not be checked.

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";

const FOLDER = "journal";

t.test("each entry of the journal can be read as it was written", async (t) => {
  const names = readdirSync(FOLDER).filter((name) => name.endsWith(".json"));
  t.ok(names.length > 0);
  for (const name of names) {
    const text = readFileSync(join(FOLDER, name), "utf8");
    t.notMatch(text, /^(<{7}|={7}$|>{7})/m, `${name} holds one side of a merge alone`);
    t.doesNotThrow(() => JSON.parse(text), `${name} is JSON`);
  }
});
