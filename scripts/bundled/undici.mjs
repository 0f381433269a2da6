/** What the transport uses of undici, without its fetch, caches, mocks and sockets of other kinds. */
export { default as Agent } from '../../node_modules/undici/lib/dispatcher/agent.js';
export { default as buildConnector } from '../../node_modules/undici/lib/core/connect.js';
