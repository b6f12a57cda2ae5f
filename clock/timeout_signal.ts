/**
 * Timeouts of requests that take effect only after the process has read what has already arrived.
 *
 * @module
 */

/**
 * Returns a signal that aborts a request after a timeout. A process that was stalled reads the
 * answers that have arrived before it aborts their requests, unlike with `AbortSignal.timeout()`.
 *
 * @param timeoutMs - Timeout, in milliseconds.
 * @returns The signal.
 */
export function timeoutSignal(timeoutMs: number): AbortSignal {
  const controller = new AbortController();
  const abort = (): void => {
    const message = `Cannot complete the request: no answer within ${Math.round(timeoutMs)} ms`;
    controller.abort(new DOMException(message, "TimeoutError"));
  };
  setTimeout(() => setImmediate(abort), timeoutMs).unref();
  return controller.signal;
}
