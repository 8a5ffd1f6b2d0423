/** Types of a specification: a state machine small enough to visit every state. */

/** An event; its type and fields are printed in traces. */
export interface SpecEvent {
  readonly type: string;
}

/** Whether each safeguard, by name, is enabled; a mutant disables one. */
export type Safeguards = Readonly<Record<string, boolean>>;

/** A specification. States are plain JSON values. */
export interface Spec<S, E extends SpecEvent> {
  readonly name: string;
  /** Bounds of the exploration, as printed. */
  readonly bounds: string;
  /** Names of the safeguards; each has a mutant without it. */
  readonly safeguards: readonly string[];
  readonly init: S;
  /** Events that may happen next. */
  readonly events: (state: S, enabled: Safeguards) => readonly E[];
  /** State after an event; only called with events that `events` returned. */
  readonly step: (state: S, event: E, enabled: Safeguards) => S;
  /** Names of the invariants that a state violates. */
  readonly violations: (state: S) => readonly string[];
}
