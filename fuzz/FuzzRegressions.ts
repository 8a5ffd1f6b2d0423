/** Cases that ever failed, each with what it guards against; CI plays them all. */
import type { FuzzAnswer, FuzzCase, FuzzRequest } from './FuzzTypes.js';

/** A case that failed. */
export interface FuzzRegression {
  readonly name: string;
  /** What callers would see again. */
  readonly symptom: string;
  /** Seed that it was found by. */
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

/** One request, and what its arrivals get. */
function singleRequestCase(
  route: FuzzRequest['route'],
  ...answers: readonly FuzzAnswer[]
): FuzzCase {
  return { endpoints: 2, requests: [{ ...REQUEST, route, answers }] };
}

export const REGRESSIONS: readonly FuzzRegression[] = [
  {
    name: 'a seal that Connection names',
    symptom: 'a success without the seal',
    seed: 43,
    plan: singleRequestCase('ask', { ...PLAIN, head: ['hopSeal'] }),
  },
  {
    name: 'an id that Connection names',
    symptom: 'a success without the id of its request',
    seed: 20,
    plan: singleRequestCase('hold', { ...PLAIN, head: ['hopId'] }),
  },
  {
    name: 'an empty seal',
    symptom: 'a success with a seal that holds nothing',
    seed: 46,
    plan: singleRequestCase('hold', { ...PLAIN, head: ['emptySeal'] }),
  },
  {
    name: 'the ids of two requests',
    symptom: 'a success that bears the id of another request too',
    seed: 85,
    plan: singleRequestCase('ask', { ...PLAIN, head: ['ownIdThenOther'] }),
  },
  {
    name: 'a transfer coding that is not chunks',
    symptom: 'coded bytes as the body of a success',
    seed: 77,
    plan: singleRequestCase('stream', { ...STREAM, framing: 'close', head: ['otherCoding'] }),
  },
  {
    name: 'a seal with a byte beyond ASCII',
    symptom: 'a stream with a changed seal',
    seed: 3_519,
    plan: singleRequestCase('stream', {
      ...STREAM,
      framing: 'close',
      edits: [{ kind: 'insert', region: 'value', at: 0.718, value: 255 }],
    }),
  },
  {
    name: 'a stream that goes on as a plain answer',
    symptom: 'a stream that ends by a fault of the entry',
    seed: 984,
    plan: singleRequestCase('stream', { ...STREAM, cut: { at: 0.85, by: 'reset' } }, PLAIN),
  },
  {
    name: 'an answer without a length that is given up half way',
    symptom: 'an entry process that ends with all its streams',
    seed: 1,
    plan: singleRequestCase('ask', {
      ...STREAM,
      framing: 'close',
      edits: [{ kind: 'flip', region: 'event', at: 0.99, value: 1 }],
    }),
  },
  {
    name: 'a stream without an event',
    symptom: 'a success with a head that the HTTP library has made up',
    seed: 1,
    plan: singleRequestCase('stream', { ...STREAM, size: 0 }),
  },
  {
    name: 'an event that has lost its id, and a break behind it',
    symptom: 'an event twice in a stream that goes on after the one before',
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
