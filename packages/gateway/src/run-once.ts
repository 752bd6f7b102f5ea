/** @returns calls `run` at the first call, and gives all callers its result */
export function runOnce<Value> (run: () => Promise<Value>): () => Promise<Value> {
  let running: Promise<Value> | undefined
  return () => {
    running ??= run()
    return running
  }
}
