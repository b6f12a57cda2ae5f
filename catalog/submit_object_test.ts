import { errAsync, okAsync } from "neverthrow";
import t from "tap";
import type { CatalogObject } from "../model/mod.js";
import type { PlatformError, PlatformPort } from "../platform/platform_port.js";
import { type Submission, submitObject } from "./submit_object.js";

const UNCLEAR: PlatformError = { kind: "unclear", message: "no reply" };

/** Creates an in-memory platform whose writes or replies can be made to fail. */
function fakePlatform(script: Array<"ok" | "reply dropped" | "write dropped" | "down">) {
  let stored: { readonly version: number; readonly object: CatalogObject | undefined } = {
    version: 0,
    object: undefined,
  };
  let writes = 0;
  const platform: PlatformPort = {
    listChanges: () => okAsync({ version: 0, objects: [] }),
    readBoxList: () => okAsync({ version: 1, boxes: [] }),
    readObject: () => (script[0] === "down" ? errAsync(UNCLEAR) : okAsync(stored)),
    writeObject: (_key, object, { expectedVersion }) => {
      const result = script.shift() ?? "ok";
      if (result === "write dropped") {
        return errAsync(UNCLEAR);
      }
      if (expectedVersion !== stored.version) {
        return errAsync({ kind: "conflict", message: "changed" });
      }
      stored = { version: stored.version + 1, object };
      writes += 1;
      return result === "ok" ? okAsync(stored.version) : errAsync(UNCLEAR);
    },
  };
  return { platform, stored: () => stored, writes: () => writes };
}

function submission(submissionId: string, baseRevision: number): Submission {
  return {
    kind: "service",
    name: "bidscope",
    value: {},
    deleted: false,
    submissionId,
    author: submissionId,
    baseRevision,
    submittedAtEpochMs: 0,
  };
}

const OPTIONS = { knownRevision: 0, pause: async () => undefined };

t.test("submitObject() detects by the submission id that a write took effect", async (t) => {
  const fake = fakePlatform(["reply dropped"]);
  const outcome = await submitObject(fake.platform, submission("ann", 0), OPTIONS);
  t.equal(outcome.kind, "accepted");
  t.equal(fake.writes(), 1, "it took effect once");
});

t.test("submitObject() retries a write that did not take effect", async (t) => {
  const fake = fakePlatform(["write dropped", "ok"]);
  const outcome = await submitObject(fake.platform, submission("ann", 0), OPTIONS);
  t.equal(outcome.kind, "accepted");
  t.equal(fake.stored().object?.revision, 1);
});

t.test(
  "submitObject() accepts one of two concurrent submissions and returns the winner",
  async (t) => {
    const fake = fakePlatform([]);
    await submitObject(fake.platform, submission("ann", 0), OPTIONS);
    const outcome = await submitObject(fake.platform, submission("ben", 0), OPTIONS);
    t.match(outcome, { kind: "conflict", winner: { history: [{ author: "ann" }] } });
  },
);

t.test("submitObject() returns unclear only if a write may have been sent", async (t) => {
  const down = fakePlatform(["down"]);
  const notSent = await submitObject(down.platform, submission("ann", 0), OPTIONS);
  t.equal(notSent.kind, "notRun");
  const lossy = fakePlatform(["write dropped", "write dropped", "write dropped"]);
  const options = { ...OPTIONS, maxAttempts: 3 };
  t.equal((await submitObject(lossy.platform, submission("ann", 0), options)).kind, "unclear");
});

t.test(
  "submitObject() exceeds the known revision after the platform was restored from a backup",
  async (t) => {
    const fake = fakePlatform([]);
    await submitObject(fake.platform, submission("ann", 0), OPTIONS);
    const options = { ...OPTIONS, knownRevision: 8 };
    const outcome = await submitObject(fake.platform, submission("ben", 8), options);
    t.match(outcome, { kind: "accepted", object: { revision: 9 } });
  },
);

t.test("submitObject() returns its own revision when a later change follows", async (t) => {
  const fake = fakePlatform(["reply dropped"]);
  let isFirstPause = true;
  const outcome = await submitObject(fake.platform, submission("ann", 0), {
    knownRevision: 0,
    pause: async () => {
      if (isFirstPause) {
        isFirstPause = false;
        await submitObject(fake.platform, submission("ben", 1), OPTIONS);
      }
    },
  });
  t.match(outcome, { kind: "accepted", revision: 1, object: { revision: 2 } });
});
