/**
 * HTTP handlers for operators: objects, policies, status and drain.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { objectKey, type SubmitOutcome, submitObject } from "../catalog/mod.js";
import type { ControlState } from "../control/mod.js";
import type { ControlShell } from "../daemon/mod.js";
import { SUSPICION_TIMEOUT_MS } from "../membership/mod.js";
import { type CatalogObject, MAX_BODY_BYTES, type Member } from "../model/mod.js";
import type { PlatformPort } from "../platform/mod.js";
import { compilePolicies, evaluatePolicies, SAMPLE_INPUT } from "../policy/mod.js";
import { checkValue } from "./_check_value.js";
import type { ApiHandlers, ApiRequest } from "./http_api.js";
import { type HttpFault, httpFault, readJson, writeFault, writeJson } from "./http_io.js";

/** Delay between attempts of a submission, in milliseconds. */
const SUBMIT_RETRY_DELAY_MS = 300;

/** Timeout for a daemon, in milliseconds: one that has not answered by then is considered dead. */
const DAEMON_TIMEOUT_MS = SUSPICION_TIMEOUT_MS;

/** Dependencies of the operators' handlers. */
export interface OperatorApiOptions {
  readonly platform: PlatformPort;
  readonly control: ControlShell;
  readonly state: () => ControlState;
  readonly accepted: (object: CatalogObject) => void;
  readonly report: () => unknown;
  readonly drainSelf: () => void;
}

type OperatorHandlers = Pick<
  ApiHandlers,
  | "listObjects"
  | "getObject"
  | "submitObject"
  | "removeObject"
  | "checkPolicies"
  | "status"
  | "drain"
>;

/**
 * Creates the handlers for operators.
 *
 * @param options - Dependencies of the handlers.
 * @returns The handlers.
 */
export function operatorApi(options: OperatorApiOptions): OperatorHandlers {
  return {
    listObjects: ({ response, kind }) => {
      const objects = [...options.state().catalog.objects.values()]
        .filter((object) => object.kind === kind && !object.deleted)
        .map(({ name, revision, history }) => ({ name, revision, changed: history[0] }));
      writeJson(response, { objects }, { statusCode: 200 });
    },
    getObject: ({ response, kind, name }) => {
      const object = options.state().catalog.objects.get(objectKey(kind, name));
      if (object === undefined) {
        writeFault(response, httpFault(404, `Cannot find ${kind} "${name}"`));
        return;
      }
      writeJson(response, object, { statusCode: 200 });
    },
    submitObject: (api) => void submit(api, options, false),
    removeObject: (api) => void submit(api, options, true),
    checkPolicies: (api) => void checkPolicies(api),
    status: (api) => void status(api, options),
    drain: (api) => void drain(api, options),
  };
}

async function submit(
  { request, response, kind, name, query }: ApiRequest,
  { platform, state, accepted }: OperatorApiOptions,
  deleted: boolean,
): Promise<void> {
  const body = deleted ? ok(null) : await readJson(request, { maxBytes: MAX_BODY_BYTES });
  const value = body.andThen((data) =>
    deleted ? ok(null) : checkValue(state(), kind, { name, data }),
  );
  const stored = state().catalog.objects.get(objectKey(kind, name));
  const base = baseRevision(query.get("base"), stored);
  if (value.isErr() || base.isErr()) {
    const faults = [value, base].flatMap((each) => (each.isErr() ? [each.error] : []));
    writeFault(response, faults[0] ?? httpFault(400, "Cannot accept the request"));
    return;
  }
  const outcome = await submitObject(
    platform,
    {
      kind,
      name,
      value: value.value,
      deleted,
      submissionId: (query.get("submission") ?? randomUUID()).slice(0, 100),
      author: (query.get("author") ?? "unknown").slice(0, 100),
      baseRevision: base.value,
      submittedAtEpochMs: Date.now(),
    },
    {
      knownRevision: stored?.revision ?? 0,
      pause: () => new Promise((resolve) => setTimeout(resolve, SUBMIT_RETRY_DELAY_MS)),
    },
  );
  if (outcome.kind === "accepted") {
    accepted(outcome.object);
  }
  const { statusCode, ...rest } = submitAnswer(outcome);
  writeJson(response, rest, { statusCode });
}

function baseRevision(
  text: string | null,
  stored: CatalogObject | undefined,
): Result<number, HttpFault> {
  if (text === null) {
    return ok(stored?.revision ?? 0);
  }
  const base = Number(text);
  return Number.isInteger(base) && base >= 0
    ? ok(base)
    : err(httpFault(400, `Cannot accept base "${text}": expected a whole number`, "base"));
}

function submitAnswer(outcome: SubmitOutcome) {
  switch (outcome.kind) {
    case "accepted": {
      const { revision } = outcome;
      return {
        statusCode: 200,
        outcome: "accepted",
        revision,
        message: `Accepted as revision ${revision}`,
      };
    }
    case "conflict": {
      const winner = outcome.winner;
      const change = winner?.history[0];
      const message =
        winner === undefined
          ? "Cannot accept the change: the object is not there"
          : `Cannot accept the change: ${change?.author ?? "another operator"} won with revision ${winner.revision}`;
      return {
        statusCode: 409,
        outcome: "conflict",
        revision: winner?.revision ?? 0,
        winner: change,
        message,
      };
    }
    case "unclear": {
      const message = `Cannot tell whether the change took effect: ${outcome.message}; submit it again with the same submission id to settle it`;
      return { statusCode: 504, outcome: "unclear", revision: 0, message };
    }
    case "notRun": {
      const message = `Cannot submit the change: ${outcome.message}; nothing took effect`;
      return { statusCode: 503, outcome: "not run", revision: 0, message };
    }
  }
}

const POLICY_CHECK = z.strictObject({
  policies: z.record(z.string(), z.string().max(2_000)),
  sample: z
    .object({
      request: z.record(z.string(), z.unknown()).default({}),
      load: z.record(z.string(), z.unknown()).default({}),
    })
    .default({ request: {}, load: {} }),
});

async function checkPolicies({ request, response }: ApiRequest): Promise<void> {
  const body = await readJson(request, { maxBytes: MAX_BODY_BYTES });
  const parsed = POLICY_CHECK.safeParse(body.unwrapOr(undefined));
  if (body.isErr() || !parsed.success) {
    const message = body.isErr() ? body.error.message : "Cannot accept the body: expected policies";
    writeFault(response, httpFault(400, message, "policies"));
    return;
  }
  const { policies, sample } = parsed.data;
  const compiled = compilePolicies(policies);
  if (compiled.isErr()) {
    const { policy, line, column, message } = compiled.error;
    const fault = httpFault(
      400,
      `${message} (line ${line}, column ${column})`,
      `policies.${policy}`,
    );
    writeFault(response, fault);
    return;
  }
  const decision = evaluatePolicies(compiled.value, {
    request: { ...SAMPLE_INPUT.request, ...sample.request },
    load: { ...SAMPLE_INPUT.load, ...sample.load },
  });
  writeJson(response, { decision }, { statusCode: 200 });
}

async function status({ response }: ApiRequest, options: OperatorApiOptions): Promise<void> {
  const members = otherMembers(options.state());
  const reports = await Promise.all(
    members.map(async (member) => {
      try {
        const { rpc } = options.control.client(member);
        const { reportJson } = await rpc.report({}, { timeoutMs: DAEMON_TIMEOUT_MS });
        return { memberId: member.memberId, reached: true, report: JSON.parse(reportJson) };
      } catch {
        return { memberId: member.memberId, reached: false, state: member.state };
      }
    }),
  );
  const { self } = options.state().membership;
  const own = { memberId: self.memberId, reached: true, report: options.report() };
  writeJson(response, { daemons: [own, ...reports] }, { statusCode: 200 });
}

function otherMembers(state: ControlState): ReadonlyArray<Member> {
  return [...state.membership.records.values()]
    .map((record) => record.member)
    .filter((member) => member.state !== "dead");
}

/**
 * Starts the planned stop of all daemons of a box. Daemons that do not answer are named, as whether
 * they stop is not known.
 */
async function drain({ response, name }: ApiRequest, options: OperatorApiOptions): Promise<void> {
  const { self } = options.state().membership;
  const others = otherMembers(options.state()).filter((member) => member.box === name);
  const unanswered: Array<string> = [];
  const draining: Array<string> = [];
  await Promise.all(
    others.map(async (member) => {
      try {
        const { rpc } = options.control.client(member);
        await rpc.drain({}, { timeoutMs: DAEMON_TIMEOUT_MS });
        draining.push(member.memberId);
      } catch {
        unanswered.push(member.memberId);
      }
    }),
  );
  if (self.box === name) {
    options.drainSelf();
    draining.push(self.memberId);
  }
  if (draining.length + unanswered.length === 0) {
    writeFault(response, httpFault(404, `Cannot find box "${name}" among the live ones`));
    return;
  }
  if (draining.length === 0) {
    const message = `Cannot tell whether box "${name}" drains: none of its daemons answered`;
    writeFault(response, httpFault(504, message));
    return;
  }
  writeJson(response, { draining, unanswered }, { statusCode: 202 });
}
