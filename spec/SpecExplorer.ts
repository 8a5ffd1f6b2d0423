/** Explores every reachable state of a specification with xstate's `getAdjacencyMap`. */
import { fromTransition, type AnyActorLogic } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';

/** Limit on the number of states; a specification that exceeds it has wrong bounds. */
const STATE_LIMIT = 3_000_000;

/** Result of an exploration. */
export interface Exploration {
  readonly states: number;
  readonly transitions: number;
  readonly seconds: number;
  /** Shortest trace to a state that breaks an invariant; null if there is none. */
  readonly trace: readonly string[] | null;
  readonly violated: readonly string[];
}

function formatEvent({ type, ...rest }: SpecEvent): string {
  const details = Object.entries(rest).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return [type, ...details].join(' ');
}

/** The state and event from which a state was first reached. */
interface Origin {
  readonly from: string;
  readonly event: SpecEvent;
}

function traceTo(origins: ReadonlyMap<string, Origin>, key: string): readonly string[] {
  const origin = origins.get(key);
  return origin === undefined ? [] : [...traceTo(origins, origin.from), formatEvent(origin.event)];
}

/**
 * Visits all states and checks the invariants in each. The library searches breadth first, so the first
 * violation found has the shortest trace; the search stops there.
 */
export function exploreSpec<S, E extends SpecEvent>(
  spec: Spec<S, E>,
  enabled: Safeguards,
): Exploration {
  const startedAt = performance.now();
  const origins = new Map<string, Origin>();
  const visited = new Set([JSON.stringify(spec.init)]);
  let transitions = 0;
  let violated: readonly string[] = spec.violations(spec.init);
  let violation: string | null = null;
  const listUnvisited = ({ context }: { readonly context: S }): readonly E[] => {
    const from = JSON.stringify(context);
    if (violation === null && violated.length === 0) {
      violated = spec.violations(context);
      violation = violated.length > 0 ? from : null;
    }
    if (violation !== null) {
      return [];
    }
    // Only events that lead to unvisited states are returned, which keeps the library's queue short.
    return spec.events(context, enabled).filter((event) => {
      transitions += 1;
      const next = JSON.stringify(spec.step(context, event, enabled));
      if (visited.has(next)) {
        return false;
      }
      visited.add(next);
      origins.set(next, { from, event });
      return true;
    });
  };
  const logic = fromTransition((state: S, event: E) => spec.step(state, event, enabled), spec.init);
  const graph = getAdjacencyMap(logic as unknown as AnyActorLogic, {
    events: listUnvisited as never,
    serializeState: ((snapshot: { readonly context: S }) =>
      JSON.stringify(snapshot.context)) as never,
    limit: STATE_LIMIT,
  });
  return {
    states: Object.keys(graph).length,
    transitions,
    seconds: (performance.now() - startedAt) / 1000,
    trace: violation === null ? null : traceTo(origins, violation),
    violated,
  };
}

/** Enables all safeguards except those named. */
export function safeguardsWithout(
  spec: { readonly safeguards: readonly string[] },
  off: readonly string[] = [],
): Safeguards {
  return Object.fromEntries(spec.safeguards.map((name) => [name, !off.includes(name)]));
}
