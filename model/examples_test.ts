import { readdirSync, readFileSync } from "node:fs";
import t from "tap";
import { compilePolicies } from "../policy/mod.js";
import { parseServiceConfig, parseShardMap } from "./schema.js";

const files = readdirSync("examples").filter((file) => file.endsWith(".json"));

t.test("every example configuration is valid", async (t) => {
  t.equal(files.length, 16);
  for (const file of files) {
    const data: unknown = JSON.parse(readFileSync(`examples/${file}`, "utf8"));
    if (file.endsWith(".service.json")) {
      const config = parseServiceConfig(data)._unsafeUnwrap();
      t.ok(compilePolicies(config.policies).isOk(), file);
    } else {
      t.ok(parseShardMap(data).isOk(), file);
    }
  }
});
