/**
 * Signals to a program that arrive before it can act on them.
 *
 * @module
 */
import process from 'node:process';

/**
 * Handles a signal from now on, since by default it would end the process. Returns a function that sets the handler; it is
 * called at once if the signal has arrived before.
 *
 * @example
 * ```ts
 * const onTermination = holdSignal('SIGTERM');
 * const host = await startHost();
 * onTermination(() => host.stop());
 * ```
 */
export function holdSignal(signal: NodeJS.Signals): (handler: () => void) => void {
	let hasArrived = false;
	let handle = () => {
		hasArrived = true;
	};

	process.on(signal, () => {
		handle();
	});
	return handler => {
		handle = handler;
		if (hasArrived) {
			handler();
		}
	};
}
