/** Thrown when a decision module detects that one of its invariants is violated. */
export class InvariantError extends Error {
  constructor (message: string) {
    super(`invariant violated: ${message}`)
    this.name = 'InvariantError'
  }
}

/** @throws {InvariantError} when the condition is false */
export function invariant (condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new InvariantError(message)
  }
}
