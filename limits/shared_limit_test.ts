import fc from "fast-check";
import t from "tap";
import { admit, entryRate, JOIN_WAIT_MS, lend, newShare, receiveLoan } from "./shared_limit.js";

const TOTAL = { perSecond: 100, burst: 20 };

t.test("entries that lend and borrow never admit more than the total rate", async (t) => {
  const action = fc.record({
    kind: fc.constantFrom("admit", "lend", "dropped loan"),
    one: fc.nat(3),
    other: fc.nat(3),
    afterMs: fc.nat(3),
  });
  fc.assert(
    fc.property(fc.array(action, { minLength: 200, maxLength: 400 }), (actions) => {
      const rate = entryRate(TOTAL, { entryBoxes: 4, listedForMs: JOIN_WAIT_MS });
      let nowMs = 0;
      let admitted = 0;
      const shares = Array.from({ length: 4 }, () => newShare(rate, { nowMs }));
      for (const { kind, one, other, afterMs } of actions) {
        nowMs += afterMs;
        const share = shares[one] ?? newShare(rate, { nowMs });
        if (kind === "admit") {
          const taken = admit(share, rate, { nowMs });
          admitted += taken.admitted ? 1 : 0;
          shares[one] = taken.share;
        } else if (one !== other) {
          const loan = lend(share, rate, { asked: 10, nowMs });
          shares[one] = loan.share;
          const borrowerShare = shares[other] ?? newShare(rate, { nowMs });
          shares[other] = kind === "lend" ? receiveLoan(borrowerShare, loan.lent) : borrowerShare;
        }
      }
      return admitted <= TOTAL.burst + (TOTAL.perSecond * nowMs) / 1000 + 1e-6;
    }),
    { numRuns: 300, seed: 7 },
  );
  t.pass();
});

t.test("a box that has only just joined adds no tokens of its own", async (t) => {
  const rate = entryRate(TOTAL, { entryBoxes: 4, listedForMs: JOIN_WAIT_MS - 1 });
  t.equal(rate.perSecond, 0);
  t.notOk(admit(newShare(rate, { nowMs: 0 }), rate, { nowMs: 60_000 }).admitted);
});
