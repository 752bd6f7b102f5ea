/** Least-squares line through measured points. */

export type Point = { x: number, y: number }

export type Fit = {
  slope: number
  intercept: number
  /** Largest distance of a point from the line, as a fraction of the largest measured value. */
  residual: number
}

/**
 * @param points - at least two different sizes
 * @returns the line with the smallest sum of squared distances
 */
export function fitLine (points: readonly Point[]): Fit {
  const count = points.length
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  if (variance === 0) throw new Error('a line needs at least two different sizes')
  const slope = covariance / variance
  const intercept = meanY - slope * meanX
  const largest = Math.max(...points.map(({ y }) => Math.abs(y)))
  const distance = Math.max(...points.map(({ x, y }) => Math.abs(y - (intercept + slope * x))))
  return { slope, intercept, residual: largest === 0 ? 0 : distance / largest }
}

/** Value of the line at `x`; never negative, because every measured quantity is a cost. */
export const valueAt = ({ slope, intercept }: Fit, x: number): number => Math.max(0, intercept + slope * x)
