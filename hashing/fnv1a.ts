/**
 * A 32-bit text hash that is stable across processes.
 *
 * @module
 */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/**
 * Hashes text to 32 bits with FNV-1a and a finalizer, as plain FNV-1a distributes short names poorly.
 *
 * Constants: Fowler, Noll and Vo. Finalizer: the 32-bit one of MurmurHash3.
 *
 * @param text - Text, hashed by UTF-16 code units.
 * @returns An unsigned 32-bit number.
 */
export function fnv1a(text: string): number {
  let hash = OFFSET_BASIS;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
