/**
 * Relaying of leaf calls between regions: a box calls its local leafs on behalf of boxes in other
 * regions.
 *
 * @module
 */

export type { ReceivedRelayRequest, RelayServerOptions } from "./_relay.js";
export type { RelayListener } from "./_relay_response_reader.js";
export * from "./relay_calls.js";
export * from "./relay_request.js";
export * from "./relay_server.js";
export { TransitDelays } from "./transit_delays.js";
