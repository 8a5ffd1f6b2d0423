import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readConnection, type ConnectionEnd } from '../../FuzzReader.js';

/** Number of answers, values of the last one, and whether there is a syntax error. */
function summary(text: string, end: ConnectionEnd): object {
  const { answers, fault } = readConnection(Buffer.from(text, 'latin1'), end);
  const last = answers.at(-1);
  return {
    answers: answers.length,
    status: last?.status,
    body: last?.body.toString('latin1'),
    isComplete: last?.isComplete,
    isFaulty: fault !== null,
  };
}

const OK = 'HTTP/1.1 200 OK\r\n';

const HELLO = `${OK}Content-Length: 5\r\n\r\nhello`;

const complete = { answers: 1, status: 200, body: 'hello', isComplete: true, isFaulty: false };
const incomplete = { ...complete, isComplete: false };

const READABLE_ANSWERS: Readonly<Record<string, readonly [string, ConnectionEnd, object]>> = {
  'a length': [HELLO, 'open', complete],
  'a length that is not reached': [HELLO.slice(0, -1), 'fin', { ...incomplete, body: 'hell' }],
  'bytes after a length': [`${HELLO}x`, 'open', { ...complete, isFaulty: true }],
  'two answers': [HELLO + HELLO, 'open', { ...complete, answers: 2 }],
  chunks: [`${OK}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`, 'open', complete],
  'chunks without the last one': [
    `${OK}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`,
    'fin',
    incomplete,
  ],
  'a chunk that is longer than its size': [
    `${OK}Transfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n`,
    'open',
    { ...incomplete, body: 'hell', isFaulty: true },
  ],
  'a body that ends with its connection': [`${OK}\r\nhello`, 'fin', complete],
  'a body without a length on an open connection': [`${OK}\r\nhello`, 'open', incomplete],
  'a body without a length that is reset': [`${OK}\r\nhello`, 'reset', incomplete],
  'a status without a body': [
    'HTTP/1.1 204 None\r\n\r\n',
    'open',
    { ...complete, status: 204, body: '' },
  ],
};

/** Bytes that aren't a valid answer. */
const MALFORMED_ANSWERS: Readonly<Record<string, string>> = {
  'other bytes': 'hello',
  'a status of two digits': 'HTTP/1.1 20 OK\r\n\r\n',
  'another protocol': 'HTTP/2.0 200 OK\r\n\r\n',
  'a line without CR': `${OK}A: b\n\r\n`,
  'a folded line': `${OK}A: b\r\n c\r\n\r\n`,
  'a space before the colon': `${OK}A : b\r\n\r\n`,
  'NUL in a value': `${OK}A: \0\r\n\r\n`,
  'two lengths': `${OK}Content-Length: 1\r\nContent-Length: 1\r\n\r\nx`,
  'a signed length': `${OK}Content-Length: +1\r\n\r\nx`,
  'a length and chunks': `${OK}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'another coding': `${OK}Transfer-Encoding: gzip\r\n\r\n`,
};

describe('FuzzReader', () => {
  // Otherwise the oracle would take half an answer for a complete one, or two answers for one.
  Object.entries(READABLE_ANSWERS).forEach(([name, [text, end, expected]]) => {
    it(`reads ${name}`, () => assert.deepEqual(summary(text, end), expected));
  });

  // A parser as lenient as the library under test would not detect what that library accepts by mistake.
  Object.entries(MALFORMED_ANSWERS).forEach(([name, text]) => {
    it(`rejects ${name}`, () => {
      assert.notEqual(readConnection(Buffer.from(text, 'latin1'), 'open').fault, null);
    });
  });
});
