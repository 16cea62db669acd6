/**
 * Formats the answer of `carawayhoist explain`: what happened to one request or planned change.
 *
 * @module
 */

/** What happened to a request or a planned change, as the operator API returns it. */
export type Explanation = {
	/** Id of the request or name of the change. */
	readonly subject: string;
	readonly title: string;
	readonly outcome: string;
	/** Wall-clock time, in milliseconds since the Unix epoch. */
	readonly startedAt: number;
	readonly steps: ReadonlyArray<{readonly at: number; readonly text: string}>;
};

/**
 * Formats an explanation as a timeline: each step with the time since the start.
 *
 * @example
 * ```ts
 * formatExplanation({subject: 'r1', title: 'A request', outcome: 'done', startedAt: 0, steps: [{at: 40, text: 'Sent.'}]});
 * ```
 */
export function formatExplanation(explanation: Explanation): string {
	const lines = [`${explanation.title} (${explanation.subject})`, `It began on ${new Date(explanation.startedAt).toISOString()}.`];
	for (const {at, text} of explanation.steps) {
		lines.push(`  after ${formatDuration(at - explanation.startedAt)}: ${text}`);
	}

	if (explanation.steps.at(-1)?.text !== explanation.outcome) {
		lines.push(`Now: ${explanation.outcome}.`);
	}

	return `${lines.join('\n')}\n`;
}

function formatDuration(durationMs: number): string {
	return durationMs < 1000 ? `${Math.max(0, Math.round(durationMs))} ms` : `${(durationMs / 1000).toFixed(1)} s`;
}
