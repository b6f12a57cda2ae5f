/**
 * The layers of the box daemon, as `docs/DESIGN.md` draws them: an import that runs back up makes two folders one, which a
 * newcomer can then only read together.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import t from "tap";

/** Each folder imports only from rows above its own, or from itself. */
const LAYERS: ReadonlyArray<ReadonlyArray<string>> = [
  ["model", "core", "limits", "latency", "hashing", "admission", "quarantine", "clock"],
  ["lifecycle", "leafs", "routing", "extra_calls", "membership", "telemetry", "policy"],
  ["leaf_access"],
  ["request"],
  ["platform"],
  ["calls", "fleet"],
  ["relay", "cluster_state"],
  ["box"],
];

const LAYER_OF = new Map(LAYERS.flatMap((row, index) => row.map((folder) => [folder, index])));

const IMPORT = /from "(\.\.\/[^"]+)"/g;

function sourcesIn(folder: string): ReadonlyArray<string> {
  return readdirSync(folder)
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .filter((file) => !/_(harness|driver)\.ts$/.test(file))
    .map((file) => join(folder, file));
}

t.test("no import of the box daemon runs back up the layers", async (t) => {
  const sources = [...LAYER_OF.keys()].flatMap(sourcesIn);
  const upward = sources.flatMap((file) => {
    const own = dirname(file);
    return [...readFileSync(file, "utf8").matchAll(IMPORT)].flatMap(([, path = ""]) => {
      const folder = normalize(join(own, path)).split("/")[0] ?? "";
      const isUp = (LAYER_OF.get(folder) ?? Infinity) > (LAYER_OF.get(own) ?? 0);
      return isUp ? [`${file} imports ${folder}`] : [];
    });
  });
  t.same(upward, []);
  t.ok(sources.length > 100, `${sources.length} files were read`);
});
