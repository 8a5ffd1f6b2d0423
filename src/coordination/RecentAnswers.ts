/** Requests that were completely answered a short while ago: a crash of their endpoint does not make them suspect. */
import { isSameRequest, type RequestIdentity } from '../protocol/index.js';

/** Maximum number of answers, and of bytes of their requests; a request that is sent all the time stays among them. */
const MAX_ANSWERS = 64;
const MAX_BYTES = 65_536;

/** For this long an answer shows that the current endpoints can run the request, ms. */
const ANSWER_TTL_MS = 30_000;

/** Answers, oldest first; `at` in ms. */
export type RecentAnswers = readonly {
  readonly identity: RequestIdentity;
  readonly at: number;
}[];

/** Remembers an answer, unless the request is large. Requests aren't hashed, as they are rarely compared. */
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

/** Whether the same request was completely answered a short while ago. */
export function wasRecentlyAnswered(
  answers: RecentAnswers,
  identity: RequestIdentity,
  now: number,
): boolean {
  return answers.some(
    (answer) => now - answer.at < ANSWER_TTL_MS && isSameRequest(answer.identity, identity),
  );
}
