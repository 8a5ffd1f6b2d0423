/**
 * Task that owns a control process's replica: its data folder, its log and the replicated state.
 * It reads a mailbox, one batch at a time, and syncs before it sends.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import {
  initConsensus,
  lastIndex,
  stepConsensus,
  type ConsensusEntry,
  type ConsensusInput,
  type ConsensusMembers,
  type ConsensusMessage,
  type ConsensusOutput,
  type ConsensusState,
} from '../coordination/index.js';
import {
  applyCommand,
  EMPTY_CONTROL,
  type CommandResult,
  type ControlCommand,
  type ControlState,
  type StateDataFolder,
} from '../state/index.js';
import {
  toJournal,
  recoverJournal,
  toRecord,
  type JournalRecord,
} from './DaemonConsensusJournal.js';

/** How long a proposal or read may take before its caller is told that it is open. In ms. */
const REQUEST_TIMEOUT_MS = 2_500;

/** How often a disk that refuses writes is tried again, ms. */
const DISK_RETRY_INTERVAL_MS = 150;

/** What the task needs. */
export interface ConsensusTaskOptions {
  readonly folder: StateDataFolder;
  readonly compactEvery: number;
  readonly log: Logger;
  readonly now: () => number;
  readonly rng: RandomGenerator;
  readonly send: (to: string, message: ConsensusMessage) => void;
  /** Called after the replicated state has changed, or may have. */
  readonly onStateChange: (state: ControlState) => void;
}

type Performers = {
  readonly [T in ConsensusOutput['type']]?: (output: Extract<ConsensusOutput, { type: T }>) => void;
};

interface PendingRequest<T> {
  readonly resolve: (value: T) => void;
  readonly expiresAt: number;
}

type PendingRequests<T> = Map<string, PendingRequest<T>>;

function settle<T>(pending: PendingRequests<T>, id: string, value: T): void {
  pending.get(id)?.resolve(value);
  pending.delete(id);
}

/** Result of a proposal; `null` when it was refused, lost or not decided in time. */
export type ProposalResult = CommandResult | null;

/** One replica. */
export class DaemonConsensus {
  readonly #options: ConsensusTaskOptions;

  readonly #proposals = new Map() as PendingRequests<ProposalResult>;

  /** Proposals in the log by index, with the term they were made in. */
  readonly #proposalsByIndex = new Map<number, { readonly id: string; readonly term: number }>();

  readonly #reads = new Map() as PendingRequests<number | null>;

  /** How each output is carried out, once all of its batch is synced. */
  readonly #performers: Performers = {
    send: ({ to, message }) => this.#options.send(to, message),
    commit: ({ entries }) => {
      this.#applyEntries(entries);
      this.#options.onStateChange(this.#control);
    },
    restore: ({ snapshot }) => {
      this.#control = snapshot.image as ControlState;
      this.#options.onStateChange(this.#control);
    },
    proposed: ({ id, index, term }) => {
      this.#proposalsByIndex.set(index, { id, term });
    },
    refused: ({ id }) => {
      settle(this.#proposals, id, null);
      settle(this.#reads, id, null);
    },
    readReady: ({ id, index }) => settle(this.#reads, id, index),
    role: ({ role, term }) => this.#options.log.info({ event: 'role', role, term }, 'new role'),
  };

  #state: ConsensusState;

  #control: ControlState;

  #mailbox: ConsensusInput[] = [];

  #isDraining = false;

  #counter = 0;

  #hasFailed = false;

  constructor(options: ConsensusTaskOptions) {
    this.#options = options;
    const { recovery, commit } = recoverJournal(options.folder.recovered);
    this.#control = (recovery.snapshot.image as ControlState | null) ?? EMPTY_CONTROL;
    this.#state = initConsensus(options.folder.identity.replica, recovery, this.#context());
    // What was handed out before the restart was committed; it is applied again at once.
    const committed = recovery.log.filter(({ index }) => index <= commit);
    this.#state = { ...this.#state, commit: Math.max(recovery.snapshot.index, commit) };
    this.#applyEntries(committed);
    this.#logRecovered();
  }

  get state(): ConsensusState {
    return this.#state;
  }

  get control(): ControlState {
    return this.#control;
  }

  /** Whether this replica belongs to a cluster. */
  get isFormed(): boolean {
    return this.#state.members.voters.length > 0 || lastIndex(this.#state) > 0;
  }

  /** Takes a message, a tick or a command; outputs follow once they are synced. */
  post(input: ConsensusInput): void {
    this.#mailbox.push(input);
    if (!this.#isDraining && !this.#hasFailed) {
      this.#isDraining = true;
      this.#drainMailbox().catch((err: unknown) => {
        this.#options.log.fatal({ err }, 'the replica failed');
        this.#hasFailed = true;
        process.exitCode = 1;
        process.kill(process.pid, 'SIGTERM');
      });
    }
  }

  /** Proposes a command; resolves once it is applied here. */
  async propose(command: ControlCommand): Promise<ProposalResult> {
    return this.#request(this.#proposals, (id) => ({ type: 'propose', id, command }));
  }

  /** Proposes new members; resolves with `done` once committed. */
  async changeMembers(members: ConsensusMembers): Promise<ProposalResult> {
    return this.#request(this.#proposals, (id) => ({ type: 'members', id, members }));
  }

  /** Index that every acceptance before now is at or below; null if this isn't the leader. */
  async readIndex(): Promise<number | null> {
    return this.#request(this.#reads, (id) => ({ type: 'read', id }));
  }

  /** Founds a cluster: this replica's snapshot of nothing names the voters. */
  async foundCluster(members: ConsensusMembers): Promise<void> {
    const snapshot = { index: 0, term: 0, members, image: EMPTY_CONTROL };
    await this.#options.folder.append([{ kind: 'snapshot', snapshot } satisfies JournalRecord]);
    this.#state = { ...this.#state, snapshot, members };
  }

  /** Gives up on what has waited too long: the outcome is open, and a resend will tell. */
  expire(): void {
    const now = this.#options.now();
    const expireIn = <T>(pending: PendingRequests<T | null>): void =>
      pending.forEach(({ expiresAt }, id) => {
        if (now > expiresAt) {
          settle(pending, id, null);
        }
      });
    expireIn(this.#proposals);
    expireIn(this.#reads);
  }

  /** What was found in the data folder, and whose votes an election needs. */
  #logRecovered(): void {
    const { term, commit, members } = this.#state;
    this.#options.log.info(
      {
        event: 'recovered',
        replica: this.#state.id,
        records: this.#options.folder.recovered.length,
        term,
        last: lastIndex(this.#state),
        commit,
        ...members,
      },
      'data folder read',
    );
  }

  #context() {
    return { now: this.#options.now(), rng: this.#options.rng };
  }

  async #request<T>(
    pending: PendingRequests<T>,
    makeInput: (id: string) => ConsensusInput,
  ): Promise<T> {
    this.#counter += 1;
    const id = `${this.#counter}`;
    return new Promise((resolve) => {
      pending.set(id, { resolve, expiresAt: this.#options.now() + REQUEST_TIMEOUT_MS });
      this.post(makeInput(id));
    });
  }

  async #drainMailbox(): Promise<void> {
    while (this.#mailbox.length > 0) {
      const inputs = this.#mailbox;
      this.#mailbox = [];
      const outputs = inputs.flatMap((input) => this.#step(input));
      // One batch after another: the sync below is what the next batch's promises rest on.
      // eslint-disable-next-line no-await-in-loop
      await this.#persistWithRetries(outputs);
      outputs.forEach((output) => this.#performers[output.type]?.(output as never));
      this.#compact();
    }
    this.#isDraining = false;
  }

  #step(input: ConsensusInput): readonly ConsensusOutput[] {
    const { state, outputs } = stepConsensus(this.#state, input, this.#context());
    this.#state = state;
    return outputs;
  }

  /**
   * Syncs a batch, however long that takes.
   *
   * Failure: a full disk refuses every write for seconds. Symptom: a replica that ends because of it
   * takes its hub down too, and comes back to the same disk. Enough: until its batch is synced a
   * replica sends nothing, which to the others is a replica that is down; they elect another leader.
   */
  async #persistWithRetries(outputs: readonly ConsensusOutput[]): Promise<void> {
    let failures = 0;
    for (;;) {
      try {
        // eslint-disable-next-line no-await-in-loop
        await this.#persist(outputs);
        if (failures > 0) {
          this.#options.log.info({ event: 'disk', failures }, 'the data folder takes writes again');
        }
        return;
      } catch (err) {
        if (failures === 0) {
          this.#options.log.error({ event: 'disk', err }, 'the data folder refuses writes');
        }
        failures += 1;
        // eslint-disable-next-line no-await-in-loop
        await delay(DISK_RETRY_INTERVAL_MS);
      }
    }
  }

  async #persist(outputs: readonly ConsensusOutput[]): Promise<void> {
    const hasSnapshot = outputs.some(({ type }) => type === 'persistSnapshot');
    if (hasSnapshot) {
      await this.#options.folder.rewrite(toJournal(this.#state));
      return;
    }
    const records = outputs.flatMap(toRecord);
    if (records.length > 0) {
      await this.#options.folder.append(records);
    }
  }

  #applyEntries(entries: readonly ConsensusEntry[]): void {
    entries.forEach(({ index, term, payload }) => {
      const applied =
        payload.kind === 'command'
          ? applyCommand(this.#control, payload.command as ControlCommand, index)
          : { state: { ...this.#control, index }, result: { result: 'done' } as const };
      this.#control = applied.state;
      const proposal = this.#proposalsByIndex.get(index);
      if (proposal !== undefined) {
        this.#proposalsByIndex.delete(index);
        // Another leader's entry stands where ours did: ours was lost.
        settle(this.#proposals, proposal.id, proposal.term === term ? applied.result : null);
      }
    });
  }

  #compact(): void {
    const { compactEvery } = this.#options;
    const { commit, snapshot } = this.#state;
    if (commit - snapshot.index >= compactEvery && this.#control.index === commit) {
      this.post({ type: 'compact', index: commit, image: this.#control });
    }
  }
}
