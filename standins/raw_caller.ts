/**
 * Callers that write HTTP to a socket themselves, so that they decide when a connection is opened,
 * when each byte is sent, and see how the connection ends.
 *
 * @module
 */
import { connect, type Socket } from "node:net";

/** What became of a request. */
export interface RawResponse {
  /** Status code; 0 if the connection closed before the head was complete. */
  readonly statusCode: number;
  /** Whether head and body arrived completely. */
  readonly isComplete: boolean;
  /** Whether the response announces that the connection closes. */
  readonly closes: boolean;
  /** Head of the response. */
  readonly head: string;
  /** Number of body bytes. */
  readonly bodyBytes: number;
  /** What arrived of the body. */
  readonly body: Buffer;
  /** Number of bytes that arrived after the end of the body. */
  readonly excessBytes: number;
}

/** An open connection of a caller. */
export class RawConnection {
  readonly #socket: Socket;
  #received: Buffer = Buffer.alloc(0);
  #isClosed = false;
  #onChange: () => void = () => undefined;

  /**
   * @param where - Address and port.
   */
  constructor({ address, port }: { readonly address: string; readonly port: number }) {
    this.#socket = connect({ host: address, port });
    this.#socket.on("data", (chunk: Buffer) => {
      this.#received = Buffer.concat([this.#received, chunk]);
      this.#onChange();
    });
    this.#socket.on("error", () => undefined);
    this.#socket.on("close", () => {
      this.#isClosed = true;
      this.#onChange();
    });
  }

  /** Number of bytes that have arrived since the end of the last response. */
  get receivedBytes(): number {
    return this.#received.length;
  }

  /** Whether the connection has ended. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Resolves once the connection is established.
   */
  async opened(): Promise<void> {
    if (this.#socket.connecting) {
      await new Promise<void>((resolve) => {
        this.#socket.once("connect", resolve);
        this.#socket.once("close", resolve);
      });
    }
  }

  /**
   * Writes bytes.
   *
   * @param bytes - The bytes, or text in Latin-1.
   */
  write(bytes: string | Uint8Array): void {
    this.#socket.write(typeof bytes === "string" ? Buffer.from(bytes, "latin1") : bytes);
  }

  /** Stops reading, so that the other side's window fills. */
  pause(): void {
    this.#socket.pause();
  }

  /** Reads on. */
  resume(): void {
    this.#socket.resume();
  }

  /** Closes the connection. */
  close(): void {
    this.#socket.destroy();
  }

  /**
   * Waits for the next response.
   *
   * @returns The response; incomplete if the connection closes before its end.
   */
  async response(): Promise<RawResponse> {
    for (;;) {
      const response = parseResponse(this.#received);
      if (response.isComplete || this.#isClosed) {
        this.#received = this.#received.subarray(this.#received.length - response.excessBytes);
        return response;
      }
      await new Promise<void>((resolve) => {
        this.#onChange = resolve;
      });
    }
  }
}

/** Content of {@linkcode formatGet}. */
export interface RawRequest {
  readonly path: string;
  readonly requestId: string;
  readonly host?: string;
  /** Time the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
}

/**
 * Formats a GET request.
 *
 * @param request - Path, id and deadline.
 * @returns The request as it is sent.
 */
export function formatGet({
  path,
  requestId,
  host = "h.example",
  deadlineMs = 2_000,
}: RawRequest): string {
  return [
    `GET ${path} HTTP/1.1`,
    `Host: ${host}`,
    `X-Request-Id: ${requestId}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    "",
    "",
  ].join("\r\n");
}

const HEAD_END = "\r\n\r\n";

const NO_RESPONSE: RawResponse = {
  ...{ statusCode: 0, isComplete: false, closes: false, head: "" },
  ...{ bodyBytes: 0, body: Buffer.alloc(0), excessBytes: 0 },
};

function parseResponse(received: Buffer): RawResponse {
  const headBytes = received.indexOf(HEAD_END);
  if (headBytes < 0) {
    return NO_RESPONSE;
  }
  const head = received.subarray(0, headBytes).toString("latin1");
  const lengthBytes = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? Number.NaN);
  const bodyAt = headBytes + HEAD_END.length;
  const isComplete = received.length - bodyAt >= lengthBytes;
  const body = received.subarray(bodyAt, isComplete ? bodyAt + lengthBytes : received.length);
  return {
    statusCode: Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0),
    isComplete,
    closes: /^connection: *close/im.test(head),
    head,
    ...{ bodyBytes: body.length, body },
    excessBytes: received.length - bodyAt - body.length,
  };
}
