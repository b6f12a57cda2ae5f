/**
 * A full pipe that nobody reads, as the log of a process whose reader is gone or stands still.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, readSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Bytes per write while the pipe is filled. */
const FILL_BYTES = 4_096;

/** A full pipe. */
export interface UnreadPipe {
  /** File descriptor to write to, without `O_NONBLOCK` as a shell would hand it over. */
  readonly fd: number;
  /**
   * Reads some of what is in it, as a slow reader does; the rest stays.
   *
   * @param sizeBytes - Maximum number of bytes to read.
   */
  read(sizeBytes: number): void;
  /** Closes the pipe. */
  close(): void;
}

/**
 * Creates a pipe and fills it, so that the next write to it blocks.
 *
 * @returns The pipe.
 */
export function createUnreadPipe(): UnreadPipe {
  const folder = mkdtempSync(join(tmpdir(), "rackvale-pipe-"));
  const path = join(folder, "log");
  spawnSync("mkfifo", [path]);
  // Opened for reading as well, because opening for writing only waits for a reader.
  const fd = openSync(path, constants.O_RDWR);
  const fillFd = openSync(path, constants.O_WRONLY | constants.O_NONBLOCK);
  fill(fillFd);
  closeSync(fillFd);
  const readFd = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
  return {
    fd,
    read: (sizeBytes) => readSome(readFd, sizeBytes),
    close: () => {
      closeSync(fd);
      closeSync(readFd);
      rmSync(folder, { recursive: true });
    },
  };
}

function readSome(fd: number, sizeBytes: number): void {
  try {
    readSync(fd, Buffer.alloc(sizeBytes));
  } catch {
    // The pipe is empty.
  }
}

function fill(fd: number): void {
  for (let sizeBytes = FILL_BYTES; sizeBytes > 0; ) {
    try {
      writeSync(fd, Buffer.alloc(sizeBytes));
    } catch {
      sizeBytes = Math.floor(sizeBytes / 2);
    }
  }
}
