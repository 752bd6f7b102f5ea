/** Event queue of the virtual clock; events at the same time run in the order of their scheduling. */
export function createEventQueue (): { at (time: number, run: () => void): void, runUntil (until: number): void, now (): number } {
  const heap: { time: number, order: number, run: () => void }[] = []
  let clock = 0
  let order = 0
  const before = (left: number, right: number): boolean => heap[left]!.time < heap[right]!.time || (heap[left]!.time === heap[right]!.time && heap[left]!.order < heap[right]!.order)
  const swap = (left: number, right: number): void => { [heap[left], heap[right]] = [heap[right]!, heap[left]!] }

  function siftDown (): void {
    for (let index = 0; ;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) if (child < heap.length && before(child, least)) least = child
      if (least === index) return
      swap(index, least)
      index = least
    }
  }

  return {
    now: () => clock,
    at (time, run) {
      heap.push({ time: Math.max(time, clock), order: order++, run })
      for (let index = heap.length - 1; index > 0;) {
        const parent = (index - 1) >> 1
        if (!before(index, parent)) return
        swap(index, parent)
        index = parent
      }
    },
    runUntil (until) {
      while (heap.length > 0 && heap[0]!.time <= until) {
        const { time, run } = heap[0]!
        const last = heap.pop()!
        if (heap.length > 0) {
          heap[0] = last
          siftDown()
        }
        clock = time
        run()
      }
    }
  }
}
