/**
 * Checks from which the validation of datagrams is composed.
 *
 * @module
 */

/** Reports whether a value is valid. */
export type Check = (value: unknown) => boolean;

/** A check for each value of a list, in the same order. */
export type Checks<Fields extends ReadonlyArray<unknown>> = {
  readonly [Index in keyof Fields]: Check;
};

/** Reports whether data is a string. */
export const isString: Check = (value) => typeof value === "string";
/** Reports whether data is a finite number. */
export const isNumber: Check = (value) => Number.isFinite(value);
/** Reports whether data is a safe integer above 0. */
export const isCount: Check = (value) => Number.isSafeInteger(value) && Number(value) > 0;
/** Reports whether data is a safe integer that is not negative. */
export const isCountOrZero: Check = (value) => value === 0 || isCount(value);

/** Reports whether data is a list of strings. */
export const isTextList: Check = (value) => Array.isArray(value) && value.every(isString);

/**
 * Reports whether data is a list of lists with valid values.
 *
 * @param data - Parsed data.
 * @param checks - Checks of the values of each list.
 * @returns Whether each value is valid; additional values are ignored.
 */
export function isListOf(data: unknown, checks: ReadonlyArray<Check>): boolean {
  return Array.isArray(data) && data.every((item) => matches(item, checks));
}

/**
 * Reports whether data is a list with valid values.
 *
 * @param data - Parsed data.
 * @param checks - Checks of the values.
 * @returns Whether each value is valid; additional values are ignored.
 */
export function matches(data: unknown, checks: ReadonlyArray<Check>): boolean {
  return Array.isArray(data) && checks.every((check, index) => check(data[index]));
}
