/** Requests that were answered whole a short while ago: an end of their endpoint isn't held against them. */
import { isSameRequest, type RequestIdentity } from '../protocol/index.js';

/** Answers remembered, and bytes of their requests: one that is sent all the time is among them. */
const MAX_ANSWERS = 64;
const MAX_BYTES = 65_536;

/** An answer says that the endpoints of today can run the request for this long, ms. */
const ANSWER_TTL_MS = 30_000;

/** Answers, oldest first. */
export type RecentAnswers = readonly {
  readonly identity: RequestIdentity;
  readonly at: number;
}[];

/** Remembers an answer. Nothing is hashed: there is hardly ever anything to compare it with. */
export function rememberAnswer(
  answers: RecentAnswers,
  identity: RequestIdentity,
  now: number,
): RecentAnswers {
  if (identity.body.length > MAX_BYTES / 8) {
    return answers;
  }
  const all = [...answers.slice(1 - MAX_ANSWERS), { identity, at: now }];
  let bytes = 0;
  const from = all.findLastIndex(({ identity: { body } }) => {
    bytes += body.length;
    return bytes > MAX_BYTES;
  });
  return all.slice(from + 1);
}

/** Whether the same request was answered whole a short while ago. */
export function wasRecentlyAnswered(
  answers: RecentAnswers,
  identity: RequestIdentity,
  now: number,
): boolean {
  return answers.some(
    (answer) => now - answer.at < ANSWER_TTL_MS && isSameRequest(answer.identity, identity),
  );
}
