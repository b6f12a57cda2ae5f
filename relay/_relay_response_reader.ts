/**
 * Reads the response to one relay request.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import type { RelayedParts } from "../request/mod.js";
import { RelayFrameReader } from "./relay_frames.js";
import { type RelayRequest, servicesOf } from "./relay_request.js";

/** Receives the parts of a relay request. */
export interface RelayListener {
  onParts(parts: RelayedParts): void;
  /** Called once when no more parts will arrive. */
  onEnd(): void;
}

type RelayResult = "answered" | "failed" | "abandoned";

/** Observes the progress of a relay request, to track the health of the relaying box. */
export interface RelayObserver {
  /** Called once with the result of the request. */
  onResult(result: RelayResult): void;
  /**
   * Called with the queueing delay at the box's local leafs, in milliseconds, as reported in the
   * first frame.
   */
  onQueue(queueMs: number): void;
  /** Called if the box has rejected the request without calling leafs. */
  onRejected(): void;
  /** Called once when the request has ended. */
  onEnded(): void;
}

/** Status of a response with frames. */
const OK_STATUS = 200;

/** Reads the frames of one response. The box is considered responsive from the first frame. */
export class RelayResponseReader implements Dispatcher.DispatchHandler {
  readonly #listener: RelayListener;
  readonly #observer: RelayObserver;
  readonly #services: ReadonlyArray<string>;
  readonly #frames: RelayFrameReader;
  #controller: Dispatcher.DispatchController | undefined;
  #hasResult = false;
  #isRejected = false;
  #ended = false;

  /**
   * @param request - The relay request.
   * @param listener - Receives the results.
   * @param observer - Observes the progress.
   */
  constructor(request: RelayRequest, listener: RelayListener, observer: RelayObserver) {
    this.#listener = listener;
    this.#observer = observer;
    this.#services = servicesOf(request);
    this.#frames = new RelayFrameReader(this.#services);
  }

  /** Whether the request has been answered, has failed or was abandoned. */
  get hasResult(): boolean {
    return this.#hasResult;
  }

  /** Abandons the request on behalf of its sender. */
  abandon(): void {
    this.#setResult("abandoned");
    this.#close();
    this.#controller?.abort(new Error("abandoned"));
  }

  /** Fails the request, as its connection is unresponsive or its deadline has passed. */
  fail(): void {
    this.#setResult("failed");
    this.#end();
    this.#controller?.abort(new Error("relay request aborted"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#ended) {
      controller.abort(new Error("abandoned"));
    }
  }

  onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.#isRejected = statusCode !== OK_STATUS;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isRejected) {
      return;
    }
    for (const parts of this.#frames.read(chunk)) {
      if (!this.#hasResult) {
        this.#observer.onQueue(parts.queueMs ?? 0);
      }
      this.#setResult("answered");
      this.#listener.onParts(parts);
    }
  }

  onResponseEnd(): void {
    this.#setResult("answered");
    if (this.#isRejected && !this.#ended) {
      this.#observer.onRejected();
      const failed = new Map(this.#services.map((service) => [service, "declined"] as const));
      this.#listener.onParts({ signatures: new Map(), records: Buffer.alloc(0), failed });
    }
    this.#end();
  }

  onResponseError(): void {
    this.#setResult("failed");
    this.#end();
  }

  #setResult(result: RelayResult): void {
    if (!this.#hasResult) {
      this.#hasResult = true;
      this.#observer.onResult(result);
    }
  }

  #end(): void {
    if (this.#close()) {
      this.#listener.onEnd();
    }
  }

  /** Closes the request; returns whether it was open. */
  #close(): boolean {
    const wasOpen = !this.#ended;
    this.#ended = true;
    if (wasOpen) {
      this.#observer.onEnded();
    }
    return wasOpen;
  }
}
