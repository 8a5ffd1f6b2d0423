import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { WIRE_NAMES } from '../../../platform/__tests__/utils/StandInWire.js';
import { callerRequestOf, type FuzzTranscript } from '../../FuzzCaller.js';
import type { FuzzArrival } from '../../FuzzEndpoint.js';
import { judgeCase, type FuzzObservation } from '../../FuzzOracle.js';
import type { ConnectionEnd } from '../../FuzzReader.js';
import type { FuzzRoute } from '../../FuzzTypes.js';

const { id: ID_NAME, seal: SEAL, notRun: NOT_RUN } = WIRE_NAMES;

const ID = '0000000a';

const HEAD = `HTTP/1.1 200 OK\r\n${ID_NAME}: ${ID}\r\n`;

const PLAIN = `${HEAD}${SEAL}: s1\r\nContent-Length: 5\r\n\r\nhello`;

const CHUNKS = `${HEAD}${SEAL}: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

const EVENT_1 = 'id: 1\n\n';
const EVENT_2 = 'id: 2\n\n';

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const LAST_CHUNK = '0\r\n\r\n';

const REFUSED = `HTTP/1.1 503 Busy\r\n${ID_NAME}: ${ID}\r\n${NOT_RUN}: 1\r\nContent-Length: 0\r\n\r\n`;

const OWN_BODY = '{"error":{"code":"no_endpoint"}}';
const OWN = `HTTP/1.1 503 Unavailable\r\nContent-Length: ${OWN_BODY.length}\r\n\r\n${OWN_BODY}`;

/** Bytes sent on a connection and how it ended; `open` by default. */
type ConnectionData = readonly [string, ConnectionEnd?];

interface Sample {
  readonly route?: FuzzRoute;
  /** Data that endpoints sent, one item for each arrival; `runs` applies to all and is true by default. */
  readonly sent: readonly ConnectionData[];
  readonly got: ConnectionData;
  readonly runs?: boolean;
  readonly lastEvents?: readonly (string | null)[];
}

function observationOf({
  route = 'stream',
  sent,
  got,
  runs = true,
  lastEvents = [],
}: Sample): FuzzObservation {
  const plan = {
    route,
    size: 0,
    isChunked: false,
    splits: [],
    pauseMs: 0,
    lastEvent: null,
    isPipelined: false,
    answers: [],
  };
  const request = callerRequestOf(plan, ID);
  const arrivals = sent.map(([text, end = 'open'], i): FuzzArrival => {
    const { method, path, body } = request;
    const connection = { bytes: Buffer.from(text, 'latin1'), end };
    return { id: ID, method, path, body, lastEvent: lastEvents[i] ?? null, runs, connection };
  });
  const [text, end = 'open'] = got;
  const transcript: FuzzTranscript = {
    requests: [request],
    bytes: Buffer.from(text, 'latin1'),
    end,
    hasTimedOut: false,
  };
  return { transcripts: [transcript], arrivals, errorLines: [] };
}

const RESUMED = {
  sent: [[CHUNKS + chunk(EVENT_1), 'reset'], [CHUNKS + chunk(EVENT_2) + LAST_CHUNK]] as const,
  lastEvents: [null, '1'],
};

const ALLOWED_SAMPLES: Readonly<Record<string, Sample>> = {
  'a complete answer': { sent: [[PLAIN]], got: [PLAIN] },
  'a connection that is reset': { sent: [[PLAIN]], got: ['HTTP/1.1 200', 'reset'] },
  'a stream in other chunks': {
    sent: [[CHUNKS + chunk(EVENT_1) + chunk(EVENT_2) + LAST_CHUNK]],
    got: [CHUNKS + chunk(EVENT_1 + EVENT_2) + LAST_CHUNK],
  },
  'a stream cut after an event': {
    sent: [[CHUNKS + chunk(EVENT_1), 'reset']],
    got: [CHUNKS + chunk(EVENT_1), 'fin'],
  },
  'a stream that is resumed at another endpoint': {
    ...RESUMED,
    got: [CHUNKS + chunk(EVENT_1) + chunk(EVENT_2) + LAST_CHUNK],
  },
  'a not-run answer to a refused request': { sent: [[REFUSED]], got: [OWN], runs: false },
};

const VIOLATION_SAMPLES: Readonly<Record<string, Sample>> = {
  'no seal': { sent: [[PLAIN]], got: [PLAIN.replace(`${SEAL}: s1\r\n`, '')] },
  'a head that the HTTP library generated': {
    sent: [[CHUNKS + LAST_CHUNK]],
    got: [`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${LAST_CHUNK}`],
  },
  'another request’s answer': { sent: [[PLAIN]], got: [PLAIN.replace(ID, '0000000b')] },
  'another body': { sent: [[PLAIN]], got: [PLAIN.replace('hello', 'hullo')] },
  'half an answer as a complete one': {
    sent: [[PLAIN.slice(0, -2), 'fin']],
    got: [PLAIN.replace('hello', 'hel').replace(': 5', ': 3')],
  },
  'a body that was reset as a complete one': {
    sent: [[`${HEAD}${SEAL}: s1\r\n\r\nhello`, 'reset']],
    got: [PLAIN],
  },
  'a success where the endpoint sent a failure': {
    sent: [[PLAIN.replace('200', '500')]],
    got: [PLAIN],
  },
  'a failure with another status': {
    sent: [[PLAIN.replace('200', '500')]],
    got: [PLAIN.replace('200', '501')],
  },
  'half an event': {
    sent: [[CHUNKS + chunk(EVENT_1), 'reset']],
    got: [CHUNKS + chunk(EVENT_1.slice(0, 3)), 'fin'],
  },
  'an event twice': {
    ...RESUMED,
    got: [CHUNKS + chunk(EVENT_1 + EVENT_1 + EVENT_2) + LAST_CHUNK],
  },
  'a cut stream as a complete one': {
    sent: [[CHUNKS + chunk(EVENT_1), 'reset']],
    got: [CHUNKS + chunk(EVENT_1) + LAST_CHUNK],
  },
  'a not-run answer to a request that has run': { sent: [[PLAIN]], got: [OWN] },
  'two runs of a request that may run once': {
    route: 'hold',
    sent: [[PLAIN], [PLAIN]],
    got: [PLAIN],
  },
  'bytes after an answer': { sent: [[PLAIN]], got: [`${PLAIN}x`] },
  'a surplus answer': { sent: [[PLAIN]], got: [PLAIN + PLAIN] },
  'no answer': { sent: [[PLAIN]], got: [''] },
};

describe('FuzzOracle', () => {
  // The oracle must not report allowed behaviour as a violation.
  Object.entries(ALLOWED_SAMPLES).forEach(([name, sample]) => {
    it(`allows ${name}`, () => assert.deepEqual(judgeCase(observationOf(sample)).findings, []));
  });

  // The oracle must not miss a violated guarantee.
  Object.entries(VIOLATION_SAMPLES).forEach(([name, sample]) => {
    it(`finds ${name}`, () => assert.notDeepEqual(judgeCase(observationOf(sample)).findings, []));
  });
});
