import t from "tap";
import { type ServiceCredits, selectService } from "./select_service.js";

t.test("selectService() is close to the weights over any sequence of requests", async (t) => {
  const services = [
    { service: "a", weight: 70 },
    { service: "b", weight: 20 },
    { service: "c", weight: 10 },
  ];
  let credits: ServiceCredits = new Map();
  const chosen: Array<string> = [];
  for (let number = 0; number < 200; number++) {
    const choice = selectService(services, credits);
    chosen.push(choice.service);
    credits = choice.credits;
  }
  for (const { service, weight } of services) {
    for (const end of [50, 100, 150, 200]) {
      const share = chosen.slice(end - 50, end).filter((each) => each === service).length / 50;
      t.ok(Math.abs(share - weight / 100) <= 0.04, `${service}: ${share} up to ${end}`);
    }
  }
});

t.test(
  "selectService() drops the credit of a service that was removed from the route",
  async (t) => {
    const credits = new Map([["removed", 1_000]]);
    const choice = selectService([{ service: "a", weight: 1 }], credits);
    t.equal(choice.service, "a");
    t.notOk(choice.credits.has("removed"));
  },
);
