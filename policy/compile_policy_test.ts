import t from "tap";
import { compilePolicies } from "./compile_policy.js";
import { evaluatePolicies } from "./evaluate_policy.js";
import { SAMPLE_INPUT } from "./policy_input.js";

t.test("compilePolicies() reports line and column of a syntax error", async (t) => {
  const error = compilePolicies({ retry: "1 +\n * 3" })._unsafeUnwrapErr();
  t.match(error, { policy: "retry", line: 1, column: 3 });
});

t.test("compilePolicies() reports the position of an undefined name in any branch", async (t) => {
  const branch = compilePolicies({ refuse: "request.priority == 'low' ? '' : x" });
  t.match(branch._unsafeUnwrapErr(), { policy: "refuse", line: 1, column: 34 });
  const field = compilePolicies({ refuse: "request.caler == 'a' ? 'no' : ''" });
  t.match(field._unsafeUnwrapErr(), { line: 1, column: 8, message: /request\.caler/ });
  const macro = compilePolicies({
    refuse: "['a', 'b'].exists(each, each == request.caller) ? 'no' : ''",
  });
  t.ok(macro.isOk());
});

t.test("compilePolicies() rejects a result of the wrong type", async (t) => {
  const error = compilePolicies({ place: "'somewhere'" })._unsafeUnwrapErr();
  t.match(error.message, /expected one of/);
});

t.test("evaluatePolicies() uses the default if a program fails at run time", async (t) => {
  const programs = compilePolicies({ retry: "load.inFlight == 1 ? 2 : 9 / 0" })._unsafeUnwrap();
  t.equal(evaluatePolicies(programs, SAMPLE_INPUT).retries, 2);
  const busy = { ...SAMPLE_INPUT, load: { inFlight: 5, availableShare: 1 } };
  const decision = evaluatePolicies(programs, busy);
  t.equal(decision.retries, 1);
  t.equal(decision.failures[0]?.policy, "retry");
});
