/**
 * Starts HTTP servers.
 *
 * @module
 */
import type { Server } from "node:http";
import type { SocketAddress } from "../platform/mod.js";

/**
 * Binds a server and waits until it accepts connections.
 *
 * @param server - The server.
 * @param socketAddress - Address and port to listen on.
 * @throws Error if the address cannot be bound.
 */
export async function listen(server: Server, { address, port }: SocketAddress): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
