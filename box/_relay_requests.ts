/**
 * Relays leaf calls of one request through other boxes and turns their responses into events of the
 * request.
 *
 * @module
 */
import type { LeafCalls, LeafRequest, OpenCall } from "../calls/mod.js";
import type { Member } from "../model/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { RelayCalls, RelayListener, RelayRequest } from "../relay/mod.js";
import {
  type AttemptOutcome,
  failedPartOutcome,
  type RelayedParts,
  type RequestEffect,
  type RequestEvent,
  type RequestTerms,
} from "../request/mod.js";
import type { ForwardedRequest } from "./_runner_options.js";

type RelayEffect = Extract<RequestEffect, { readonly kind: "relay" }>;
type RelaySeparatelyEffect = Extract<RequestEffect, { readonly kind: "relaySeparately" }>;

/** Options of {@link RelayRequests}. */
export interface RelayRequestsOptions {
  readonly nowMs: () => number;
  readonly calls: LeafCalls;
  readonly quarantine: Pick<Quarantine, "applyRemoteBlock" | "recordAnswer" | "recordCrash">;
  readonly relays: RelayCalls;
  readonly terms: RequestTerms;
  readonly forwarded: ForwardedRequest;
  /** Returns a box that was selected for the request. */
  readonly chosenBox: (box: string) => Member | undefined;
  readonly dispatch: (event: RequestEvent) => void;
  readonly addNote: (calledId: string, note: string) => void;
  /** Called when an attempt has started. */
  readonly onOpen: (attemptId: number, call: OpenCall) => void;
  readonly onEnded: (attemptId: number) => void;
}

const MISSING_PART = failedPartOutcome("failed");

/** Result recorded for the call to a leaf, by the reason for which its shard's part is missing. */
const FAILED_CALL_RESULTS = {
  declined: "full",
  refused: "full",
  failed: "failed",
  "connection closed": "failed",
  blocked: "abandoned",
} as const;

/** Sends the relay requests of one request. */
export class RelayRequests {
  readonly #options: RelayRequestsOptions;

  /**
   * @param options - The request and the dependencies.
   */
  constructor(options: RelayRequestsOptions) {
    this.#options = options;
  }

  /**
   * Requests the merged parts of several shards from a box near their leafs.
   *
   * @param effect - The shards and the time for which the box may wait for them.
   */
  sendMerged(effect: RelayEffect): void {
    const { attemptId, box, calls, deadlineAtMs, firstFrameMs, waitLimitMs } = effect;
    const { onEnded, onOpen, dispatch } = this.#options;
    const recorders = this.#createRecorders(calls);
    const services = calls.map(({ service }) => service);
    const commonFields = this.#commonFields(deadlineAtMs);
    const waitMs = Math.ceil(waitLimitMs);
    const relayRequest: RelayRequest = {
      kind: "merged",
      ...commonFields,
      services,
      waitLimitMs: waitMs,
    };
    const listener: RelayListener = {
      onParts: (parts) => {
        this.#recordResults(box, parts, recorders);
        dispatch({ kind: "partsRelayed", attemptId, parts });
      },
      onEnd: () => {
        onEnded(attemptId);
        for (const record of recorders.values()) {
          record("failed");
        }
        dispatch({ kind: "attemptEnded", attemptId, outcome: MISSING_PART });
      },
    };
    const open = this.#send(box, relayRequest, listener, { firstFrameMs });
    onOpen(attemptId, open);
  }

  /**
   * Requests the separate parts of given leafs through a box.
   *
   * @param effect - The leafs and the top-k threshold of records to return.
   */
  sendSeparate({ box, calls, minRecord, deadlineAtMs }: RelaySeparatelyEffect): void {
    const { onEnded, onOpen, dispatch } = this.#options;
    const recorders = this.#createRecorders(calls);
    const pending = new Map(calls.map(({ service, attemptId }) => [service, attemptId]));
    const end = (service: string, outcome: AttemptOutcome): void => {
      const attemptId = pending.get(service);
      if (attemptId !== undefined) {
        pending.delete(service);
        onEnded(attemptId);
        dispatch({ kind: "attemptEnded", attemptId, outcome });
      }
    };
    for (const { leafId } of calls) {
      this.#options.addNote(leafId, `retried through ${box}`);
    }
    const namedCalls = calls.map(({ service, leafId }) => ({ service, leafId }));
    const commonFields = this.#commonFields(deadlineAtMs);
    const relayRequest: RelayRequest = {
      kind: "separate",
      ...commonFields,
      calls: namedCalls,
      minRecord,
    };
    const open = this.#send(box, relayRequest, {
      onParts: (parts) => {
        this.#recordResults(box, parts, recorders);
        for (const [service, reason] of parts.failed) {
          end(service, failedPartOutcome(reason));
        }
        for (const [service, signature] of parts.signatures) {
          const answer = { statusCode: 200, headers: {}, signature, body: parts.records };
          end(service, { kind: "answered", answer });
        }
      },
      onEnd: () => {
        for (const record of recorders.values()) {
          record("failed");
        }
        for (const service of [...pending.keys()]) {
          end(service, MISSING_PART);
        }
      },
    });
    for (const { attemptId } of calls) {
      onOpen(attemptId, open);
    }
  }

  #commonFields(deadlineAtMs: number) {
    const { forwarded, nowMs, terms } = this.#options;
    const { acceptedRoute, method, path, headers, body } = forwarded;
    const { allowedRegions } = acceptedRoute;
    const { target } = terms.route;
    const topRecords = target.kind === "gather" ? target.topRecords : 0;
    const leftMs = Math.max(1, Math.floor(deadlineAtMs - nowMs()));
    const request: LeafRequest = { requestId: terms.requestId, method, path, headers, body };
    return { ...request, allowedRegions, topRecords, leftMs };
  }

  #send(
    box: string,
    relayRequest: RelayRequest,
    listener: RelayListener,
    options: { readonly firstFrameMs?: number } = {},
  ): OpenCall {
    const member = this.#options.chosenBox(box);
    if (member === undefined) {
      queueMicrotask(() => listener.onEnd());
      return { abandon: () => undefined, withdraw: () => undefined };
    }
    return this.#options.relays.send(member, relayRequest, listener, options);
  }

  #createRecorders(
    calls: ReadonlyArray<{ readonly service: string; readonly leafId: string }>,
  ): CallRecorders {
    return new Map(
      calls.map(({ service, leafId }) => [service, this.#options.calls.recordRelayedCall(leafId)]),
    );
  }

  /** Reports the results to the quarantine; called before the request decides on further calls. */
  #reportToQuarantine({ signatures, failed }: RelayedParts): void {
    const { quarantine, forwarded } = this.#options;
    const { fingerprint } = forwarded;
    if (signatures.size > 0) {
      quarantine.recordAnswer(fingerprint);
    }
    for (const reason of failed.values()) {
      if (reason === "connection closed") {
        quarantine.recordCrash({ fingerprint, isTrial: false });
      } else if (reason === "blocked") {
        quarantine.applyRemoteBlock(fingerprint);
      }
    }
  }

  #recordResults(box: string, parts: RelayedParts, recorders: CallRecorders): void {
    for (const service of parts.signatures.keys()) {
      recorders.get(service)?.("answered");
    }
    for (const [service, reason] of parts.failed) {
      recorders.get(service)?.(FAILED_CALL_RESULTS[reason]);
    }
    this.#reportToQuarantine(parts);
    const reasons = [...parts.failed.values()];
    for (const reason of new Set(reasons)) {
      this.#options.addNote(box, `${reason} ${reasons.filter((each) => each === reason).length}`);
    }
  }
}

/** Functions by service that record how the call to its leaf ended. */
type CallRecorders = ReadonlyMap<string, ReturnType<LeafCalls["recordRelayedCall"]>>;
