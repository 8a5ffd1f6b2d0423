/** Generates random cases. Pure: the same seed gives the same case. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  STREAM_ROUTES,
  type FuzzAnswer,
  type FuzzAnswerKind,
  type FuzzCase,
  type FuzzCut,
  type FuzzEdit,
  type FuzzExtra,
  type FuzzHeadChange,
  type FuzzRequest,
  type FuzzRoute,
} from './FuzzTypes.js';

const ROUTES: readonly FuzzRoute[] = ['ask', 'hold', 'stream', 'fixed'];

const HEAD_CHANGES: readonly FuzzHeadChange[] = [
  'noSeal',
  'emptySeal',
  'twoSeals',
  'otherId',
  'noId',
  'emptyId',
  'ownIdThenOther',
  'otherIdThenOwn',
  'doubledLine',
  'foldedLine',
  'emptyLine',
  'bareLf',
  'nul',
  'hopSeal',
  'hopSealTwice',
  'hopId',
  'shortLength',
  'longLength',
  'twoLengths',
  'lengthAndChunks',
  'otherCoding',
  'codedChunks',
  'signedLength',
  'notRun',
  'statusNoContent',
  'statusUnmodified',
  'statusMoved',
  'statusMisdirected',
  'statusUnavailable',
  'statusError',
  'statusHigh',
  'interim',
  'interimTwice',
  'switching',
  'olderProtocol',
  'plainType',
  'eventType',
];

/** Bytes that are significant to an HTTP parser. */
const SIGNIFICANT_BYTES = [0, 9, 10, 13, 32, 44, 48, 58, 59, 127, 255];

/** Maximum number of events of a stream and of bytes of a body: enough for several writes. */
const MAX_EVENTS = 5;
const MAX_BODY_BYTES = 60;

const MAX_PAUSE_MS = 3;

const MAX_REQUESTS = 4;

/** Random number generator of one case. */
class FuzzRandom {
  readonly #rng;

  constructor(seed: number) {
    this.#rng = xoroshiro128plus(seed);
  }

  nextFraction(): number {
    return uniformFloat64(this.#rng);
  }

  /** Integer from 0 to `limit` - 1. */
  nextInteger(limit: number): number {
    return Math.floor(this.nextFraction() * limit);
  }

  chance(probability: number): boolean {
    return this.nextFraction() < probability;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.nextInteger(items.length)] as T;
  }

  listOf<T>(maxLength: number, draw: () => T): readonly T[] {
    return Array.from({ length: this.nextInteger(maxLength + 1) }, draw);
  }
}

function drawEdit(random: FuzzRandom): FuzzEdit {
  const kind = random.pick(['flip', 'insert', 'double', 'drop'] as const);
  const region = random.pick(['status', 'name', 'value', 'size', 'event', 'body'] as const);
  const values = {
    flip: 2 ** random.nextInteger(8),
    insert: random.chance(0.7) ? random.pick(SIGNIFICANT_BYTES) : random.nextInteger(256),
    double: 1 + random.nextInteger(6),
    drop: 1 + random.nextInteger(6),
  };
  return { kind, region, at: random.nextFraction(), value: values[kind] };
}

function drawCut(random: FuzzRandom): FuzzCut {
  const by = random.chance(0.1) ? 'stall' : random.pick(['fin', 'reset'] as const);
  return { at: random.nextFraction(), by };
}

function drawExtra(random: FuzzRandom): FuzzExtra {
  return {
    when: random.pick(['same', 'soon', 'next'] as const),
    id: random.pick(['same', 'same', 'earlier', 'none'] as const),
    kind: random.pick(['plain', 'stream', 'failure'] as const),
  };
}

/** Draws the faults of an answer; most answers have only one, so that the entry doesn't reject them early. */
function drawFaults(
  random: FuzzRandom,
): Pick<FuzzAnswer, 'head' | 'edits' | 'cut' | 'extras'> & { end: FuzzAnswer['end'] } {
  const none = { head: [], edits: [], cut: null, extras: [], end: 'keep' as const };
  const faultDraws: readonly (() => Partial<FuzzAnswer>)[] = [
    () => ({ head: [random.pick(HEAD_CHANGES)] }),
    () => ({ head: [random.pick(HEAD_CHANGES)] }),
    () => ({ edits: [drawEdit(random), ...random.listOf(1, () => drawEdit(random))] }),
    () => ({ edits: [drawEdit(random)] }),
    () => ({ cut: drawCut(random) }),
    () => ({ extras: [drawExtra(random)] }),
    () => ({ end: random.pick(['fin', 'reset'] as const) }),
    () => ({ head: [random.pick(HEAD_CHANGES)], cut: drawCut(random) }),
    () => ({ head: [random.pick(HEAD_CHANGES)], extras: [drawExtra(random)] }),
  ];
  return random.chance(0.3) ? none : { ...none, ...random.pick(faultDraws)() };
}

function drawKind(random: FuzzRandom, route: FuzzRoute): FuzzAnswerKind {
  if (random.chance(0.75)) {
    return STREAM_ROUTES.has(route) ? 'stream' : 'plain';
  }
  return random.pick(['failure', 'refusal', 'refusal', 'drop', 'plain', 'stream'] as const);
}

function drawAnswer(random: FuzzRandom, route: FuzzRoute): FuzzAnswer {
  const kind = drawKind(random, route);
  return {
    kind,
    framing: random.pick(['length', 'chunked', 'close'] as const),
    size: random.chance(0.1)
      ? 0
      : 1 + random.nextInteger(kind === 'stream' ? MAX_EVENTS : MAX_BODY_BYTES),
    ...drawFaults(random),
    splits: random.listOf(3, () => random.nextFraction()),
    pauseMs: random.nextInteger(MAX_PAUSE_MS + 1),
  };
}

function drawRequest(random: FuzzRandom, isFirst: boolean): FuzzRequest {
  const route = random.pick(ROUTES);
  const first = drawAnswer(random, route);
  return {
    route,
    size: random.chance(0.3) ? 0 : 1 + random.nextInteger(MAX_BODY_BYTES),
    isChunked: random.chance(0.25),
    splits: random.chance(0.2) ? random.listOf(3, () => random.nextFraction()) : [],
    pauseMs: random.nextInteger(MAX_PAUSE_MS),
    lastEvent: route === 'stream' && random.chance(0.4) ? random.nextInteger(MAX_EVENTS + 1) : null,
    isPipelined: !isFirst && random.chance(0.15),
    answers: [first, ...random.listOf(1, () => drawAnswer(random, route))],
  };
}

/** Generates the case of a seed. */
export function drawCase(seed: number): FuzzCase {
  const random = new FuzzRandom(seed);
  const count = 1 + random.nextInteger(MAX_REQUESTS);
  return {
    endpoints: 1 + random.nextInteger(2),
    requests: Array.from({ length: count }, (_item, i) => drawRequest(random, i === 0)),
  };
}
