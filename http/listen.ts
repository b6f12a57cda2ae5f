/**
 * Starts HTTP servers.
 *
 * @module
 */
import type { Server } from "node:http";

/** Address and port to listen on. */
export interface ListenOptions {
  readonly address: string;
  /** TCP port; 0 for any free port. */
  readonly port: number;
}

/**
 * Binds a server and waits until it accepts connections.
 *
 * @param server - The server.
 * @param options - Address and port to listen on.
 * @returns The port.
 * @throws Error if the address cannot be bound.
 */
export function listen(server: Server, { address, port }: ListenOptions): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      server.off("error", reject);
      const bound = server.address();
      resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
    });
  });
}
