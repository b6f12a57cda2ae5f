/** The operator changes the weights of a split route from 999 and 1 to 1 and 1. */
import { delay, HAS_TROUBLE, runCase, send, until } from "../lib-2/deployment.mjs";
import { drawWorkMs, startLeaf } from "../lib-2/leaf.mjs";

const BOX_ZONES = ["hall-a", "hall-b", "hall-c", "hall-c"];

/** Leafs of the two services, as `settle-desk` and `aggrelink` of bmga-bids. */
const SERVICE_ZONES = {
  "settle-desk": ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c"],
  aggrelink: ["hall-a", "hall-b", "hall-c"],
};

/** Work of `settlement-lookup`: mean, spread and greatest value of the site file. */
const WORK = { meanMs: 160, spread: 0.5, maxMs: 960 };

/** Requests a second: those of the sheet. */
const REQUESTS_PER_S = 15.8;
const DEADLINE_MS = 6_000;

/** Time with the first weights, and time that is judged, in ms. */
const FIRST_WEIGHTS_MS = 40_000;
const JUDGED_MS = 20_000;

/** Bounds of the rule: time to apply a version, fewest requests, and largest difference. */
const CONFIG_APPLY_MS = 3_000;
const LEAST_REQUESTS = 200;
const MAX_DIFFERENCE = 0.2;

const FIRST_WEIGHTS = { "settle-desk": 999, aggrelink: 1 };
const LATER_WEIGHTS = { "settle-desk": 1, aggrelink: 1 };

const LIMITS = {
  ...{ maxHeaderBytes: 16_384, maxBodyBytes: 262_144 },
  ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

function configuration(version, weights) {
  const trafficSplit = Object.entries(weights).map(([service, weight]) => ({ service, weight }));
  const terms = { type: "safe", timeoutMs: DEADLINE_MS, targetLatencyMs: 610, maxAttempts: 2 };
  const route = { name: "lookup", host: "h.example", pathPrefix: "/lookup/", priority: 2 };
  const services = Object.keys(weights).map((name) => {
    return { name, healthCheckPath: "/healthz", maxConnections: 100 };
  });
  return { version, routes: [{ ...route, ...terms, trafficSplit }], services, limits: LIMITS };
}

function shareOf(weights, service) {
  const sum = Object.values(weights).reduce((total, weight) => total + weight, 0);
  return weights[service] / sum;
}

await runCase(import.meta.url, async (deployment, record) => {
  const broken = [];
  /** Service that first ran each request. */
  const ranAt = new Map();
  deployment.configure(configuration(1, FIRST_WEIGHTS));
  const leafs = [];
  for (const [service, zones] of Object.entries(SERVICE_ZONES)) {
    const onRun = ({ leafId, requestId }) => {
      record.add(`${leafId} runs ${requestId}`);
      if (!ranAt.has(requestId)) {
        ranAt.set(requestId, service);
      }
    };
    for (const [index, zone] of zones.entries()) {
      const leafId = `${service}-${index}`;
      const workMs = () => drawWorkMs(WORK);
      leafs.push(await startLeaf(deployment.platform, { leafId, service, zone, workMs, onRun }));
    }
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
  const judged = [];
  const answers = [];
  let isJudged = false;
  let isOver = false;
  const traffic = (async () => {
    while (!isOver) {
      const requestId = `r-${answers.length + 1}`;
      const box = boxes[answers.length % boxes.length];
      record.add(`${requestId} sent to ${box.name}`);
      const request = { path: `/lookup/${requestId}`, requestId, deadlineMs: DEADLINE_MS };
      const answered = send(box, request).then(({ statusCode }) => {
        record.add(`${requestId} answered ${statusCode}`);
        return statusCode;
      });
      answers.push(answered);
      if (isJudged) {
        judged.push({ requestId, answered });
      }
      await delay(1_000 / REQUESTS_PER_S);
    }
  })();
  await delay(FIRST_WEIGHTS_MS);
  const weights = HAS_TROUBLE ? LATER_WEIGHTS : FIRST_WEIGHTS;
  if (HAS_TROUBLE) {
    deployment.configure(configuration(2, weights));
  }
  await delay(CONFIG_APPLY_MS);
  isJudged = true;
  record.add("the time that is judged begins");
  await delay(JUDGED_MS);
  isOver = true;
  await traffic;
  const statuses = await Promise.all(judged.map(({ answered }) => answered));
  await Promise.all(answers);
  // The rule excepts times in which a part turns requests away.
  const served = statuses.filter((statusCode) => statusCode === 200).length;
  record.add(`${judged.length} judged, ${served} answered with 200`);
  if (judged.length < LEAST_REQUESTS || served < judged.length) {
    throw new Error(`${served} of ${judged.length} requests were served`);
  }
  for (const service of Object.keys(weights)) {
    const count = judged.filter(({ requestId }) => ranAt.get(requestId) === service).length;
    const share = count / judged.length;
    const due = shareOf(weights, service);
    record.add(`${service} ran ${count} of ${judged.length}, due ${due}`);
    if (Math.abs(share - due) > MAX_DIFFERENCE) {
      broken.push(`CONFIG: ${service} got ${share.toFixed(2)} of the requests, not ${due}`);
    }
  }
  for (const leaf of leafs) {
    leaf.stop();
  }
  return broken;
});
