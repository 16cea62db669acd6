/**
 * Tells what happened as a plain story.
 *
 * @module
 */
export type Explanation = {
	readonly subject: string;
	readonly title: string;
	readonly outcome: string;
	/** Wall clock, milliseconds. */
	readonly startedAt: number;
	readonly steps: ReadonlyArray<{readonly at: number; readonly text: string}>;
};

/**
 * Writes a story with the time since its beginning before each sentence.
 *
 * @example
 * ```ts
 * formatStory({subject: 'r1', title: 'A request', outcome: 'done', startedAt: 0, steps: [{at: 40, text: 'Sent.'}]});
 * ```
 */
export function formatExplanation(story: Explanation): string {
	const lines = [`${story.title} (${story.subject})`, `It began on ${new Date(story.startedAt).toISOString()}.`];
	for (const {at, text} of story.steps) {
		lines.push(`  after ${formatDuration(at - story.startedAt)}: ${text}`);
	}

	if (story.steps.at(-1)?.text !== story.outcome) {
		lines.push(`Now: ${story.outcome}.`);
	}

	return `${lines.join('\n')}\n`;
}

function formatDuration(durationMs: number): string {
	return durationMs < 1000 ? `${Math.max(0, Math.round(durationMs))} ms` : `${(durationMs / 1000).toFixed(1)} s`;
}
