/**
 * Who has heard from a voter, and how long ago. Replicas report it in their replies to the leader, since a leader's own
 * record ends with its process: after a restart it can't tell a host that was lost long ago from one that it hasn't
 * connected to yet.
 */
import { isQuorum } from './ConsensusLog.js';
import type {
  ConsensusContext,
  ConsensusState,
  ContactReport,
  ReplicaContact,
  ReportedContact,
} from './ConsensusTypes.js';

/**
 * A voter without contact to any voter for this long may be removed, ms. A replaced host has to be out of
 * the quorum by the time at which its successor must count as a voter, 4 s after the successor's start; hosts
 * that are only frozen or partitioned for longer return as learners and are voters again within a second.
 */
export const UNREACHABLE_VOTER_MS = 3_000;

/**
 * A process that has never heard from a voter states something about it only after this long, ms: several round trips
 * between regions, so that a link to a reachable host would be open.
 */
const FIRST_CONTACT_MS = 500;

/** A report that was requested longer ago than this doesn't count towards the majority, ms: six heartbeats. */
const RECENT_REPORT_MS = 900;

/**
 * What a process without a way to a voter states. It can't hear from the voter, but for lack of attempts it is no
 * witness of a silence.
 */
const NO_WAY = { ms: 2 * FIRST_CONTACT_MS, heard: false };

type Contacts = Readonly<Record<string, ReportedContact>>;

/** The contacts of this replica with the other voters, for a leader that asked at `askedAt` on its own clock. */
export function reportContacts(
  { id: self, members }: ConsensusState,
  askedAt: number,
  { now, heardAt }: ConsensusContext,
): ContactReport {
  const others = members.voters.filter((id) => id !== self);
  const ages = others.map((id) => {
    const contact = heardAt(id);
    const age = contact === undefined ? NO_WAY : { ms: now - contact.at, heard: contact.heard };
    return [id, age] as const;
  });
  return { askedAt, ages: Object.fromEntries(ages) };
}

function mergeContact(known: ReportedContact | undefined, next: ReportedContact): ReportedContact {
  // A late or repeated reply is older than what is known and must not hide a contact that was reported since.
  if (known === undefined || next.asOf <= known.asOf) {
    return known ?? next;
  }
  if (next.heard || !known.heard) {
    return next;
  }
  // The replica's process has restarted and forgotten its contact. What it had reported still holds once its new
  // process has had the time to connect.
  return next.asOf - next.at < FIRST_CONTACT_MS ? known : { ...known, asOf: next.asOf };
}

/**
 * Contacts of a replica after its reply. Their times are upper bounds, as the delay of the reply counts as
 * contact.
 */
export function mergeReport(
  known: Contacts,
  report: ContactReport | undefined,
  now: number,
): Contacts {
  const reported = Object.entries(report?.ages ?? {}).map(([id, { ms, heard }]) => {
    const contact = { at: now - ms, heard, asOf: report?.askedAt ?? 0 };
    return [id, mergeContact(known[id], contact)] as const;
  });
  return { ...known, ...Object.fromEntries(reported) };
}

/** The leader's contact with a replica by its replies in this term. */
export function repliesFrom({ progress }: ConsensusState, replica: string): ReplicaContact | null {
  const known = progress[replica];
  return known === undefined ? null : { at: known.heardAt, heard: known.hasReplied === true };
}

/** Whether there has been no contact for so long that a voter counts as unreachable. */
export function isSilent(contact: ReplicaContact | null, now: number): boolean {
  return contact !== null && now - contact.at > UNREACHABLE_VOTER_MS;
}

/** What a voter states about another one. */
interface Statement {
  readonly by: string;
  readonly contacts: readonly ReplicaContact[];
  readonly isRecent: boolean;
}

/** What the leader itself states about a voter, from its replies and the links between hosts. */
function ownStatement(state: ConsensusState, voter: string, view: ReachabilityView): Statement {
  const replies = repliesFrom(state, voter);
  const link = view.heardAt(voter);
  const contacts = [...(replies === null ? [] : [replies]), ...(link === undefined ? [] : [link])];
  return { by: state.id, contacts, isRecent: true };
}

/** What the other voters have stated about a voter in this term. */
function statementsOfOthers(
  { id: self, members, progress }: ConsensusState,
  voter: string,
  now: number,
): readonly Statement[] {
  return members.voters.flatMap((by) => {
    const contact = progress[by]?.contacts?.[voter];
    return by === self || by === voter || contact === undefined
      ? []
      : [{ by, contacts: [contact], isRecent: now - contact.asOf <= RECENT_REPORT_MS }];
  });
}

/** The leader's clock and links. */
export interface ReachabilityView {
  readonly now: number;
  readonly heardAt: ConsensusContext['heardAt'];
}

function statementsOn(
  state: ConsensusState,
  voter: string,
  view: ReachabilityView,
): readonly Statement[] {
  return [ownStatement(state, voter, view), ...statementsOfOthers(state, voter, view.now)];
}

/** For the log: for how long each voter has had no contact with a voter, or has sought it in vain, ms. */
export function silenceByVoter(
  state: ConsensusState,
  voter: string,
  view: ReachabilityView,
): Readonly<Record<string, number>> {
  const silences = statementsOn(state, voter, view).map(({ by, contacts }) => {
    const ages = contacts.map(({ at }) => Math.round(view.now - at));
    return [by, Math.min(...ages)] as const;
  });
  return Object.fromEntries(silences);
}

/**
 * Whether a voter is unreachable: a majority of the voters has stated so recently, one of them has sought contact for
 * the whole time in vain, and no voter has heard from it within that time.
 *
 * One voter's record suffices for the length of the silence, because the processes of the others may have
 * restarted meanwhile. One voter's contact suffices to keep the vote, because a partition may hide a voter from
 * the leader alone.
 */
export function isVoterUnreachable(
  state: ConsensusState,
  voter: string,
  view: ReachabilityView,
): boolean {
  const { now } = view;
  const statements = statementsOn(state, voter, view);
  const isHeard = statements.some(({ contacts }) =>
    contacts.some((contact) => contact.heard && !isSilent(contact, now)),
  );
  const isStated = ({ heard, at }: ReplicaContact): boolean =>
    heard || now - at >= FIRST_CONTACT_MS;
  const recent = statements.filter(({ isRecent, contacts }) => isRecent && contacts.some(isStated));
  const hasWitness = recent.some(({ contacts }) =>
    contacts.some((contact) => isSilent(contact, now)),
  );
  const majority = recent.map(({ by }) => by);
  return !isHeard && hasWitness && isQuorum(state.members, majority);
}
