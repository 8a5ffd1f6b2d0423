import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { describe, it } from 'node:test';
import { ConnectionGuard } from '../../TransportConnections.js';

/** A connection, and whether it was closed. */
interface StandInSocket extends EventEmitter {
  readonly destroyed: boolean;
}

function openSocket(): StandInSocket {
  const socket = new EventEmitter();
  const destroy = (): void => {
    Object.assign(socket, { destroyed: true });
    socket.emit('close');
  };
  return Object.assign(socket, { destroyed: false, destroy });
}

/** A server with connections and requests that the test makes. */
class Fixture {
  readonly server = new EventEmitter();

  readonly closed: string[] = [];

  readonly guard: ConnectionGuard;

  constructor(maxConnections: number | null) {
    this.guard = new ConnectionGuard(this.server as unknown as Server, {
      maxConnections,
      onClosed: (reason) => this.closed.push(reason),
    });
  }

  connect(): StandInSocket {
    const socket = openSocket();
    this.server.emit('connection', socket);
    return socket;
  }

  /** Begins a request; returns whether it is handled, and its response. */
  request(socket: StandInSocket, complete = true): { admitted: boolean; res: EventEmitter } {
    const res = new EventEmitter();
    const req = { socket, complete } as unknown as IncomingMessage;
    return { admitted: this.guard.admit(req, res as unknown as ServerResponse), res };
  }
}

describe('ConnectionGuard', () => {
  // Guards against one client that has any number of requests begun.
  it('closes a connection with too many unanswered requests', () => {
    const fixture = new Fixture(null);
    const socket = fixture.connect();
    const admitted = Array.from({ length: 65 }, () => fixture.request(socket).admitted);
    assert.deepEqual(admitted, [...Array.from({ length: 64 }, () => true), false]);
    assert.equal(socket.destroyed, true);
    assert.equal(fixture.guard.count, 0);
    assert.deepEqual(fixture.closed, ['unanswered']);
  });

  it('counts a request until it is answered', () => {
    const fixture = new Fixture(null);
    const socket = fixture.connect();
    for (let i = 0; i < 500; i += 1) {
      const { admitted, res } = fixture.request(socket);
      assert.equal(admitted, true);
      res.emit('close');
    }
    assert.equal(socket.destroyed, false);
  });

  // Guards against many connections that each stay below their own limit.
  it('allows one request each once all connections together have too many', () => {
    const fixture = new Fixture(null);
    const sockets = Array.from({ length: 40 }, () => fixture.connect());
    sockets.forEach((socket) => {
      for (let i = 0; i < 50; i += 1) {
        fixture.request(socket);
      }
    });
    const late = fixture.connect();
    assert.equal(fixture.request(late).admitted, true);
    assert.equal(fixture.request(late).admitted, false);
    assert.equal(late.destroyed, true);
  });

  // Guards against connections without a request that keep others out.
  it('makes room by closing unused, then idle, then receiving connections', () => {
    const fixture = new Fixture(4);
    const [answering, receiving, idle, unused] = Array.from({ length: 4 }, () => fixture.connect());
    assert.ok(answering && receiving && idle && unused);
    fixture.request(answering);
    fixture.request(receiving, false);
    fixture.request(idle).res.emit('close');
    const later = [unused, idle, receiving].map((expected) => {
      assert.equal(expected.destroyed, false);
      const socket = fixture.connect();
      assert.equal(expected.destroyed, true);
      fixture.request(socket);
      return socket;
    });
    const refused = fixture.connect();
    assert.equal(refused.destroyed, true);
    assert.ok([answering, ...later].every(({ destroyed }) => !destroyed));
    assert.equal(fixture.closed.length, 4);
  });
});
