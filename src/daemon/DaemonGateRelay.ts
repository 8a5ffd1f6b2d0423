/** Relays an engine's answer as frames, without interpreting its events. */
import type { ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { DONE_EVENT, EventAssembler } from '../transport/index.js';

/** Sends bytes that contain `events` complete events. */
export type SendPart = (bytes: Buffer, events: number) => void;

/** Why a relayed answer ended; `done` if it is complete. */
export type RelayEnd =
  'done' | 'the engine broke off its stream' | 'the engine sent an event that is too long';

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
  const assembler = new EventAssembler();
  let done = false;
  // eslint-disable-next-line no-restricted-syntax -- the only way to read a stream chunk by chunk
  for await (const chunk of body) {
    const whole = assembler.add(chunk as Buffer);
    if (whole !== null) {
      done = whole.bytes.subarray(-DONE_EVENT.length).equals(Buffer.from(DONE_EVENT));
      send(whole.bytes, whole.count);
    }
    if (assembler.isOverlong) {
      return 'the engine sent an event that is too long';
    }
    if (res.writableNeedDrain) {
      await waitForDrain(res);
    }
  }
  return done && assembler.pendingBytes === 0 ? 'done' : 'the engine broke off its stream';
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
