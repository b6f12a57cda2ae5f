import t from "tap";
import { requestFingerprint } from "./request_fingerprint.js";

const CONTENT = { method: "GET", caller: "h.example", path: "/a/?b=c", body: undefined };

t.test("requestFingerprint() is equal for equal content", async (t) => {
  t.equal(requestFingerprint(CONTENT), requestFingerprint({ ...CONTENT }));
  t.match(requestFingerprint(CONTENT), /^[\w-]{16}$/);
});

t.test("requestFingerprint() differs with method, caller, path and body", async (t) => {
  const others = [
    { ...CONTENT, method: "POST" },
    { ...CONTENT, caller: "i.example" },
    { ...CONTENT, path: "/a/?b=d" },
    { ...CONTENT, body: Buffer.from("x") },
    { ...CONTENT, caller: "h.example/a", path: "/?b=c" },
  ];
  const all = new Set([CONTENT, ...others].map(requestFingerprint));
  t.equal(all.size, others.length + 1);
});
