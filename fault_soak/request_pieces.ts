/**
 * Formats requests as the pieces in which a caller writes them: whole, with the head or the body
 * split, or with a chunked body.
 *
 * @module
 */
import type { SeededRandom } from "./seeded_random.js";

/** A request of a caller that writes to its socket itself. */
export interface RawRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly host: string;
  readonly requestId: string;
  readonly deadlineMs: number;
  readonly body: Buffer | undefined;
}

/** Ways to write a request. */
export const REQUEST_SHAPES = ["whole", "splitHead", "splitBody", "chunked"] as const;

/** A way to write a request. */
export type RequestShape = (typeof REQUEST_SHAPES)[number];

type Formatter = (request: RawRequest, random: SeededRandom) => ReadonlyArray<Buffer>;

const CHUNKED = "Transfer-Encoding: chunked";

const FORMATTERS: Readonly<Record<RequestShape, Formatter>> = {
  whole: (request) => [formatWhole(request)],
  splitHead: (request, random) => {
    const { length } = formatHead(request, lengthHeader(request));
    return splitAt(formatWhole(request), random.int(1, length - 1));
  },
  splitBody: (request, random) => {
    const { body } = request;
    const head = formatHead(request, lengthHeader(request));
    if (body === undefined || body.length < 2) {
      return FORMATTERS.splitHead(request, random);
    }
    return [head, ...splitAt(body, random.int(1, body.length - 1))];
  },
  chunked: (request, random) => {
    const { body } = request;
    if (body === undefined || body.length < 2) {
      return FORMATTERS.splitHead(request, random);
    }
    const [first = body, second = body] = splitAt(body, random.int(1, body.length - 1));
    const head = formatHead(request, CHUNKED);
    return [Buffer.concat([head, formatChunk(first)]), formatChunk(second), LAST_CHUNK];
  },
};

/**
 * Formats a request.
 *
 * @param request - The request.
 * @param shape - How it is written; a request without a body has its head split in place of it.
 * @param random - Where it is split.
 * @returns The pieces, in order.
 */
export function requestPieces(
  request: RawRequest,
  shape: RequestShape,
  random: SeededRandom,
): ReadonlyArray<Buffer> {
  return FORMATTERS[shape](request, random);
}

const LAST_CHUNK = Buffer.from("0\r\n\r\n");

function formatWhole(request: RawRequest): Buffer {
  const head = formatHead(request, lengthHeader(request));
  return Buffer.concat([head, request.body ?? Buffer.alloc(0)]);
}

function lengthHeader({ method, body }: RawRequest): string {
  return method === "GET" ? "" : `Content-Length: ${body?.length ?? 0}`;
}

function formatHead(request: RawRequest, bodyHeader: string): Buffer {
  const { method, path, host, requestId, deadlineMs } = request;
  const headers = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `X-Request-Id: ${requestId}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    ...(bodyHeader === "" ? [] : [bodyHeader]),
  ];
  return Buffer.from(`${headers.join("\r\n")}\r\n\r\n`, "latin1");
}

function formatChunk(bytes: Buffer): Buffer {
  const size = Buffer.from(`${bytes.length.toString(16)}\r\n`);
  return Buffer.concat([size, bytes, Buffer.from("\r\n")]);
}

function splitAt(bytes: Buffer, index: number): ReadonlyArray<Buffer> {
  return [bytes.subarray(0, index), bytes.subarray(index)];
}
