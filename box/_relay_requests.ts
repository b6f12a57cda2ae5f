/**
 * Has other boxes ask leafs for one request, and turns what they hand over into events of it.
 *
 * @module
 */
import type { LeafCalls, OpenCall } from "../calls/mod.js";
import type { Member } from "../model/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { RelayCalls, RelayRequest } from "../relay/mod.js";
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
type AskThroughEffect = Extract<RequestEffect, { readonly kind: "askThrough" }>;

/** What the orders of one request need. */
export interface RelayRequestsOptions {
  readonly nowMs: () => number;
  readonly calls: LeafCalls;
  readonly quarantine: Pick<Quarantine, "applyRemoteBlock" | "recordAnswer" | "recordCrash">;
  readonly relays: RelayCalls;
  readonly terms: RequestTerms;
  readonly forwarded: ForwardedRequest;
  /** Finds a box that was chosen for the request. */
  readonly chosenBox: (box: string) => Member | undefined;
  readonly dispatch: (event: RequestEvent) => void;
  readonly addNote: (asked: string, what: string) => void;
  /** Told of each attempt that is under way, and when it has ended. */
  readonly onOpen: (attemptId: number, call: OpenCall) => void;
  readonly onEnded: (attemptId: number) => void;
}

const MISSING = failedPartOutcome("failed");

/** What a lost part says of the leaf that was expected to be asked. */
const LOST_RESULTS = {
  declined: "full",
  refused: "full",
  failed: "failed",
  "connection lost": "failed",
  blocked: "abandoned",
} as const;

/** Orders of one request to other boxes. */
export class RelayRequests {
  readonly #options: RelayRequestsOptions;

  /**
   * @param options - What the orders need.
   */
  constructor(options: RelayRequestsOptions) {
    this.#options = options;
  }

  /**
   * Has a box ask leafs near it and merge their parts.
   *
   * @param effect - Which shards, and how long it may wait.
   */
  sendMerged({ attemptId, box, calls, deadlineAtMs, waitLimitMs: patienceMs }: RelayEffect): void {
    const { onEnded, onOpen, dispatch: take } = this.#options;
    const notes = this.#noteLeafs(calls);
    const services = calls.map(({ service }) => service);
    const request = this.#request(deadlineAtMs);
    const waitMs = Math.ceil(patienceMs);
    const order: RelayRequest = { kind: "merged", ...request, services, waitLimitMs: waitMs };
    const open = this.#send(box, order, {
      onParts: (parts) => {
        this.#noteParts(box, parts, notes);
        take({ kind: "partsRelayed", attemptId, parts });
      },
      onEnd: () => {
        onEnded(attemptId);
        for (const note of notes.values()) {
          note("failed");
        }
        take({ kind: "attemptEnded", attemptId, outcome: MISSING });
      },
    });
    onOpen(attemptId, open);
  }

  /**
   * Has a box ask the leafs named, each part by itself.
   *
   * @param effect - Which leafs, and which records are still wanted.
   */
  sendSeparate({ box, calls, minRecord: leastRecord, deadlineAtMs }: AskThroughEffect): void {
    const { onEnded, onOpen, dispatch: take } = this.#options;
    const notes = this.#noteLeafs(calls);
    const waiting = new Map(calls.map(({ service, attemptId }) => [service, attemptId]));
    const end = (service: string, outcome: AttemptOutcome): void => {
      const attemptId = waiting.get(service);
      if (attemptId !== undefined) {
        waiting.delete(service);
        onEnded(attemptId);
        take({ kind: "attemptEnded", attemptId, outcome });
      }
    };
    for (const { leafId } of calls) {
      this.#options.addNote(leafId, `asked again through ${box}`);
    }
    const named = calls.map(({ service, leafId }) => ({ service, leafId }));
    const request = this.#request(deadlineAtMs);
    const order: RelayRequest = {
      kind: "separate",
      ...request,
      calls: named,
      minRecord: leastRecord,
    };
    const open = this.#send(box, order, {
      onParts: (parts) => {
        this.#noteParts(box, parts, notes);
        for (const [service, why] of parts.failed) {
          end(service, failedPartOutcome(why));
        }
        for (const [service, signature] of parts.signatures) {
          const answer = { statusCode: 200, headers: {}, signature, body: parts.records };
          end(service, { kind: "answered", answer });
        }
      },
      onEnd: () => {
        for (const note of notes.values()) {
          note("failed");
        }
        for (const service of [...waiting.keys()]) {
          end(service, MISSING);
        }
      },
    });
    for (const { attemptId } of calls) {
      onOpen(attemptId, open);
    }
  }

  #request(deadlineAtMs: number) {
    const { forwarded, nowMs, terms } = this.#options;
    const { method, path, headers } = forwarded;
    const { target } = terms.route;
    const topRecords = target.kind === "gather" ? target.topRecords : 0;
    const leftMs = Math.max(1, Math.floor(deadlineAtMs - nowMs()));
    return { requestId: terms.requestId, method, path, headers, topRecords, leftMs } as const;
  }

  #send(
    box: string,
    order: RelayRequest,
    listener: { onParts(parts: RelayedParts): void; onEnd(): void },
  ): OpenCall {
    const member = this.#options.chosenBox(box);
    if (member === undefined) {
      queueMicrotask(() => listener.onEnd());
      return { abandon: () => undefined, withdraw: () => undefined };
    }
    return this.#options.relays.send(member, order, listener);
  }

  #noteLeafs(
    calls: ReadonlyArray<{ readonly service: string; readonly leafId: string }>,
  ): LeafNotes {
    return new Map(
      calls.map(({ service, leafId }) => [service, this.#options.calls.noteRelayed(leafId)]),
    );
  }

  /** What the parts say of the query, before it is decided what is asked next. */
  #noteForQuery({ signatures, failed: lost }: RelayedParts): void {
    const { quarantine, forwarded } = this.#options;
    const { fingerprint } = forwarded;
    if (signatures.size > 0) {
      quarantine.recordAnswer(fingerprint);
    }
    for (const why of lost.values()) {
      if (why === "connection lost") {
        quarantine.recordCrash({ fingerprint, isTrial: false });
      } else if (why === "blocked") {
        quarantine.applyRemoteBlock(fingerprint);
      }
    }
  }

  #noteParts(box: string, parts: RelayedParts, notes: LeafNotes): void {
    for (const service of parts.signatures.keys()) {
      notes.get(service)?.("answered");
    }
    for (const [service, why] of parts.failed) {
      notes.get(service)?.(LOST_RESULTS[why]);
    }
    this.#noteForQuery(parts);
    const reasons = [...parts.failed.values()];
    for (const why of new Set(reasons)) {
      this.#options.addNote(box, `${why} ${reasons.filter((each) => each === why).length}`);
    }
  }
}

/** Notes how the call to the leaf of a service ended. */
type LeafNotes = ReadonlyMap<string, ReturnType<LeafCalls["noteRelayed"]>>;
