/**
 * Failures as values: every failure of the product is an entry of a typed catalogue with a title,
 * a message made from its own data and a hint that says what to do next. Subsystems declare their
 * entries with {@link defineFailure} in a `failures.ts` beside their code, so that no bare string
 * is ever thrown or returned.
 */

/** One catalogue entry: how a failure of this name is explained to a person. */
export interface FailureSpec<Name extends string, Data> {
  readonly name: Name;
  readonly title: string;
  readonly message: (data: Data) => string;
  readonly hint: string;
}

/** One occurrence of a failure; plain data, so that it crosses processes as JSON. */
export interface Failure<Name extends string = string, Data = unknown> {
  readonly name: Name;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly data: Data;
}

/** A catalogue entry that can also make occurrences of itself. */
export interface FailureKind<Name extends string, Data> extends FailureSpec<Name, Data> {
  readonly of: (data: Data) => Failure<Name, Data>;
  readonly is: (failure: Failure) => failure is Failure<Name, Data>;
}

/** Declares a catalogue entry; names are kebab-case and unique over the repository. */
export function defineFailure<Name extends string, Data>(
  spec: FailureSpec<Name, Data>,
): FailureKind<Name, Data> {
  return {
    ...spec,
    of: (data) => ({
      name: spec.name,
      title: spec.title,
      message: spec.message(data),
      hint: spec.hint,
      data,
    }),
    is: (failure): failure is Failure<Name, Data> => failure.name === spec.name,
  };
}

/** Carries a {@link Failure} through code that can only throw, such as a library's callback. */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(failure.message);
    this.name = failure.name;
  }
}
