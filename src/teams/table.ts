/**
 * The teams of a routing configuration and the lookup of the team that holds a key.
 *
 * @module
 */

/** A tenant of the system. Its keys are kept only as digests, so that they cannot reach logs or error messages. */
export type Team = {
	readonly name: string;
	/** SHA-256 digests of its keys, see `digestKey`. */
	readonly keyDigests: readonly string[];
	/** Replaces the priority of the route for the team's requests; 0 is the most urgent. */
	readonly priority?: number | undefined;
};

/** Result of the check of a request's key. */
export type KeyCheck
	= | {readonly type: 'team'; readonly team: Team}
		/** No team holds the key, or there is none, and the route is public. */
		| {readonly type: 'public'}
		| {readonly type: 'refused'; readonly reason: KeyRefusal};

export const KEY_REFUSALS = {missing: 'missing', unknown: 'unknown'} as const;
/** Why a request is refused: it carries no key, or one that no team holds. */
export type KeyRefusal = keyof typeof KEY_REFUSALS;

/** Looks up teams by the digests of their keys, in constant time. */
export class TeamTable {
	/** Names of the teams in the order of the configuration. */
	readonly names: readonly string[];
	readonly #byDigest = new Map<string, Team>();

	constructor(teams: readonly Team[]) {
		this.names = teams.map(({name}) => name);
		for (const team of teams) {
			for (const digest of team.keyDigests) {
				this.#byDigest.set(digest, team);
			}
		}
	}

	/**
	 * Decides whether a request may run, and for which team.
	 *
	 * @param digest - Digest of the key that the request carries; undefined without one.
	 */
	check(digest: string | undefined, isPublic: boolean): KeyCheck {
		const team = digest === undefined ? undefined : this.#byDigest.get(digest);
		if (team) {
			return {type: 'team', team};
		}

		return isPublic ? {type: 'public'} : {type: 'refused', reason: digest === undefined ? KEY_REFUSALS.missing : KEY_REFUSALS.unknown};
	}
}

/**
 * Finds the first error among the teams of a configuration: a name that occurs twice, or a key that two teams share. The
 * text contains no key.
 *
 * @example
 * ```ts
 * findTeamError([{name: 'a', keyDigests: ['x']}, {name: 'b', keyDigests: ['x']}]); // 'Teams a and b share a key.'
 * ```
 */
export function findTeamError(teams: readonly Team[]): string | undefined {
	const names = new Set<string>();
	const holders = new Map<string, string>();
	for (const {name, keyDigests} of teams) {
		if (names.has(name)) {
			return `Two teams have the name ${name}.`;
		}

		names.add(name);
		for (const digest of keyDigests) {
			const holder = holders.get(digest) ?? name;
			if (holder !== name) {
				return `Teams ${holder} and ${name} share a key.`;
			}

			holders.set(digest, name);
		}
	}

	return undefined;
}
