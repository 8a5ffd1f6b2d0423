/** Helpers of benches: JSON lines, quantiles, least squares and process usage. */
import { readFile } from 'node:fs/promises';
import { build } from 'hdr-histogram-js';

/** Prints one case as a JSON line. */
export function report(bench: string, values: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify({ bench, ...values })}\n`);
}

/** Rounds to a number of significant digits. */
export function round(value: number, digits = 3): number {
  return Number(value.toPrecision(digits));
}

/** Quantiles of durations in ms. */
export function quantiles(durations: readonly number[]): Readonly<Record<string, number>> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  durations.forEach((ms) => histogram.recordValue(Math.round(ms * 1000)));
  const at = (percentile: number): number =>
    round(histogram.getValueAtPercentile(percentile) / 1000);
  return { p50: at(50), p95: at(95), p99: at(99) };
}

/** A fitted line, with its coefficient of determination. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  readonly r2: number;
}

/** Fits a line to points (x, y) by least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): Fit {
  const n = points.length;
  const mean = (pick: (point: readonly [number, number]) => number): number =>
    points.reduce((sum, point) => sum + pick(point), 0) / n;
  const mx = mean(([x]) => x);
  const my = mean(([, y]) => y);
  const sxx = points.reduce((sum, [x]) => sum + (x - mx) ** 2, 0);
  const syy = points.reduce((sum, [, y]) => sum + (y - my) ** 2, 0);
  const sxy = points.reduce((sum, [x, y]) => sum + (x - mx) * (y - my), 0);
  const slope = sxy / sxx;
  return {
    slope: round(slope, 4),
    intercept: round(my - slope * mx, 4),
    r2: round(syy === 0 ? 1 : sxy ** 2 / (sxx * syy), 4),
  };
}

/** Processor time and memory of a process, as the operating system reports them. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentMb: number;
}

/** Length of a tick of the kernel's processor time, ms. */
const TICK_MS = 10;

/** Reads the usage of a process from /proc. */
export async function readUsage(pid: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const kb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return { cpuMs: ticks * TICK_MS, residentMb: round(kb / 1024) };
}

/** Runs an asynchronous task for each item, one at a time. */
export async function runSequentially<T, R>(
  items: readonly T[],
  task: (item: T, i: number) => Promise<R>,
): Promise<readonly R[]> {
  return items.reduce<Promise<readonly R[]>>(async (before, item, i) => {
    const results = await before;
    return [...results, await task(item, i)];
  }, Promise.resolve([]));
}

/** Integers from 0 to `count` - 1. */
export function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_item, i) => i);
}
