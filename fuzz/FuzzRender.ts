/** Renders an endpoint's answer as bytes and applies the changes of its script. Pure. */
import { WIRE_NAMES } from '../platform/__tests__/utils/StandInWire.js';
import { changeHead, headLine, type AnswerHeadText, type HeadLine } from './FuzzHead.js';
import type {
  FuzzAnswer,
  FuzzAnswerKind,
  FuzzEdit,
  FuzzExtra,
  FuzzFraming,
  FuzzRegion,
  FuzzWrite,
} from './FuzzTypes.js';

/** Values of an arrival that its answer depends on. */
export interface RenderContext {
  readonly id: string;
  /** Id of the previous request on the connection. */
  readonly previousId: string;
  /** Value of the seal header, unique to this answer. */
  readonly seal: string;
  /** Id of the event after which a stream is resumed; 0 for its start. */
  readonly lastEvent: number;
}

/** Bytes to write and how the connection ends after them. */
export interface RenderedAnswer {
  readonly writes: readonly FuzzWrite[];
  /** Written once the next request is received on the connection. */
  readonly onNext: Buffer;
  readonly end: 'keep' | 'fin' | 'reset';
}

interface Segment {
  readonly region: FuzzRegion | null;
  readonly text: string;
}

/** Pause before an extra answer that is sent soon after the proper one, ms. */
const DELAYED_EXTRA_MS = 2;

/** Backoff that endpoints ask for in a refusal, s. */
const RETRY_AFTER_S = '0.02';

function bodyOf(kind: FuzzAnswerKind, size: number, { id, lastEvent }: RenderContext): Segment[] {
  if (kind === 'stream') {
    return Array.from({ length: Math.max(0, size - lastEvent) }, (_item, i) => {
      const event = lastEvent + i + 1;
      return { region: 'event' as const, text: `id: ${event}\ndata: ${id} ${event}\n\n` };
    });
  }
  const text = `${kind} ${id} `.repeat(size).slice(0, size);
  const half = Math.ceil(text.length / 2);
  return [text.slice(0, half), text.slice(half)]
    .filter((part) => part !== '')
    .map((part) => ({ region: 'body' as const, text: part }));
}

const STATUS: Readonly<Record<FuzzAnswerKind, number>> = {
  plain: 200,
  stream: 200,
  failure: 500,
  refusal: 503,
  drop: 500,
};

function framingLine(framing: FuzzFraming, length: number): HeadLine {
  const lines: Readonly<Record<FuzzFraming, HeadLine>> = {
    length: headLine('Content-Length', String(length)),
    chunked: headLine('Transfer-Encoding', 'chunked'),
    close: headLine('Connection', 'close'),
  };
  return lines[framing];
}

function headOf(
  kind: FuzzAnswerKind,
  framing: FuzzFraming,
  length: number,
  { id, seal }: RenderContext,
): AnswerHeadText {
  const type = kind === 'stream' ? 'text/event-stream' : 'application/octet-stream';
  const kindLines =
    kind === 'refusal'
      ? [headLine(WIRE_NAMES.notRun, '1'), headLine('Retry-After', RETRY_AFTER_S)]
      : [headLine(WIRE_NAMES.seal, seal)];
  const lines = [
    headLine(WIRE_NAMES.id, id),
    headLine('Content-Type', type),
    ...kindLines,
    framingLine(framing, length),
  ];
  return { interimText: '', protocol: 'HTTP/1.1', status: STATUS[kind], lines };
}

function headSegments({ interimText, protocol, status, lines }: AnswerHeadText): Segment[] {
  return [
    { region: null, text: interimText },
    { region: 'status', text: `${protocol} ${status} OK\r\n` },
    ...lines.flatMap(({ name, value, eol }) => [
      { region: 'name' as const, text: name },
      { region: null, text: ': ' },
      { region: 'value' as const, text: value },
      { region: null, text: eol },
    ]),
    { region: null, text: '\r\n' },
  ];
}

function frameBody(parts: readonly Segment[], framing: FuzzFraming): Segment[] {
  if (framing !== 'chunked') {
    return [...parts];
  }
  const chunks = parts.flatMap((part) => [
    { region: 'size' as const, text: `${part.text.length.toString(16)}\r\n` },
    part,
    { region: null, text: '\r\n' },
  ]);
  return [...chunks, { region: 'size', text: '0\r\n' }, { region: null, text: '\r\n' }];
}

/** Offsets of the bytes in a region; the events of a stream also belong to the region `body`. */
function positionsOf(segments: readonly Segment[], region: FuzzRegion): readonly number[] {
  let at = 0;
  return segments.flatMap((segment) => {
    const from = at;
    at += segment.text.length;
    const isInRegion =
      segment.region === region || (region === 'body' && segment.region === 'event');
    return isInRegion ? Array.from({ length: segment.text.length }, (_item, i) => from + i) : [];
  });
}

type Edit = (text: string, at: number, value: number) => string;

const EDITS: Readonly<Record<FuzzEdit['kind'], Edit>> = {
  flip: (text, at, value) => {
    // eslint-disable-next-line no-bitwise
    const flipped = String.fromCharCode((text.charCodeAt(at) ^ value) % 256);
    return text.slice(0, at) + flipped + text.slice(at + 1);
  },
  insert: (text, at, value) => text.slice(0, at) + String.fromCharCode(value) + text.slice(at),
  double: (text, at, value) => text.slice(0, at + value) + text.slice(at),
  drop: (text, at, value) => text.slice(0, at) + text.slice(at + value),
};

/** Applies the edits from the last offset to the first, so that none moves the offset of another. */
function editText(segments: readonly Segment[], edits: readonly FuzzEdit[]): string {
  const text = segments.map((segment) => segment.text).join('');
  const positionedEdits = edits.flatMap(({ kind, region, at, value }) => {
    const positions = positionsOf(segments, region);
    const position = positions[Math.floor(at * positions.length)];
    return position === undefined ? [] : [{ kind, position, value }];
  });
  return [...positionedEdits]
    .sort((a, b) => b.position - a.position)
    .reduce((changed, { kind, position, value }) => EDITS[kind](changed, position, value), text);
}

const EXTRA_SIZE = 12;

function renderExtra({ id, kind }: FuzzExtra, ctx: RenderContext): string {
  const seal = `${ctx.seal}.extra`;
  const ids = { same: ctx.id, earlier: ctx.previousId, none: ctx.id };
  const extraCtx = { ...ctx, id: ids[id], seal, lastEvent: 0 };
  const parts = bodyOf(kind, kind === 'stream' ? 2 : EXTRA_SIZE, extraCtx);
  const length = parts.reduce((sum, { text }) => sum + text.length, 0);
  const head = headOf(kind, 'length', length, extraCtx);
  const changed = id === 'none' ? changeHead(head, ['noId']) : head;
  return [...headSegments(changed), ...parts].map(({ text }) => text).join('');
}

/** Splits a text into writes; `splits` are fractions of its length. */
export function splitText(text: string, splits: readonly number[], pauseMs: number): FuzzWrite[] {
  const positions = splits.map((at) => Math.floor(at * text.length)).sort((a, b) => a - b);
  const bounds = [0, ...positions, text.length];
  return bounds
    .slice(1)
    .map((end, i) => ({ text: text.slice(bounds[i], end), pauseMs: i === 0 ? 0 : pauseMs }))
    .filter((part) => part.text !== '')
    .map((part) => ({ bytes: Buffer.from(part.text, 'latin1'), pauseMs: part.pauseMs }));
}

function endOf({ cut, end, framing }: FuzzAnswer): RenderedAnswer['end'] {
  if (cut !== null) {
    return cut.by === 'stall' ? 'keep' : cut.by;
  }
  return end === 'keep' && framing === 'close' ? 'fin' : end;
}

/** Renders the answer to one arrival. */
export function renderAnswer(answer: FuzzAnswer, ctx: RenderContext): RenderedAnswer {
  const { kind, framing, size, cut, extras, splits, pauseMs } = answer;
  if (kind === 'drop') {
    return { writes: [], onNext: Buffer.alloc(0), end: answer.end === 'fin' ? 'fin' : 'reset' };
  }
  const parts = bodyOf(kind, size, ctx);
  const length = parts.reduce((sum, { text }) => sum + text.length, 0);
  const head = changeHead(headOf(kind, framing, length, ctx), answer.head);
  const text = editText([...headSegments(head), ...frameBody(parts, framing)], answer.edits);
  const truncated = cut === null ? text : text.slice(0, Math.floor(cut.at * (text.length + 1)));
  const extraTexts = (when: FuzzExtra['when']): string =>
    extras.flatMap((extra) => (extra.when === when ? [renderExtra(extra, ctx)] : [])).join('');
  const delayedExtras = extraTexts('soon');
  return {
    writes: [
      ...splitText(truncated + extraTexts('same'), splits, pauseMs),
      ...(delayedExtras === ''
        ? []
        : [{ bytes: Buffer.from(delayedExtras, 'latin1'), pauseMs: DELAYED_EXTRA_MS }]),
    ],
    onNext: Buffer.from(extraTexts('next'), 'latin1'),
    end: endOf(answer),
  };
}
