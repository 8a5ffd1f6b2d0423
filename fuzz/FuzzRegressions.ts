/** Cases that failed once, each with its symptom; CI runs them all. */
import type { FuzzAnswer, FuzzCase, FuzzRequest } from './FuzzTypes.js';

/** A case that failed. */
export interface FuzzRegression {
  readonly name: string;
  /** What a caller saw when the case failed. */
  readonly symptom: string;
  /** Seed with which it was found. */
  readonly seed: number;
  readonly plan: FuzzCase;
}

const PLAIN: FuzzAnswer = {
  kind: 'plain',
  framing: 'length',
  size: 20,
  head: [],
  edits: [],
  cut: null,
  extras: [],
  splits: [],
  pauseMs: 0,
  end: 'keep',
};

const STREAM: FuzzAnswer = { ...PLAIN, kind: 'stream', framing: 'chunked', size: 3 };

const REQUEST: FuzzRequest = {
  route: 'ask',
  size: 0,
  isChunked: false,
  splits: [],
  pauseMs: 0,
  lastEvent: null,
  isPipelined: false,
  answers: [],
};

/** Case of one request and the answers to its arrivals. */
function singleRequestCase(
  route: FuzzRequest['route'],
  ...answers: readonly FuzzAnswer[]
): FuzzCase {
  return { endpoints: 2, requests: [{ ...REQUEST, route, answers }] };
}

export const REGRESSIONS: readonly FuzzRegression[] = [
  {
    name: 'a seal that is named in Connection',
    symptom: 'a success without the seal',
    seed: 43,
    plan: singleRequestCase('ask', { ...PLAIN, head: ['hopSeal'] }),
  },
  {
    name: 'an id that is named in Connection',
    symptom: 'a success without the id of its request',
    seed: 20,
    plan: singleRequestCase('hold', { ...PLAIN, head: ['hopId'] }),
  },
  {
    name: 'an empty seal',
    symptom: 'a success with an empty seal',
    seed: 46,
    plan: singleRequestCase('hold', { ...PLAIN, head: ['emptySeal'] }),
  },
  {
    name: 'the ids of two requests',
    symptom: 'a success that also has the id of another request',
    seed: 85,
    plan: singleRequestCase('ask', { ...PLAIN, head: ['ownIdThenOther'] }),
  },
  {
    name: 'a transfer coding other than chunked',
    symptom: 'encoded bytes as the body of a success',
    seed: 77,
    plan: singleRequestCase('stream', { ...STREAM, framing: 'close', head: ['otherCoding'] }),
  },
  {
    name: 'a seal with a non-ASCII byte',
    symptom: 'a stream with an altered seal',
    seed: 3_519,
    plan: singleRequestCase('stream', {
      ...STREAM,
      framing: 'close',
      edits: [{ kind: 'insert', region: 'value', at: 0.718, value: 255 }],
    }),
  },
  {
    name: 'a stream that is resumed with a plain answer',
    symptom: 'a stream that ends because of an error in the entry',
    seed: 984,
    plan: singleRequestCase('stream', { ...STREAM, cut: { at: 0.85, by: 'reset' } }, PLAIN),
  },
  {
    name: 'an answer without a length that is aborted half way',
    symptom: 'an entry process that crashes with all its streams',
    seed: 1,
    plan: singleRequestCase('ask', {
      ...STREAM,
      framing: 'close',
      edits: [{ kind: 'flip', region: 'event', at: 0.99, value: 1 }],
    }),
  },
  {
    name: 'a stream without events',
    symptom: 'a success with a head that the HTTP library generated',
    seed: 1,
    plan: singleRequestCase('stream', { ...STREAM, size: 0 }),
  },
  {
    name: 'an event without its id, followed by a break of the connection',
    symptom: 'an event that is repeated after the stream is resumed from the event before it',
    seed: 905_711,
    plan: {
      endpoints: 2,
      requests: [
        { ...REQUEST, route: 'fixed' },
        {
          ...REQUEST,
          route: 'stream',
          answers: [
            {
              ...STREAM,
              size: 4,
              edits: [{ kind: 'drop', region: 'body', at: 0.2802788168206021, value: 4 }],
            },
          ],
        },
      ],
    },
  },
];
