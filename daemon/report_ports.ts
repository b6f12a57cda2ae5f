/**
 * Reports the ports that a daemon listens on to the process that started it.
 *
 * @module
 */

/**
 * Writes the ports to standard output, as one line of JSON. A reader that is gone is ignored.
 *
 * @param listening - Ports by name.
 */
export function reportPorts(listening: Readonly<Record<string, number>>): void {
  process.stdout.on("error", () => undefined);
  process.stdout.write(`${JSON.stringify({ listening })}\n`);
}
