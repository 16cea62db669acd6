// The rules that deviate from XO's defaults are explained in docs/HOUSE-STYLE.md.
export default [
	{ignores: ['dist/**', 'target/**', 'src/generated/**', 'docs/**']},
	{
		rules: {
			// Interfaces are for behaviour with several implementations; everything else is a type alias.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// Common abbreviations of the language and the field are allowed.
			'unicorn/prevent-abbreviations': 'off',
			// Wire formats and command-line flags use null, snake case and kebab case.
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			camelcase: 'off',
			// Decoded values are asserted to their type where they were validated against its schema.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Public members come first and helpers last; static factory methods follow the constructor.
			'@typescript-eslint/member-ordering': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			'@typescript-eslint/strict-void-return': 'off',
			'unicorn/no-await-expression-member': 'off',
			'unicorn/prefer-event-target': 'off',
			// Retries and polling loops await each attempt before the next one.
			'no-await-in-loop': 'off',
			'@stylistic/max-len': 'off',
			'max-lines': ['error', {max: 800, skipBlankLines: true, skipComments: true}],
		},
	},
	{
		files: ['test/**'],
		rules: {
			// The test runner awaits the promise that test() returns.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
	{
		// Command-line programs.
		files: ['dev/**', 'bench/**', 'fakes/**'],
		rules: {
			'unicorn/no-process-exit': 'off',
			'unicorn/prefer-top-level-await': 'off',
		},
	},
];
