import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { request } from 'undici';
import { RequestError } from '../../../../protocol/index.js';
import { DirectReply, type ReplySummary } from '../../DirectReply.js';
import { ReplyError } from '../../DirectReplyError.js';

const SEALED = ['X-Seal', 's1'];

interface ReplyResult {
  readonly status: number;
  readonly seal: string | string[] | undefined;
  readonly body: string;
  readonly account: ReplySummary;
}

describe('DirectReply', () => {
  const servers: Server[] = [];

  afterEach(() => servers.splice(0).forEach((server) => server.close()));

  /** Serves one answer; returns what the caller received, and the reply's summary. */
  const reply = async (answer: (to: DirectReply) => void): Promise<ReplyResult> => {
    let account: ReplySummary | null = null;
    const server = createServer((_req, res) => {
      const to = new DirectReply(res);
      answer(to);
      account = to.summary;
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const res = await request(`http://127.0.0.1:${port}`);
    const body = await res.body.text();
    assert.ok(account !== null);
    return { status: res.statusCode, seal: res.headers['x-seal'], body, account };
  };

  // A stream without a head must not be sent with the HTTP library's default head, a 200.
  it('sends nothing of a stream that has no head', async () => {
    const answer = await reply((to) => {
      assert.throws(() => to.passEvents(Buffer.from('id: 1\n\n')), ReplyError);
      assert.throws(() => to.endStream(), ReplyError);
      to.refuse(new RequestError('outcome_unknown', 'nobody knows'), null, false);
    });
    assert.deepEqual([answer.status, answer.seal, answer.account.head], [502, undefined, 'own']);
  });

  // An endpoint's status of success must not be replaced by another one.
  [200, 201, 202, 204, 206].forEach((status) => {
    it(`passes on the status ${status} of a stream without an event`, async () => {
      const answer = await reply((to) => {
        to.beginStream({ status, headers: SEALED });
        to.endStream();
      });
      const account = { status, head: 'endpoint', bytes: 0 };
      assert.deepEqual(answer, { status, seal: 's1', body: '', account });
    });
  });

  it("records the origin of an answer's head, and its bytes", async () => {
    const whole = await reply((to) =>
      to.passWhole({ status: 200, headers: SEALED }, { raw: SEALED, body: Buffer.from('abc') }),
    );
    assert.deepEqual(whole.account, { status: 200, head: 'endpoint', bytes: 3 });
    const stream = await reply((to) => {
      assert.deepEqual(to.summary, { status: null, head: null, bytes: 0 });
      to.beginStream({ status: 200, headers: SEALED });
      to.passEvents(Buffer.from('id: 1\n\n'));
      to.endStream();
    });
    assert.deepEqual(stream.account, { status: 200, head: 'endpoint', bytes: 7 });
  });
});
