import prand from "pure-rand";
import t from "tap";
import { NO_ESTIMATE, updateQuantile } from "./quantile_estimate.js";

t.test("updateQuantile() converges to the quantile and is robust against a burst", async (t) => {
  const random = prand.xoroshiro128plus(1);
  const draw = () => prand.unsafeUniformIntDistribution(5_000, 9_999, random) / 1_000;
  let estimate = NO_ESTIMATE;
  for (let index = 0; index < 20_000; index++) {
    estimate = updateQuantile(estimate, draw(), { quantile: 0.95 });
  }
  t.ok(estimate.quantileMs > 9.2 && estimate.quantileMs < 10.3, `${estimate.quantileMs}`);
  const before = estimate.quantileMs;
  for (let index = 0; index < 40; index++) {
    estimate = updateQuantile(estimate, 100, { quantile: 0.95 });
  }
  t.ok(estimate.quantileMs < 4 * before, `${estimate.quantileMs} after a slow query`);
});

t.test("updateQuantile() recovers from a slow first observation", async (t) => {
  const random = prand.xoroshiro128plus(2);
  const draw = () => prand.unsafeUniformIntDistribution(5_000, 9_999, random) / 1_000;
  let estimate = updateQuantile(NO_ESTIMATE, 200, { quantile: 0.95 });
  for (let index = 0; index < 2_000; index++) {
    estimate = updateQuantile(estimate, draw(), { quantile: 0.95 });
  }
  t.ok(estimate.quantileMs < 12, `${estimate.quantileMs}`);
});
