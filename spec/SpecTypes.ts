/** What a specification is: a small state machine whose every state can be visited. */

/** Thing that can happen, with a label for traces. */
export interface SpecEvent {
  readonly type: string;
}

/** Safeguards by name; a mutant leaves one out. */
export type Safeguards = Readonly<Record<string, boolean>>;

/** One specification. States are plain JSON values. */
export interface Spec<S, E extends SpecEvent> {
  readonly name: string;
  /** Bounds of the exploration, as told in the report. */
  readonly bounds: string;
  /** What the specification's safeguards are; each has a mutant without it. */
  readonly safeguards: readonly string[];
  readonly init: S;
  /** All that may happen next. */
  readonly events: (state: S, enabled: Safeguards) => readonly E[];
  /** What it leads to. Only called with events that `events` gave. */
  readonly step: (state: S, event: E, enabled: Safeguards) => S;
  /** Names of the invariants that a state breaks. */
  readonly violations: (state: S) => readonly string[];
}
