import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { digestRequest, isSameRequest, type RequestIdentity } from '../../ProtocolRequestDigest.js';

const REQUEST: RequestIdentity = {
  customer: 'kano',
  method: 'POST',
  host: 'desk.example',
  path: '/ask/x?y=1',
  body: Buffer.from('body'),
};

const OTHERS: Readonly<Record<string, RequestIdentity>> = {
  customer: { ...REQUEST, customer: 'jos' },
  method: { ...REQUEST, method: 'PUT' },
  host: { ...REQUEST, host: 'other.example' },
  query: { ...REQUEST, path: '/ask/x?y=2' },
  body: { ...REQUEST, body: Buffer.from('bodies') },
  'split of the same bytes': { ...REQUEST, path: '/ask/x?y=', body: Buffer.from('1body') },
};

describe('digestRequest and isSameRequest', () => {
  it('is the same for the same request, ignoring the case of the host', () => {
    const again = { ...REQUEST, host: 'Desk.Example', body: Buffer.from('body') };
    assert.equal(digestRequest(again), digestRequest(REQUEST));
    assert.ok(isSameRequest(again, REQUEST));
  });

  Object.entries(OTHERS).forEach(([what, other]) => {
    it(`differs with another ${what}`, () => {
      assert.notEqual(digestRequest(other), digestRequest(REQUEST));
      assert.ok(!isSameRequest(other, REQUEST));
    });
  });
});
