/** Draws cases from seeds. Pure: the same seed gives the same case. */
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

/** Bytes that mean something to a parser of HTTP. */
const TELLING_BYTES = [0, 9, 10, 13, 32, 44, 48, 58, 59, 127, 255];

/** Events of a stream and bytes of a body at most: enough for several writes. */
const MOST_EVENTS = 5;
const MOST_BODY_BYTES = 60;

const MOST_PAUSE_MS = 3;

const MOST_REQUESTS = 4;

/** Numbers of one case. */
class FuzzDraw {
  readonly #rng;

  constructor(seed: number) {
    this.#rng = xoroshiro128plus(seed);
  }

  share(): number {
    return uniformFloat64(this.#rng);
  }

  /** A whole number from 0 up to and without `below`. */
  below(below: number): number {
    return Math.floor(this.share() * below);
  }

  chance(share: number): boolean {
    return this.share() < share;
  }

  of<T>(items: readonly T[]): T {
    return items[this.below(items.length)] as T;
  }

  list<T>(most: number, draw: () => T): readonly T[] {
    return Array.from({ length: this.below(most + 1) }, draw);
  }
}

function drawEdit(draw: FuzzDraw): FuzzEdit {
  const kind = draw.of(['flip', 'insert', 'double', 'drop'] as const);
  const region = draw.of(['status', 'name', 'value', 'size', 'event', 'body'] as const);
  const values = {
    flip: 2 ** draw.below(8),
    insert: draw.chance(0.7) ? draw.of(TELLING_BYTES) : draw.below(256),
    double: 1 + draw.below(6),
    drop: 1 + draw.below(6),
  };
  return { kind, region, at: draw.share(), value: values[kind] };
}

function drawCut(draw: FuzzDraw): FuzzCut {
  const by = draw.chance(0.1) ? 'stall' : draw.of(['fin', 'reset'] as const);
  return { at: draw.share(), by };
}

function drawExtra(draw: FuzzDraw): FuzzExtra {
  return {
    when: draw.of(['same', 'soon', 'next'] as const),
    id: draw.of(['same', 'same', 'earlier', 'none'] as const),
    kind: draw.of(['plain', 'stream', 'failure'] as const),
  };
}

/** What an endpoint does to its answer; most answers have one flaw, so that they get far. */
function drawFlaws(
  draw: FuzzDraw,
): Pick<FuzzAnswer, 'head' | 'edits' | 'cut' | 'extras'> & { end: FuzzAnswer['end'] } {
  const none = { head: [], edits: [], cut: null, extras: [], end: 'keep' as const };
  const flaws: readonly (() => Partial<FuzzAnswer>)[] = [
    () => ({ head: [draw.of(HEAD_CHANGES)] }),
    () => ({ head: [draw.of(HEAD_CHANGES)] }),
    () => ({ edits: [drawEdit(draw), ...draw.list(1, () => drawEdit(draw))] }),
    () => ({ edits: [drawEdit(draw)] }),
    () => ({ cut: drawCut(draw) }),
    () => ({ extras: [drawExtra(draw)] }),
    () => ({ end: draw.of(['fin', 'reset'] as const) }),
    () => ({ head: [draw.of(HEAD_CHANGES)], cut: drawCut(draw) }),
    () => ({ head: [draw.of(HEAD_CHANGES)], extras: [drawExtra(draw)] }),
  ];
  return draw.chance(0.3) ? none : { ...none, ...draw.of(flaws)() };
}

function drawKind(draw: FuzzDraw, route: FuzzRoute): FuzzAnswerKind {
  if (draw.chance(0.75)) {
    return STREAM_ROUTES.has(route) ? 'stream' : 'plain';
  }
  return draw.of(['failure', 'refusal', 'refusal', 'drop', 'plain', 'stream'] as const);
}

function drawAnswer(draw: FuzzDraw, route: FuzzRoute): FuzzAnswer {
  const kind = drawKind(draw, route);
  return {
    kind,
    framing: draw.of(['length', 'chunked', 'close'] as const),
    size: draw.chance(0.1) ? 0 : 1 + draw.below(kind === 'stream' ? MOST_EVENTS : MOST_BODY_BYTES),
    ...drawFlaws(draw),
    splits: draw.list(3, () => draw.share()),
    pauseMs: draw.below(MOST_PAUSE_MS + 1),
  };
}

function drawRequest(draw: FuzzDraw, isFirst: boolean): FuzzRequest {
  const route = draw.of(ROUTES);
  const first = drawAnswer(draw, route);
  return {
    route,
    size: draw.chance(0.3) ? 0 : 1 + draw.below(MOST_BODY_BYTES),
    isChunked: draw.chance(0.25),
    splits: draw.chance(0.2) ? draw.list(3, () => draw.share()) : [],
    pauseMs: draw.below(MOST_PAUSE_MS),
    lastEvent: route === 'stream' && draw.chance(0.4) ? draw.below(MOST_EVENTS + 1) : null,
    isPipelined: !isFirst && draw.chance(0.15),
    answers: [first, ...draw.list(1, () => drawAnswer(draw, route))],
  };
}

/** The case of a seed. */
export function planCase(seed: number): FuzzCase {
  const draw = new FuzzDraw(seed);
  const count = 1 + draw.below(MOST_REQUESTS);
  return {
    endpoints: 1 + draw.below(2),
    requests: Array.from({ length: count }, (_item, i) => drawRequest(draw, i === 0)),
  };
}
