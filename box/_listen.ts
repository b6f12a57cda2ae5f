/**
 * Opens a server's port.
 *
 * @module
 */
import type { Server } from "node:http";
import type { SocketAddress } from "../platform/mod.js";

/**
 * Listens at an address.
 *
 * @param server - The server.
 * @param where - Address and port.
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
