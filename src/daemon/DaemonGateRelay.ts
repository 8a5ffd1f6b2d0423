/** Relays an engine's answer as frames, without interpreting its events. */
import type { ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { DONE_EVENT, scanWholeEvents } from '../transport/index.js';

/** Sends bytes that contain `events` complete events. */
export type SendPart = (bytes: Buffer, events: number) => void;

/** Why a relayed answer ended; `done` if it is complete. */
export type RelayEnd = 'done' | 'the engine broke off its stream';

async function waitForDrain(res: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    res.once('drain', resolve);
    res.once('close', resolve);
  });
}

/**
 * Relays server-sent events.
 *
 * If an engine crashes in the middle of a stream, its connection ends like that of a complete one, and half an answer
 * would look finished. So only complete events are relayed, and the stream is complete only if its last event is the
 * final one.
 */
export async function relayEvents(
  body: Readable,
  res: ServerResponse,
  send: SendPart,
): Promise<RelayEnd> {
  let remainder: Buffer = Buffer.alloc(0);
  let done = false;
  // eslint-disable-next-line no-restricted-syntax -- the only way to read a stream chunk by chunk
  for await (const chunk of body) {
    const data =
      remainder.length === 0 ? (chunk as Buffer) : Buffer.concat([remainder, chunk as Buffer]);
    const { end, events } = scanWholeEvents(data);
    if (events > 0) {
      done = data.subarray(0, end).subarray(-DONE_EVENT.length).equals(Buffer.from(DONE_EVENT));
      send(data.subarray(0, end), events);
    }
    remainder = data.subarray(end);
    if (res.writableNeedDrain) {
      await waitForDrain(res);
    }
  }
  return done && remainder.length === 0 ? 'done' : 'the engine broke off its stream';
}

/** Relays an answer that is not a stream; each chunk counts as one event. */
export async function relayBody(
  body: Readable,
  res: ServerResponse,
  send: SendPart,
): Promise<RelayEnd> {
  // eslint-disable-next-line no-restricted-syntax -- the only way to read a stream chunk by chunk
  for await (const chunk of body) {
    send(chunk as Buffer, 1);
    if (res.writableNeedDrain) {
      await waitForDrain(res);
    }
  }
  return 'done';
}
