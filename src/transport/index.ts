/** Layer `transport`: HTTP calls and servers, links and probes, based on libraries. It contains no policy. */
export { parseAddress, type Address } from './TransportAddress.js';
export { ByteCollector } from './TransportBytes.js';
export {
  ChunkReader,
  MAX_CHUNKS_PER_TURN,
  withReadingInTurns,
  type ReadDelay,
} from './TransportChunks.js';
export {
  openAgent,
  openPool,
  startCall,
  type CallListener,
  type EndpointPool,
  type OutgoingCall,
  type RunningCall,
} from './TransportCall.js';
export { EventAssembler, MAX_EVENT_BYTES, type WholeEvents } from './TransportEvents.js';
export { resetSocket } from './TransportReset.js';
export {
  DONE_EVENT,
  findLastEvent,
  FRAMES_CONTENT_TYPE,
  FrameWriter,
  readFrames,
} from './TransportFrames.js';
export { EventScanner } from './TransportEventScanner.js';
export type { CloseReason, ConnectionBounds } from './TransportConnections.js';
export {
  createHttpServer,
  headerOf,
  MAX_ANSWER_BYTES,
  MAX_BODY_BYTES,
  readBody,
  serveHttp,
  type BodyOptions,
  type RequestHandler,
} from './TransportHttp.js';
export {
  HEARTBEAT_METHOD,
  HEARTBEAT_INTERVAL_MS,
  REPLY_TIMEOUT_MS,
  LINK_TIMEOUT_MS,
  TransportLink,
  type LinkHandler,
  type LinkHandlers,
  type LinkSwitch,
} from './TransportLink.js';
export {
  TransportLinkClient,
  type LinkClientOptions,
  type LinkSearchReason,
  type LinkSearchResult,
} from './TransportLinkClient.js';
export type { LinkAttemptFailure, LinkStage, LinkTarget } from './TransportLinkConnector.js';
export { LinkTimeoutError } from './TransportLinkTimeoutError.js';
export { serveLinks, type LinkServerOptions } from './TransportLinkServer.js';
export { probeAddress, probeUrl, type Probe, type ProbeResult } from './TransportProbe.js';
export { PART_BYTES, PartsSender, withParts, type SendDelay } from './TransportParts.js';
