export { makeCallerServer } from './makeCallerServer.ts';
export type { CallerServerOptions } from './makeCallerServer.ts';
export { makeForwarder } from './makeForwarder.ts';
export type { Forwarder, ForwarderOptions, Forwarding, ForwardOutcome } from './makeForwarder.ts';
