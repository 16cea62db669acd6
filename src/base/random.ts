/**
 * Random numbers. State machines take the generator as an argument, so that a seed reproduces a whole run.
 *
 * @module
 */

/** Returns a number from 0 (included) to 1 (excluded). */
export type Random = () => number;

/* eslint-disable no-bitwise, operator-assignment -- mulberry32 is defined with bitwise operations */
/**
 * Creates a seeded pseudorandom number generator (mulberry32).
 *
 * @example
 * ```ts
 * const random = createRandom(7);
 * random() === createRandom(7)(); // true
 * ```
 */
export function createRandom(seed: number): Random {
	let state = Math.trunc(seed) % 0x1_00_00_00_00;
	return () => {
		state = (state + 0x6D_2B_79_F5) % 0x1_00_00_00_00;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_00_00_00_00;
	};
}

/* eslint-enable no-bitwise, operator-assignment */

/**
 * Returns a random element, or `undefined` if the list is empty.
 *
 * @example
 * ```ts
 * pick(['a', 'b'], () => 0.9); // 'b'
 * ```
 */
export function pick<Element>(elements: readonly Element[], random: Random): Element | undefined {
	return elements[Math.floor(random() * elements.length)];
}

/**
 * Returns a copy of the list in random order (Fisher–Yates).
 *
 * @example
 * ```ts
 * shuffle([1, 2, 3], createRandom(1)).length; // 3
 * ```
 */
export function shuffle<Element>(elements: readonly Element[], random: Random): Element[] {
	const result = [...elements];
	for (let index = result.length - 1; index > 0; index--) {
		const other = Math.floor(random() * (index + 1));
		[result[index], result[other]] = [result[other]!, result[index]!];
	}

	return result;
}
