/**
 * Which parts of prompts are quarantined. Of the parts that were in progress at the same crashes usually one is fatal, and
 * the others are sound; they are told apart by further answers and crashes, so that sound requests must go on to be sent.
 */
import { countedEnds, type QuarantineState } from './Quarantine.js';

/**
 * Number of crashes after which several parts are quarantined that explain the same ones. Until then another crash may tell
 * them apart.
 */
const TIED_PARTS_CRASHES = 4;

/**
 * A part may be sound if another one explains all of its crashes but this many, provided that there are
 * {@link TIED_PARTS_CRASHES}: endpoints crash for other causes too.
 */
const MAX_UNEXPLAINED_CRASHES = 1;

/** Parts that were in progress at the same crashes, so that nothing tells them apart. */
interface TiedParts {
  readonly ends: readonly string[];
  readonly digests: readonly string[];
}

/** Parts with at least `minCrashes` crashes, by their crashes. */
function tiedParts(state: QuarantineState, minCrashes: number): readonly TiedParts[] {
  const byEnds = new Map<
    string,
    { readonly ends: readonly string[]; readonly digests: string[] }
  >();
  state.forEach((suspect) => {
    const ends = suspect.kind === 'part' ? countedEnds(suspect) : [];
    if (ends.length > 0 && ends.length >= minCrashes) {
      const key = ends.join();
      const tied = byEnds.get(key) ?? { ends, digests: [] };
      tied.digests.push(suspect.digest);
      byEnds.set(key, tied);
    }
  });
  return [...byEnds.values()];
}

/** Indexes of the tied parts that were in progress at each crash. */
function indexByCrash(all: readonly TiedParts[]): ReadonlyMap<string, readonly number[]> {
  const byCrash = new Map<string, number[]>();
  all.forEach(({ ends }, i) =>
    ends.forEach((incarnationKey) => {
      const indexes = byCrash.get(incarnationKey) ?? [];
      indexes.push(i);
      byCrash.set(incarnationKey, indexes);
    }),
  );
  return byCrash;
}

/** Those of `all`, itself included, that explain the crashes of `tied`, but for one that may have had another cause. */
function explanationsOf(
  tied: TiedParts,
  all: readonly TiedParts[],
  byCrash: ReadonlyMap<string, readonly number[]>,
): readonly TiedParts[] {
  const maxUnexplained = tied.ends.length < TIED_PARTS_CRASHES ? 0 : MAX_UNEXPLAINED_CRASHES;
  // Counted by crash, as there may be thousands of different sets of crashes to compare.
  const explained = new Uint16Array(all.length);
  tied.ends.forEach((incarnationKey) =>
    byCrash.get(incarnationKey)?.forEach((i) => {
      explained[i] = (explained[i] ?? 0) + 1;
    }),
  );
  return all.filter((_other, i) => (explained[i] ?? 0) >= tied.ends.length - maxUnexplained);
}

/** Parts of which a request is quarantined if its prompt has all of them. */
export interface PartCombination {
  /** Digest of one of the parts that have the crashes. */
  readonly digest: string;
  /** Digests of all of the parts, in lists that several combinations may share. */
  readonly digests: readonly (readonly string[])[];
}

/**
 * Combinations of parts that explain at least `minCrashes` crashes.
 *
 * A part is quarantined together with every other one that explains its crashes as well: a request without that one may
 * be sound. It is sent, and its answer clears the parts that it has, or its crash tells them apart. Were each of the
 * parts quarantined by itself, no request with one that all prompts share could ever clear it.
 */
export function quarantinedCombinations(
  state: QuarantineState,
  minCrashes: number,
): readonly PartCombination[] {
  const all = tiedParts(state, minCrashes);
  const byCrash = indexByCrash(all);
  return all.flatMap((tied) => {
    const digests = explanationsOf(tied, all, byCrash).map((parts) => parts.digests);
    const [digest = ''] = tied.digests;
    const isOnePart = digests.length === 1 && tied.digests.length === 1;
    return isOnePart || tied.ends.length >= TIED_PARTS_CRASHES ? [{ digest, digests }] : [];
  });
}

/** The first combination that a prompt with the given parts has as a whole; null for none. */
export function findCombination(
  combinations: readonly PartCombination[],
  parts: readonly string[],
): PartCombination | null {
  if (combinations.length === 0) {
    return null;
  }
  const named = new Set(parts);
  const isNamed = (digest: string): boolean => named.has(digest);
  return combinations.find(({ digests }) => digests.every((tied) => tied.every(isNamed))) ?? null;
}
