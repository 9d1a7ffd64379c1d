export { makeEndpointClient } from './makeEndpointClient.ts';
export type { EndpointClientOptions } from './makeEndpointClient.ts';
