import { errAsync, okAsync } from "neverthrow";
import t from "tap";
import type { CatalogObject } from "../model/mod.js";
import type { PlatformError, PlatformPort } from "../platform/platform_port.js";
import { type Submission, submitObject } from "./submit_object.js";

const UNCLEAR: PlatformError = { kind: "unclear", message: "lost" };

/** A platform in memory whose writes can lose their effect or their reply. */
function fakePlatform(script: Array<"ok" | "lost reply" | "lost write" | "down">) {
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
      const fate = script.shift() ?? "ok";
      if (fate === "lost write") {
        return errAsync(UNCLEAR);
      }
      if (expectedVersion !== stored.version) {
        return errAsync({ kind: "conflict", message: "changed" });
      }
      stored = { version: stored.version + 1, object };
      writes += 1;
      return fate === "ok" ? okAsync(stored.version) : errAsync(UNCLEAR);
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

t.test("submitObject() settles a lost reply by the submission's own id", async (t) => {
  const fake = fakePlatform(["lost reply"]);
  const outcome = await submitObject(fake.platform, submission("ann", 0), OPTIONS);
  t.equal(outcome.kind, "accepted");
  t.equal(fake.writes(), 1, "it took effect once");
});

t.test("submitObject() writes again when the write itself was lost", async (t) => {
  const fake = fakePlatform(["lost write", "ok"]);
  const outcome = await submitObject(fake.platform, submission("ann", 0), OPTIONS);
  t.equal(outcome.kind, "accepted");
  t.equal(fake.stored().object?.revision, 1);
});

t.test("submitObject() lets one of two racing operators win and names it", async (t) => {
  const fake = fakePlatform([]);
  await submitObject(fake.platform, submission("ann", 0), OPTIONS);
  const outcome = await submitObject(fake.platform, submission("ben", 0), OPTIONS);
  t.match(outcome, { kind: "conflict", winner: { history: [{ author: "ann" }] } });
});

t.test("submitObject() says unclear only after something may have been sent", async (t) => {
  const down = fakePlatform(["down"]);
  const notSent = await submitObject(down.platform, submission("ann", 0), OPTIONS);
  t.equal(notSent.kind, "notRun");
  const lossy = fakePlatform(["lost write", "lost write", "lost write"]);
  const options = { ...OPTIONS, maxAttempts: 3 };
  t.equal((await submitObject(lossy.platform, submission("ann", 0), options)).kind, "unclear");
});

t.test(
  "submitObject() goes above the known revision after the platform was set back",
  async (t) => {
    const fake = fakePlatform([]);
    await submitObject(fake.platform, submission("ann", 0), OPTIONS);
    const options = { ...OPTIONS, knownRevision: 8 };
    const outcome = await submitObject(fake.platform, submission("ben", 8), options);
    t.match(outcome, { kind: "accepted", object: { revision: 9 } });
  },
);

t.test("submitObject() tells its own revision when a later change stands above it", async (t) => {
  const fake = fakePlatform(["lost reply"]);
  let isBetween = true;
  const outcome = await submitObject(fake.platform, submission("ann", 0), {
    knownRevision: 0,
    pause: async () => {
      if (isBetween) {
        isBetween = false;
        await submitObject(fake.platform, submission("ben", 1), OPTIONS);
      }
    },
  });
  t.match(outcome, { kind: "accepted", revision: 1, object: { revision: 2 } });
});
