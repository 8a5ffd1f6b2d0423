/** Journal records of a replica, and the recovery of its state from them. */
import type {
  ConsensusEntry,
  ConsensusOutput,
  ConsensusRecovery,
  ConsensusSnapshot,
  ConsensusState,
} from '../coordination/index.js';

/**
 * One journal record. A `commit` record is written before the entries that it covers are applied, and so before their
 * results are sent to other processes.
 */
export type JournalRecord =
  | { readonly kind: 'hard'; readonly term: number; readonly vote: string | null }
  | {
      readonly kind: 'entries';
      readonly from: number;
      readonly entries: readonly ConsensusEntry[];
    }
  | { readonly kind: 'snapshot'; readonly snapshot: ConsensusSnapshot }
  | { readonly kind: 'commit'; readonly index: number };

const EMPTY_SNAPSHOT: ConsensusSnapshot = {
  index: 0,
  term: 0,
  members: { voters: [], learners: [] },
  image: null,
};

/** Journal records for an output; none if it needs no sync. */
export function toRecords(output: ConsensusOutput): readonly JournalRecord[] {
  switch (output.type) {
    case 'persistHard':
      return [{ kind: 'hard', ...output.hard }];
    case 'persistEntries':
      return [{ kind: 'entries', from: output.from, entries: output.entries }];
    case 'commit':
      return [{ kind: 'commit', index: output.entries.at(-1)?.index ?? 0 }];
    default:
      return [];
  }
}

/** Records that hold only the current state; the journal is rewritten with them after a snapshot. */
export function toJournal(state: ConsensusState): readonly JournalRecord[] {
  return [
    { kind: 'snapshot', snapshot: state.snapshot },
    { kind: 'hard', term: state.term, vote: state.vote },
    { kind: 'entries', from: state.snapshot.index + 1, entries: state.log },
    { kind: 'commit', index: state.commit },
  ];
}

interface Recovered {
  readonly recovery: ConsensusRecovery;
  /** Highest index that was known to be committed before the restart. */
  readonly commit: number;
}

function applyRecord({ recovery, commit }: Recovered, record: JournalRecord): Recovered {
  switch (record.kind) {
    case 'hard':
      return { recovery: { ...recovery, hard: { term: record.term, vote: record.vote } }, commit };
    case 'entries': {
      const kept = recovery.log.filter(({ index }) => index < record.from);
      return { recovery: { ...recovery, log: [...kept, ...record.entries] }, commit };
    }
    case 'snapshot': {
      const { snapshot } = record;
      return { recovery: { ...recovery, snapshot, log: [] }, commit: snapshot.index };
    }
    default:
      return { recovery, commit: Math.max(commit, record.index) };
  }
}

/** Rebuilds a replica's state by replaying all records of its journal in order. */
export function recoverJournal(records: readonly unknown[]): Recovered {
  return (records as readonly JournalRecord[]).reduce(applyRecord, {
    recovery: { hard: { term: 0, vote: null }, snapshot: EMPTY_SNAPSHOT, log: [] },
    commit: 0,
  });
}
