/**
 * Readers of the boxes' logs: prompt, slow, or none at all.
 *
 * @module
 */
import { createUnreadPipe } from "../standins/unread_pipe.js";

/** How a log is read. */
export const LOG_READERS = ["prompt", "slow", "none"] as const;

/** How the log of a box is read. */
export type LogReader = (typeof LOG_READERS)[number];

/** Where a box writes its log. */
export interface BoxLog {
  readonly reader: LogReader;
  /** File descriptor for the box; `undefined` for a pipe that is read promptly. */
  readonly fd: number | undefined;
  /** Closes the log. */
  close(): void;
}

/** Bytes that a slow reader reads in each interval, and the interval in milliseconds. */
const SLOW_READ = { sizeBytes: 2_048, intervalMs: 100 } as const;

const OPENERS: Readonly<Record<LogReader, () => Omit<BoxLog, "reader">>> = {
  prompt: () => ({ fd: undefined, close: () => undefined }),
  none: () => createUnreadPipe(),
  slow: () => {
    const pipe = createUnreadPipe();
    const timer = setInterval(() => pipe.read(SLOW_READ.sizeBytes), SLOW_READ.intervalMs);
    const close = (): void => {
      clearInterval(timer);
      pipe.close();
    };
    return { fd: pipe.fd, close };
  },
};

/**
 * Opens a log.
 *
 * @param reader - How it is read.
 * @returns The log.
 */
export function openBoxLog(reader: LogReader): BoxLog {
  return { ...OPENERS[reader](), reader };
}
