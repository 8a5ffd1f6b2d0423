import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { digestRequest, isSameRequest, type RequestIdentity } from '../../ProtocolRequestDigest.js';

const ASK: RequestIdentity = {
  customer: 'kano',
  method: 'POST',
  host: 'desk.example',
  path: '/ask/x?y=1',
  body: Buffer.from('body'),
};

const OTHERS: Readonly<Record<string, RequestIdentity>> = {
  customer: { ...ASK, customer: 'jos' },
  method: { ...ASK, method: 'PUT' },
  host: { ...ASK, host: 'other.example' },
  query: { ...ASK, path: '/ask/x?y=2' },
  body: { ...ASK, body: Buffer.from('bodies') },
  'parts cut elsewhere': { ...ASK, path: '/ask/x?y=', body: Buffer.from('1body') },
};

describe('the digest of a request', () => {
  it('is the same for the same request, however the host is written', () => {
    const again = { ...ASK, host: 'Desk.Example', body: Buffer.from('body') };
    assert.equal(digestRequest(again), digestRequest(ASK));
    assert.ok(isSameRequest(again, ASK));
  });

  Object.entries(OTHERS).forEach(([what, other]) => {
    it(`differs with another ${what}`, () => {
      assert.notEqual(digestRequest(other), digestRequest(ASK));
      assert.ok(!isSameRequest(other, ASK));
    });
  });
});
