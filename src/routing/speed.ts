/**
 * Learns how fast the engines of a pool work from the times of completed requests.
 *
 * It answers pools whose hardware and model are not known in advance: the estimates start from a prior that is far from
 * most pools and follow the measurements within about a hundred requests.
 *
 * @module
 */
import {PoolReuse} from './reuse.js';

/** The part of a prompt that an engine prefills. */
export type PrefillSize = {
	/** Tokens to prefill. */
	readonly uncachedTokens: number;
	/** Tokens before them whose KV cache the engine has. */
	readonly cachedTokens: number;
};

/** A measured prefill. */
export type PrefillSample = PrefillSize & {
	/** Measured time, milliseconds. */
	readonly elapsedMs: number;
	/** Whether the time includes the overhead, as it does if the engine was idle when the request arrived. */
	readonly includesOverhead: boolean;
};

/** Time that a prefill takes: coefficients of a linear model. */
export type PrefillCoefficients = {
	/** Latency that does not occupy the engine, milliseconds. */
	readonly overheadMs: number;
	/** Time for each thousand uncached tokens, milliseconds. */
	readonly kilotokenMs: number;
	/** Time for attention, milliseconds per million pairs of an uncached token and one before it. */
	readonly megapairMs: number;
	/** Fixed time of each step, milliseconds. */
	readonly stepMs: number;
};

/** Estimates of an engine pool before anything is measured. */
export const PRIOR_PREFILL: PrefillCoefficients = {
	overheadMs: 20, kilotokenMs: 10, megapairMs: 0.2, stepMs: 1,
};
/** Handoff and decode times before anything is measured, milliseconds. */
const PRIOR_HANDOFF_MS = 30;
const PRIOR_DECODE_MS = 100;
/** Multiple of the moving average above which a duration counts no more, such as that of a frozen host. */
const MAX_AVERAGE_FACTOR = 4;
/** A decode engine prefills at half the speed, between the tokens of its running requests. */
const DECODE_ENGINE_FACTOR = 2;
/** Prompts for which the prior stands in for measurements. */
const PRIOR_PROMPTS: readonly PrefillSize[] = [
	{uncachedTokens: 500, cachedTokens: 0}, {uncachedTokens: 4000, cachedTokens: 0}, {uncachedTokens: 16_000, cachedTokens: 0},
];
/** Weight of each of these prompts before anything is measured, and in the long run; a measurement has weight 1. */
const PRIOR_WEIGHT = 0.1;
const PERMANENT_PRIOR_WEIGHT = 0.003;
/** Factor by which the weight of a measurement decreases with each later one. */
const RETENTION = 0.99;
/** The same for the errors by which chunk sizes are compared; lower, because early errors show only how far off the prior was. */
const ERROR_RETENTION = 0.95;
/** Relative deviation from the estimate beyond which a measurement loses weight. */
const OUTLIER_DEVIATION = 0.3;
/** Relative increase of the diagonal of the normal equations. */
const RIDGE = 0.0001;
/** Weight of one measurement in the moving averages. */
const AVERAGE_WEIGHT = 0.05;
/** Factor by which each measurement moves the estimate of a median. */
const MEDIAN_STEP = 1.05;
/** Longest plausible duration, milliseconds; anything else is not a measurement. */
const MAX_SAMPLE_MS = 600_000;

/** Numbers of prompt tokens that an engine may prefill in one step; which one it is shows in the measurements. */
const CHUNK_TOKENS = [256, 512, 1024, 2048, 4096, 8192];
/** Chunk size that is assumed without measurements. */
const PRIOR_CHUNK_TOKENS = 2048;
/** After this many measurements, the coefficients are updated only once in `UPDATE_INTERVAL` measurements. */
const WARMUP_SAMPLES = 64;
const UPDATE_INTERVAL = 8;

/** Values of the features or of the coefficients: overhead, kilotokens, megapairs, steps. */
type Vector = readonly [number, number, number, number];
const DIMENSIONS = 4;

/** Sums of a weighted linear regression. */
type NormalEquations = {
	readonly matrix: number[][];
	readonly vector: number[];
};

/** Regression of the prefill time of one role in a pool. */
export class PrefillModel {
	readonly #regressions: readonly ChunkRegression[];
	#best: ChunkRegression;

	/** @param getPrior - Returns the coefficients to assume without measurements. */
	constructor(getPrior: () => PrefillCoefficients = () => PRIOR_PREFILL) {
		this.#regressions = CHUNK_TOKENS.map(chunkTokens => new ChunkRegression(chunkTokens, getPrior));
		this.#best = this.#regressions[CHUNK_TOKENS.indexOf(PRIOR_CHUNK_TOKENS)]!;
	}

	/** Current coefficients. */
	get coefficients(): PrefillCoefficients {
		return this.#best.coefficients;
	}

	/** Estimates how long an idle engine is busy with a prompt, milliseconds. */
	estimateMs(size: PrefillSize): number {
		return this.#best.estimateMs(size, false);
	}

	/** Updates the coefficients with a measurement; ignores one that is not plausible. */
	record(sample: PrefillSample): void {
		if (!(sample.elapsedMs > 0 && sample.elapsedMs < MAX_SAMPLE_MS)) {
			return;
		}

		for (const regression of this.#regressions) {
			regression.record(sample);
		}

		for (const regression of this.#regressions) {
			if (regression.error < this.#best.error) {
				this.#best = regression;
			}
		}
	}
}

/** Regression under the assumption that prompts are prefilled in chunks of a given size. */
class ChunkRegression {
	readonly #chunkTokens: number;
	readonly #getPrior: () => PrefillCoefficients;
	readonly #equations: NormalEquations = {
		matrix: Array.from({length: DIMENSIONS}, () => Array.from({length: DIMENSIONS}, () => 0)),
		vector: Array.from({length: DIMENSIONS}, () => 0),
	};

	#coefficients: Vector | undefined;
	#priorWeight = PRIOR_WEIGHT;
	#sampleCount = 0;
	#error = 0;

	constructor(chunkTokens: number, getPrior: () => PrefillCoefficients) {
		this.#chunkTokens = chunkTokens;
		this.#getPrior = getPrior;
	}

	get coefficients(): PrefillCoefficients {
		const [overheadMs, kilotokenMs, megapairMs, stepMs] = this.#coefficients ?? this.#getPriorVector();
		return {
			overheadMs, kilotokenMs, megapairMs, stepMs,
		};
	}

	/** Sum of the squared relative errors of recent estimates. */
	get error(): number {
		return this.#error;
	}

	/** Calculates without an array of features, since each placement needs several estimates for every engine. */
	estimateMs({uncachedTokens, cachedTokens}: PrefillSize, includesOverhead: boolean): number {
		const coefficients = this.#coefficients ?? this.#getPriorVector();
		const pairs = uncachedTokens * (cachedTokens + (uncachedTokens / 2));
		const overheadMs = includesOverhead ? coefficients[0] : 0;
		return overheadMs + (uncachedTokens / 1000 * coefficients[1]) + (pairs / 1_000_000 * coefficients[2]) + (Math.ceil(uncachedTokens / this.#chunkTokens) * coefficients[3]);
	}

	record(sample: PrefillSample): void {
		const {elapsedMs, includesOverhead} = sample;
		const expectedMs = this.estimateMs(sample, includesOverhead);
		const scaleMs = Math.max(elapsedMs, expectedMs);
		const deviation = Math.abs(elapsedMs - expectedMs) / scaleMs;
		this.#priorWeight *= RETENTION;
		this.#error = (this.#error * ERROR_RETENTION) + (Math.min(OUTLIER_DEVIATION, deviation) ** 2);
		const {matrix, vector} = this.#equations;
		for (let row = 0; row < DIMENSIONS; row++) {
			vector[row]! *= RETENTION;
			for (let column = 0; column < DIMENSIONS; column++) {
				matrix[row]![column]! *= RETENTION;
			}
		}

		const weight = Math.min(1, OUTLIER_DEVIATION / deviation) / (scaleMs ** 2);
		addSample(this.#equations, this.#toFeatures(sample, includesOverhead), elapsedMs, weight);
		this.#sampleCount++;
		if (this.#sampleCount < WARMUP_SAMPLES || this.#sampleCount % UPDATE_INTERVAL === 0) {
			this.#coefficients = this.#solve();
		}
	}

	#solve(): Vector {
		const matrix = this.#equations.matrix.map(row => [...row]);
		const equations = {matrix, vector: [...this.#equations.vector]};
		const prior = this.#getPriorVector();
		const weight = this.#priorWeight + PERMANENT_PRIOR_WEIGHT;
		for (const prompt of PRIOR_PROMPTS) {
			const features = this.#toFeatures(prompt, true);
			const elapsedMs = dotProduct(features, prior);
			addSample(equations, features, elapsedMs, weight / (elapsedMs ** 2));
		}

		// Keeps the equations solvable while all prompts have about the same size.
		for (let row = 0; row < DIMENSIONS; row++) {
			matrix[row]![row]! *= 1 + RIDGE;
		}

		return solveNonNegative(equations);
	}

	#getPriorVector(): Vector {
		const {overheadMs, kilotokenMs, megapairMs, stepMs} = this.#getPrior();
		return [overheadMs, kilotokenMs, megapairMs, stepMs];
	}

	#toFeatures({uncachedTokens, cachedTokens}: PrefillSize, includesOverhead: boolean): Vector {
		const pairs = uncachedTokens * (cachedTokens + (uncachedTokens / 2));
		return [includesOverhead ? 1 : 0, uncachedTokens / 1000, pairs / 1_000_000, Math.ceil(uncachedTokens / this.#chunkTokens)];
	}
}

/** Learnt speeds of one pool. */
export class PoolSpeed {
	/** What the prefills showed about the caches. */
	readonly reuse = new PoolReuse();
	readonly prefill = new PrefillModel();
	/** Prefill at decode engines; assumed to be slower by a constant factor until it is measured. */
	readonly decodePrefill = new PrefillModel(() => {
		const {overheadMs, kilotokenMs, megapairMs, stepMs} = this.prefill.coefficients;
		return {
			overheadMs, kilotokenMs: kilotokenMs * DECODE_ENGINE_FACTOR, megapairMs: megapairMs * DECODE_ENGINE_FACTOR, stepMs: stepMs * DECODE_ENGINE_FACTOR,
		};
	});

	#handoffMs = PRIOR_HANDOFF_MS;
	#decodeMs = PRIOR_DECODE_MS;
	#medianRatio = 1;

	/** Median of the measured prefill times divided by the estimated ones; 1 once the estimates fit. */
	get medianRatio(): number {
		return this.#medianRatio;
	}

	/** Time from the end of a reader's prefill to the first event, without the transfer, milliseconds. */
	get handoffMs(): number {
		return this.#handoffMs;
	}

	/** Time from the first event to the end of a response, milliseconds. */
	get decodeMs(): number {
		return this.#decodeMs;
	}

	/** Records a measured prefill time divided by the estimated one. */
	recordRatio(ratio: number): void {
		this.#medianRatio *= ratio > this.#medianRatio ? MEDIAN_STEP : 1 / MEDIAN_STEP;
	}

	recordHandoff(elapsedMs: number): void {
		this.#handoffMs = updateAverage(this.#handoffMs, elapsedMs);
	}

	recordDecode(elapsedMs: number): void {
		this.#decodeMs = updateAverage(this.#decodeMs, elapsedMs);
	}
}

/** Returns the moving average after one more duration. */
function updateAverage(currentMs: number, elapsedMs: number): number {
	if (!(elapsedMs >= 0 && elapsedMs < MAX_SAMPLE_MS)) {
		return currentMs;
	}

	return currentMs + ((Math.min(elapsedMs, currentMs * MAX_AVERAGE_FACTOR) - currentMs) * AVERAGE_WEIGHT);
}

function dotProduct(a: Vector, b: Vector): number {
	return (a[0] * b[0]) + (a[1] * b[1]) + (a[2] * b[2]) + (a[3] * b[3]);
}

/** Adds a weighted sample to the normal equations. */
function addSample({matrix, vector}: NormalEquations, features: Vector, value: number, weight: number): void {
	for (let row = 0; row < DIMENSIONS; row++) {
		vector[row]! += features[row]! * value * weight;
		for (let column = 0; column < DIMENSIONS; column++) {
			matrix[row]![column]! += features[row]! * features[column]! * weight;
		}
	}
}

/** Solves the normal equations; coefficients that would be negative are fixed at 0. */
function solveNonNegative({matrix, vector}: NormalEquations): Vector {
	const result: [number, number, number, number] = [0, 0, 0, 0];
	let free = [0, 1, 2, 3];
	for (;;) {
		const rows: number[][] = [];
		for (const row of free) {
			rows.push([...pick(matrix[row]!, free), vector[row]!]);
		}

		const solution = solve(rows);
		const lowest = Math.min(...solution);
		if (lowest >= 0) {
			for (const [index, coefficient] of free.entries()) {
				result[coefficient] = solution[index]!;
			}

			return result;
		}

		const dropped = solution.indexOf(lowest);
		free = [...free.slice(0, dropped), ...free.slice(dropped + 1)];
	}
}

function pick(values: readonly number[], indices: readonly number[]): number[] {
	return indices.map(index => values[index]!);
}

/** Solves a positive definite system of linear equations, given as rows with the right-hand side last. */
function solve(rows: number[][]): number[] {
	const size = rows.length;
	for (let pivot = 0; pivot < size; pivot++) {
		for (let row = 0; row < size; row++) {
			if (row !== pivot) {
				const factor = rows[row]![pivot]! / rows[pivot]![pivot]!;
				for (let column = pivot; column <= size; column++) {
					rows[row]![column]! -= factor * rows[pivot]![column]!;
				}
			}
		}
	}

	return rows.map((row, index) => row[size]! / row[index]!);
}
