/**
 * Statistics of measured values.
 *
 * @module
 */

/** Percentiles of durations, milliseconds. */
export type DurationPercentiles = {
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/**
 * Finds a percentile of values in any order.
 *
 * @example
 * ```ts
 * percentile([3, 1, 2], 0.5); // 2
 * ```
 */
export function percentile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}

/**
 * Describes durations.
 *
 * @example
 * ```ts
 * describeTimes([1, 2, 3]).p50Ms; // 2
 * ```
 */
export function summarizeDurations(times: readonly number[]): DurationPercentiles {
	return {p50Ms: percentile(times, 0.5), p99Ms: percentile(times, 0.99), maxMs: percentile(times, 1)};
}

/**
 * Returns the mean and the standard deviation.
 *
 * @example
 * ```ts
 * describeSpread([1, 3]); // {mean: 2, deviation: 1}
 * ```
 */
export function computeSpread(values: readonly number[]): {readonly mean: number; readonly deviation: number} {
	const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
	const variance = values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / Math.max(1, values.length);
	return {mean, deviation: Math.sqrt(variance)};
}

export type LineFit = {
	readonly slope: number;
	readonly intercept: number;
	/** Largest distance of a point from the line, as a share of the largest value. */
	readonly residual: number;
};

/**
 * Fits a line through points by least squares.
 *
 * @example
 * ```ts
 * fitLine([[1, 3], [2, 5]]); // {slope: 2, intercept: 1, residual: 0}
 * ```
 */
export function fitLine(points: ReadonlyArray<readonly [number, number]>): LineFit {
	const count = points.length;
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.EPSILON);
	const residual = Math.max(...points.map(([x, y]) => Math.abs(y - (intercept + (slope * x))))) / largest;
	return {slope, intercept, residual};
}

/**
 * Rounds to four significant digits.
 *
 * @example
 * ```ts
 * round(0.0123456); // 0.01235
 * ```
 */
export function roundToFourDigits(value: number): number {
	return Number(value.toPrecision(4));
}
