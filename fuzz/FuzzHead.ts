/** Lines of an answer's head and the named changes to them. */
import { WIRE_NAMES } from '../platform/__tests__/utils/StandInWire.js';
import type { FuzzHeadChange } from './FuzzTypes.js';

/** One header line; `eol` is its line ending. */
export interface HeadLine {
  readonly name: string;
  readonly value: string;
  readonly eol: string;
}

/** A head; `interimText` holds the interim answers sent before it. */
export interface AnswerHeadText {
  readonly interimText: string;
  readonly protocol: string;
  readonly status: number;
  readonly lines: readonly HeadLine[];
}

type Change = (head: AnswerHeadText) => AnswerHeadText;

/** Id that is used by no request. */
const OTHER_ID = 'ffffffff';

export function headLine(name: string, value: string): HeadLine {
  return { name, value, eol: '\r\n' };
}

function withLines(edit: (lines: readonly HeadLine[]) => readonly HeadLine[]): Change {
  return (head) => ({ ...head, lines: edit(head.lines) });
}

function without(name: string): Change {
  return withLines((lines) => lines.filter((line) => line.name !== name));
}

function add(name: string, value: string): Change {
  return withLines((lines) => [...lines, headLine(name, value)]);
}

function addFirst(name: string, value: string): Change {
  return withLines((lines) => [headLine(name, value), ...lines]);
}

function editLine(name: string, change: (line: HeadLine) => HeadLine): Change {
  return withLines((lines) => lines.map((line) => (line.name === name ? change(line) : line)));
}

function setValue(name: string, value: (old: string) => string): Change {
  return editLine(name, (line) => ({ ...line, value: value(line.value) }));
}

/** Changes the Content-Length; an answer without one gets `value(0)`. */
function setLength(value: (old: number) => string): Change {
  return (head) => {
    const known = head.lines.find(({ name }) => name === 'Content-Length');
    return known === undefined
      ? add('Content-Length', value(0))(head)
      : setValue('Content-Length', (old) => value(Number(old)))(head);
  };
}

function setStatus(status: number): Change {
  return (head) => ({ ...head, status });
}

function setInterimText(interimText: string): Change {
  return (head) => ({ ...head, interimText });
}

function chain(...changes: readonly Change[]): Change {
  return (head) => changes.reduce((changed, change) => change(changed), head);
}

const { id, seal, notRun } = WIRE_NAMES;

const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n';

const CHANGES: Readonly<Record<FuzzHeadChange, Change>> = {
  noSeal: without(seal),
  emptySeal: setValue(seal, () => ''),
  twoSeals: add(seal, 'second'),
  otherId: setValue(id, () => OTHER_ID),
  noId: without(id),
  emptyId: setValue(id, () => ''),
  ownIdThenOther: add(id, OTHER_ID),
  otherIdThenOwn: addFirst(id, OTHER_ID),
  doubledLine: withLines((lines) => [...lines, ...lines.slice(1, 2)]),
  foldedLine: setValue('Content-Type', (value) => `${value}\r\n ;folded=1`),
  emptyLine: withLines((lines) =>
    lines.map((line, i) => (i === 1 ? { ...line, eol: '\r\n\r\n' } : line)),
  ),
  bareLf: editLine(seal, (line) => ({ ...line, eol: '\n' })),
  nul: setValue(seal, (value) => `${value}\0`),
  hopSeal: add('Connection', seal),
  hopSealTwice: chain(add('Connection', 'keep-alive'), add('Connection', seal.toLowerCase())),
  hopId: add('Connection', `keep-alive, ${id}`),
  shortLength: setLength((old) => String(Math.max(0, old - 1))),
  longLength: setLength((old) => String(old + 1)),
  twoLengths: chain(add('Content-Length', '3'), add('Content-Length', '4')),
  lengthAndChunks: chain(add('Content-Length', '2'), add('Transfer-Encoding', 'chunked')),
  otherCoding: chain(without('Content-Length'), add('Transfer-Encoding', 'gzip')),
  codedChunks: setValue('Transfer-Encoding', () => 'chunkee'),
  signedLength: setLength((old) => `+${old}`),
  notRun: add(notRun, '1'),
  statusNoContent: setStatus(204),
  statusUnmodified: setStatus(304),
  statusMoved: setStatus(302),
  statusMisdirected: setStatus(421),
  statusUnavailable: setStatus(503),
  statusError: setStatus(500),
  statusHigh: setStatus(600),
  interim: setInterimText(INTERIM),
  interimTwice: setInterimText(`HTTP/1.1 100 Continue\r\n\r\n${INTERIM}`),
  switching: setStatus(101),
  olderProtocol: (head) => ({ ...head, protocol: 'HTTP/1.0' }),
  plainType: setValue('Content-Type', () => 'text/plain'),
  eventType: setValue('Content-Type', () => 'text/event-stream'),
};

/** Applies the changes in order. */
export function changeHead(
  head: AnswerHeadText,
  changes: readonly FuzzHeadChange[],
): AnswerHeadText {
  return chain(...changes.map((name) => CHANGES[name]))(head);
}
