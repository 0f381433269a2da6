/** Promises that are settled from outside. */

/** Returns a promise with its resolver, like `Promise.withResolvers`, which Node 20 lacks. */
export function withResolvers<Value>(): {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
} {
  let resolve!: (value: Value) => void;
  const promise = new Promise<Value>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}
