import t from "tap";
import { testMember } from "../entry/_core_harness.js";
import {
  aliveMembers,
  createMembership,
  expireMembers,
  type Membership,
  mergeMembers,
  SUSPICION_TIMEOUT_MS,
  suspectMember,
} from "./membership.js";

const OTHER = testMember("b/pool");

function withOther(): Membership {
  const start = createMembership(testMember("a/entry"));
  return mergeMembers(start, [OTHER], { nowMs: 0 }).membership;
}

function stateOf(membership: Membership): string | undefined {
  return membership.records.get("b/pool")?.member.state;
}

t.test("a daemon that does not answer is suspected, then considered dead", async (t) => {
  const suspected = suspectMember(withOther(), "b/pool", { nowMs: 0 });
  t.equal(stateOf(suspected), "suspect");
  t.same(aliveMembers(suspected, "pool"), []);
  t.equal(stateOf(expireMembers(suspected, { nowMs: SUSPICION_TIMEOUT_MS - 1 })), "suspect");
  t.equal(stateOf(expireMembers(suspected, { nowMs: SUSPICION_TIMEOUT_MS })), "dead");
});

t.test("a suspected daemon refutes the suspicion with a higher version", async (t) => {
  const own = createMembership(OTHER);
  const rumour = { ...OTHER, state: "suspect" } as const;
  const { self } = mergeMembers(own, [rumour], { nowMs: 0 }).membership;
  const suspected = suspectMember(withOther(), "b/pool", { nowMs: 0 });
  t.equal(stateOf(mergeMembers(suspected, [self], { nowMs: 1 }).membership), "alive");
});

t.test("aliveMembers() excludes a daemon that is still joining", async (t) => {
  const joining = { ...OTHER, state: "joining" } as const;
  const start = createMembership(testMember("a/entry"));
  const merged = mergeMembers(start, [joining], { nowMs: 0 }).membership;
  t.same(aliveMembers(merged, "pool"), []);
  const alive = { ...OTHER, version: 2 };
  t.equal(aliveMembers(mergeMembers(merged, [alive], { nowMs: 1 }).membership, "pool").length, 1);
});

t.test("a later incarnation replaces an earlier one, whose records are then ignored", async (t) => {
  const newer = { ...OTHER, incarnation: "second", startedAtEpochMs: 2 };
  const replaced = mergeMembers(withOther(), [newer], { nowMs: 0 }).membership;
  const old = { ...OTHER, version: 9, state: "dead" as const };
  const after = mergeMembers(replaced, [old], { nowMs: 1 });
  t.same(after.changed, []);
  t.equal(after.membership.records.get("b/pool")?.member.incarnation, "second");
});

t.test("a new incarnation replaces its predecessor even if its clock is behind", async (t) => {
  const late = createMembership({ ...OTHER, incarnation: "new", startedAtEpochMs: 1 });
  const predecessor = { ...OTHER, incarnation: "old", startedAtEpochMs: 50 };
  const { self } = mergeMembers(late, [predecessor], { nowMs: 0 }).membership;
  t.ok(self.startedAtEpochMs > 50);
});
