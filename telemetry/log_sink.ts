/**
 * Destination of a program's log. Writes never block, and lines are dropped for a reader that is
 * slow or gone, so that the log neither takes memory nor delays the exit of the process.
 *
 * @module
 */
import { constants, fstatSync, openSync } from "node:fs";
import { Socket } from "node:net";
import sonicBoom from "sonic-boom";

/** Maximum number of bytes buffered for a slow log reader; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Number of bytes buffered before they are written, to save system calls. */
const MIN_WRITE_BYTES = 8_192;

/** Maximum time for which lines are buffered, in milliseconds. */
const FLUSH_DELAY_MS = 500;

/** Maximum duration of a flush, in milliseconds. */
const FLUSH_TIMEOUT_MS = 100;

/** Destination of a log. */
export interface LogSink {
  /** Stream for the logger. */
  readonly stream: NodeJS.WritableStream;
  /** Writes buffered lines; resolves to `false` if the log reader did not accept them in time. */
  flush(): Promise<boolean>;
}

/** Options of {@link createLogSink}. */
export interface LogSinkOptions {
  /** File descriptor of the log. */
  readonly fd: number;
  /** Called when lines are dropped or cannot be written. */
  readonly onDrop: () => void;
}

/**
 * Creates the destination of a log.
 *
 * @param options - File descriptor, and callback for dropped lines.
 * @returns The destination.
 */
export function createLogSink({ fd, onDrop }: LogSinkOptions): LogSink {
  const sink = new sonicBoom.SonicBoom({
    fd: openNonBlocking(fd),
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  sink.on("drop", onDrop);
  sink.on("error", onDrop);
  return {
    stream: withDelayedFlush(sink) as unknown as NodeJS.WritableStream,
    flush: () => {
      return new Promise((resolve) => {
        // A blocked log reader must not delay the exit of the process.
        setTimeout(() => resolve(false), FLUSH_TIMEOUT_MS);
        sink.flush((error) => resolve(error === undefined || error === null));
      });
    },
  };
}

/**
 * Returns a descriptor of a log that is written without blocking. A blocked write would keep a
 * thread of Node's pool, and the process cannot exit while one of these threads is blocked.
 */
function openNonBlocking(fd: number): number {
  const stats = fstatSync(fd);
  if (stats.isFIFO()) {
    return reopenPipe(fd);
  }
  if (stats.isSocket()) {
    setNonBlocking(fd);
  }
  return fd;
}

/**
 * Opens a pipe again in non-blocking mode. The mode of the given descriptor is shared with all
 * processes that inherited it, and a Node process sets it to blocking when it starts another.
 */
function reopenPipe(fd: number): number {
  try {
    return openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY | constants.O_NONBLOCK);
  } catch {
    setNonBlocking(fd);
    return fd;
  }
}

/** Sets the mode of a descriptor by opening a stream on it; the stream itself is not used. */
function setNonBlocking(fd: number): void {
  try {
    new Socket({ fd, readable: false, writable: true }).unref();
  } catch {
    // Not a kind of socket that Node knows; it is written as it is.
  }
}

/** Returns a stream that flushes the sink some time after a write, without a periodic timer. */
function withDelayedFlush(sink: sonicBoom.SonicBoom): { write(line: string): void } {
  let isFlushDue = false;
  function flush(): void {
    isFlushDue = false;
    sink.flush();
  }
  return {
    write: (line) => {
      sink.write(line);
      if (!isFlushDue) {
        isFlushDue = true;
        setTimeout(flush, FLUSH_DELAY_MS).unref();
      }
    },
  };
}
