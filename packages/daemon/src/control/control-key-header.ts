/** Header of the WebSocket upgrade request that carries the key of a peer or operator. */
export const controlKeyHeader = 'x-relay-key';
