import { okAsync } from "neverthrow";
import t from "tap";
import type { PlatformPort } from "../platform/mod.js";
import { PlatformWatch } from "./platform_watch.js";

t.test("PlatformWatch does not busy-loop on an empty store that answers immediately", async (t) => {
  let calls = 0;
  const platform: PlatformPort = {
    listChanges: () => {
      calls += 1;
      return okAsync({ version: 0, objects: [] });
    },
    readBoxList: () => okAsync({ version: 1, boxes: [] }),
    readObject: () => okAsync({ version: 0, object: undefined }),
    writeObject: () => okAsync(1),
  };
  const watch = new PlatformWatch(platform, { send: () => undefined, nowMs: () => 0 });
  watch.enable(true);
  await new Promise((resolve) => setTimeout(resolve, 350));
  watch.enable(false);
  t.ok(calls >= 1 && calls <= 5, `${calls} calls`);
});
