/**
 * Represents failures as values. Each failure is an entry of a typed catalogue with a title, a
 * message built from its data and a hint on what to do next. Subsystems declare their entries with
 * {@link defineFailure} in a `failures.ts` next to their code and never throw or return bare
 * strings.
 */

/** A catalogue entry with the texts that explain this failure to a person. */
export interface FailureSpec<Name extends string, Data> {
  readonly name: Name;
  readonly title: string;
  readonly message: (data: Data) => string;
  readonly hint: string;
}

/** An occurrence of a failure. Plain data that can be sent between processes as JSON. */
export interface Failure<Name extends string = string, Data = unknown> {
  readonly name: Name;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly data: Data;
}

/** A catalogue entry that creates and recognizes its occurrences. */
export interface FailureKind<Name extends string, Data> extends FailureSpec<Name, Data> {
  readonly of: (data: Data) => Failure<Name, Data>;
  readonly is: (failure: Failure) => failure is Failure<Name, Data>;
}

/** Declares a catalogue entry. Names are kebab-case and unique within the repository. */
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

/** Wraps a {@link Failure} for code that can only throw, such as a callback of a library. */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(failure.message);
    this.name = failure.name;
  }
}
