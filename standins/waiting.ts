/**
 * Waits for a condition or for a delay.
 *
 * @module
 */
const TIMEOUT_MS = 30_000;
const CHECK_INTERVAL_MS = 50;

/**
 * Waits until a condition is met.
 *
 * @param isMet - Checks the condition; a rejection counts as not met.
 * @param description - Description of the condition, for the error message.
 * @param options - Interval of the checks, in milliseconds; default 50.
 * @throws {Error} If the condition is not met within 30 seconds.
 */
export async function waitUntil(
  isMet: () => Promise<boolean>,
  description: string,
  { intervalMs = CHECK_INTERVAL_MS }: { readonly intervalMs?: number } = {},
): Promise<void> {
  const deadlineAtMs = performance.now() + TIMEOUT_MS;
  while (performance.now() < deadlineAtMs) {
    if (await isMet().catch(() => false)) {
      return;
    }
    await delay(intervalMs);
  }
  throw new Error(`Timed out waiting until ${description}`);
}

/**
 * Waits for a delay.
 *
 * @param delayMs - Delay in milliseconds.
 */
export function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
