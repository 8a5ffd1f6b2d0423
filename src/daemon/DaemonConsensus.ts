/**
 * Runs the consensus replica of a control process: owns its data folder, its log and the replicated state. Inputs are
 * queued in a mailbox and processed in batches; messages are sent only after their batch is synced to disk.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import {
  initConsensus,
  lastIndex,
  stepConsensus,
  type ConsensusContext,
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
  restoreControl,
  type CommandResult,
  type ControlCommand,
  type ControlState,
  type StateDataFolder,
} from '../state/index.js';
import {
  toJournal,
  recoverJournal,
  toRecords,
  type JournalRecord,
} from './DaemonConsensusJournal.js';
import { DaemonReplicationLog } from './DaemonReplicationLog.js';

/** How long a proposal or read may be pending before its caller gets null, i.e. an unknown outcome, ms. */
const REQUEST_TIMEOUT_MS = 2_500;

/** Interval at which a write that the disk refused is retried, ms. */
const DISK_RETRY_INTERVAL_MS = 150;

/** Dependencies of {@link DaemonConsensus}. */
export interface ConsensusOptions {
  readonly folder: StateDataFolder;
  readonly compactEvery: number;
  readonly log: Logger;
  readonly now: () => number;
  readonly rng: RandomGenerator;
  readonly send: (to: string, message: ConsensusMessage) => void;
  /** See {@link ConsensusContext}. */
  readonly heardAt: ConsensusContext['heardAt'];
  /** Called after the replicated state has changed or may have changed. */
  readonly onStateChange: (state: ControlState) => void;
}

type OutputHandlers = {
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

/** Result of a proposal; null if it was refused, was lost or was not decided in time. */
export type ProposalResult = CommandResult | null;

/** A consensus replica. */
export class DaemonConsensus {
  readonly #options: ConsensusOptions;

  readonly #proposals = new Map() as PendingRequests<ProposalResult>;

  /** Own proposals that are in the log but not applied yet, by index, with the term in which they were made. */
  readonly #proposalsByIndex = new Map<number, { readonly id: string; readonly term: number }>();

  readonly #reads = new Map() as PendingRequests<number | null>;

  /** Handlers of the outputs by type, called once all of their batch is synced. */
  readonly #outputHandlers: OutputHandlers = {
    send: ({ to, message }) => {
      this.#replicationLog.onSend(to, message);
      this.#options.send(to, message);
    },
    commit: ({ entries }) => {
      this.#applyEntries(entries);
      this.#options.onStateChange(this.#control);
    },
    restore: ({ snapshot }) => {
      this.#control = restoreControl(snapshot.image);
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
    role: ({ role, term }) =>
      this.#options.log.info({ event: 'role', role, term }, 'role of the replica changed'),
  };

  readonly #replicationLog: DaemonReplicationLog;

  #state: ConsensusState;

  #control: ControlState;

  #mailbox: ConsensusInput[] = [];

  #isDraining = false;

  #counter = 0;

  #hasFailed = false;

  constructor(options: ConsensusOptions) {
    this.#options = options;
    this.#replicationLog = new DaemonReplicationLog(options.log, options.now);
    const { recovery, commit } = recoverJournal(options.folder.recovered);
    this.#control = restoreControl(recovery.snapshot.image);
    this.#state = initConsensus(options.folder.identity.replica, recovery, this.#context());
    // Everything up to the recorded commit index was committed before the restart, so it is applied again at once.
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

  /** Queues a message, a tick or a command; its outputs follow once they are synced. */
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

  /**
   * Proposes a command; resolves with its result once it is applied here, or with null (see {@link ProposalResult}).
   */
  async propose(command: ControlCommand): Promise<ProposalResult> {
    return this.#request(this.#proposals, (id) => ({ type: 'propose', id, command }));
  }

  /** Proposes new members; resolves with result `done` once they are committed, or with null. */
  async changeMembers(members: ConsensusMembers): Promise<ProposalResult> {
    return this.#request(this.#proposals, (id) => ({ type: 'members', id, members }));
  }

  /**
   * Resolves with an index at or above that of everything accepted before this call; with null if this replica is not
   * the leader, or can't confirm that in time.
   */
  async readIndex(): Promise<number | null> {
    return this.#request(this.#reads, (id) => ({ type: 'read', id }));
  }

  /** Founds a cluster by persisting an empty snapshot that names its voters. */
  async foundCluster(members: ConsensusMembers): Promise<void> {
    const snapshot = { index: 0, term: 0, members, image: EMPTY_CONTROL };
    await this.#options.folder.append([{ kind: 'snapshot', snapshot } satisfies JournalRecord]);
    this.#state = { ...this.#state, snapshot, members };
  }

  /**
   * Resolves proposals and reads that have been pending too long with null: their outcome is unknown until the caller
   * submits again.
   */
  expire(): void {
    this.#replicationLog.tick();
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

  /** Logs what was found in the data folder, and the members, whose votes an election needs. */
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

  #context(): ConsensusContext {
    const { now, rng, heardAt } = this.#options;
    return { now: now(), rng, heardAt };
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
      // Batches run one after another: what the next one sends relies on what this one has synced.
      // eslint-disable-next-line no-await-in-loop
      await this.#persistWithRetries(outputs);
      outputs.forEach((output) => this.#outputHandlers[output.type]?.(output as never));
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
   * Syncs a batch, retrying until that succeeds.
   *
   * A full disk refuses every write for seconds. If the replica exited because of that, its hub would go down with it
   * and restart on the same disk. Instead it sends nothing until the batch is synced; the other replicas then
   * consider it down and elect another leader.
   */
  async #persistWithRetries(outputs: readonly ConsensusOutput[]): Promise<void> {
    let failures = 0;
    for (;;) {
      try {
        // eslint-disable-next-line no-await-in-loop
        await this.#persist(outputs);
        if (failures > 0) {
          this.#options.log.info(
            { event: 'disk', failures },
            'the data folder accepts writes again',
          );
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
    const records = outputs.flatMap(toRecords);
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
        // An entry of another term at this index has replaced our proposal, which is lost.
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
