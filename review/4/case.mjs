/** A route with allowed regions is removed while its requests are under way. */
import { delay, HAS_TROUBLE, runCase, send, until } from "../lib-2/deployment.mjs";
import { drawWorkMs, startLeaf } from "../lib-2/leaf.mjs";

/** Seven leafs in three zones, and the boxes beside them, as `settle-desk` of bmga-bids. */
const LEAF_ZONES = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
const BOX_ZONES = ["hall-a", "hall-b", "hall-c", "hall-c"];

/** Zone of the only region in which the route may be served. */
const HOME_ZONE = "hall-c";
const HOME_REGION = "east";

/** Work of `settlement-lookup`: mean, spread and greatest value of the site file. */
const WORK = { meanMs: 160, spread: 0.5, maxMs: 960 };

/** Requests a second: those of the sheet. */
const REQUESTS_PER_S = 15.8;
const DEADLINE_MS = 6_000;

/** Removals of the route, and the time between two versions, in ms. */
const REMOVALS = 12;
const VERSION_GAP_MS = 2_000;

const LIMITS = {
  ...{ maxHeaderBytes: 16_384, maxBodyBytes: 262_144 },
  ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

function configuration(version, hasLookup) {
  const common = { host: "h.example", type: "safe", timeoutMs: DEADLINE_MS, priority: 2 };
  const terms = { ...common, targetLatencyMs: 610, maxAttempts: 2, service: "settle-desk" };
  const homes = { allowedRegions: [HOME_REGION] };
  const lookup = { ...terms, ...homes, name: "lookup", pathPrefix: "/lookup/" };
  const other = { ...terms, ...homes, name: "other", pathPrefix: "/other/" };
  const services = [{ name: "settle-desk", healthCheckPath: "/healthz", maxConnections: 100 }];
  return { version, routes: hasLookup ? [lookup, other] : [other], services, limits: LIMITS };
}

await runCase(import.meta.url, async (deployment, record) => {
  const broken = [];
  const onRun = ({ leafId, requestId, zone }) => {
    record.add(`${leafId} runs ${requestId}`);
    if (zone !== HOME_ZONE) {
      broken.push(`HOME: ${requestId} reached ${leafId} in ${zone}`);
    }
  };
  // As on the deployments whose routes may have allowed regions.
  deployment.contracts.push("places");
  deployment.bounds = ["evacuationMs = 5000", "coldOverage = 1.5", "coldSlack = 5"];
  deployment.configure(configuration(1, true));
  const leafs = [];
  for (const [index, zone] of LEAF_ZONES.entries()) {
    const workMs = () => drawWorkMs(WORK);
    const leafId = `i-${index}-${zone}`;
    leafs.push(
      await startLeaf(deployment.platform, { leafId, service: "settle-desk", zone, workMs, onRun }),
    );
  }
  const boxes = BOX_ZONES.map((zone) => deployment.addBox(zone));
  for (const box of boxes) {
    box.start();
  }
  for (const box of boxes) {
    await until(() => box.isReady(), `${box.name} is ready`);
  }
  // All boxes know each other, and are in touch.
  await delay(6_000);
  const home = boxes.filter(({ zone }) => zone === HOME_ZONE);
  const answers = [];
  let version = 1;
  let count = 0;
  let isOver = false;
  /** Clients use the route while it exists, and ask a box of its region. */
  const traffic = (async () => {
    while (!isOver) {
      if (version % 2 === 1) {
        count += 1;
        const requestId = `r-${count}`;
        const box = home[count % home.length];
        record.add(`${requestId} sent to ${box.name}`);
        const request = { path: `/lookup/${count}`, requestId, deadlineMs: DEADLINE_MS };
        const answered = send(box, request).then(({ statusCode }) => {
          record.add(`${requestId} answered ${statusCode}`);
          return statusCode;
        });
        answers.push(answered);
      }
      await delay(1_000 / REQUESTS_PER_S);
    }
  })();
  for (let removal = 0; removal < REMOVALS; removal++) {
    for (const hasLookup of [false, true]) {
      await delay(VERSION_GAP_MS);
      if (HAS_TROUBLE) {
        version += 1;
        deployment.configure(configuration(version, hasLookup));
      }
    }
  }
  isOver = true;
  await traffic;
  const statuses = await Promise.all(answers);
  const served = statuses.filter((statusCode) => statusCode === 200).length;
  record.add(`${statuses.length} sent, ${served} answered with 200`);
  for (const leaf of leafs) {
    leaf.stop();
  }
  if (served === 0) {
    throw new Error("no request was served");
  }
  return broken;
});
