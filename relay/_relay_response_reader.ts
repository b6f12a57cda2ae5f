/**
 * Reads what another box answers to one order.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import type { RelayedParts } from "../request/mod.js";
import { RelayFrameReader } from "./relay_frames.js";
import { type RelayRequest, servicesOf } from "./relay_request.js";

/** Told what comes of an order. */
export interface RelayListener {
  onParts(parts: RelayedParts): void;
  /** Told once when nothing more will come. */
  onEnd(): void;
}

type Noted = "answered" | "failed" | "abandoned";

/** Told what becomes of an order, beside the one who gave it. */
export interface RelayObserver {
  /** Told once whether the box answers. */
  onResult(result: Noted): void;
  /** Told how long calls wait at the leafs near the box, in milliseconds, when it answers first. */
  onQueue(queueMs: number): void;
  /** Told once when the order is over. */
  onEnded(): void;
}

/** Reads the frames of one order; the box counts as answering from its first one on. */
export class RelayResponseReader implements Dispatcher.DispatchHandler {
  readonly #listener: RelayListener;
  readonly #watcher: RelayObserver;
  readonly #frames: RelayFrameReader;
  #controller: Dispatcher.DispatchController | undefined;
  #noted = false;
  #ended = false;

  /**
   * @param order - The order.
   * @param listener - Told what comes of it.
   * @param watcher - Told how the box behaves.
   */
  constructor(order: RelayRequest, listener: RelayListener, watcher: RelayObserver) {
    this.#listener = listener;
    this.#watcher = watcher;
    this.#frames = new RelayFrameReader(servicesOf(order));
  }

  /** Whether the box has answered anything. */
  get hasResponded(): boolean {
    return this.#noted;
  }

  /** Ends the order for the one who gave it. */
  abandon(): void {
    this.#noteOnce("abandoned");
    this.#close();
    this.#controller?.abort(new Error("abandoned"));
  }

  /** Ends the order because nothing more is to be expected of its connection. */
  fail(): void {
    this.#noteOnce("failed");
    this.#end();
    this.#controller?.abort(new Error("broken off"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#ended) {
      controller.abort(new Error("abandoned"));
    }
  }

  onResponseStart(): void {
    // The frames tell all there is.
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    for (const parts of this.#frames.read(chunk)) {
      if (!this.#noted) {
        this.#watcher.onQueue(parts.queueMs ?? 0);
      }
      this.#noteOnce("answered");
      this.#listener.onParts(parts);
    }
  }

  onResponseEnd(): void {
    this.#noteOnce("answered");
    this.#end();
  }

  onResponseError(): void {
    this.#noteOnce("failed");
    this.#end();
  }

  #noteOnce(result: Noted): void {
    if (!this.#noted) {
      this.#noted = true;
      this.#watcher.onResult(result);
    }
  }

  #end(): void {
    if (this.#close()) {
      this.#listener.onEnd();
    }
  }

  /** Tells whether it was open until now. */
  #close(): boolean {
    const wasOpen = !this.#ended;
    this.#ended = true;
    if (wasOpen) {
      this.#watcher.onEnded();
    }
    return wasOpen;
  }
}
