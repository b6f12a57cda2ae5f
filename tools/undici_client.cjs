/**
 * The modules of undici that the box daemon uses. The bundle includes them instead of the complete
 * library, to shorten the daemon's start.
 *
 * @module
 */
const Client = require("undici/lib/dispatcher/client");
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");
const buildConnector = require("undici/lib/core/connect");
const request = require("undici/lib/api/api-request");

Dispatcher.prototype.request = request;

module.exports = { buildConnector, Client, Pool };
