/** Fakes of external systems, for tests, benchmarks and the demo. */
export * from './draw-free-port.js';
export * from './engine-server.js';
export * from './hold-loop.js';
export * from './loopback-proxy.js';
export * from './machine-clock.js';
export * from './memory-object-store.js';
export * from './platform-server.js';
export * from './seeded-random.js';
export * from './service-server.js';
export * from './fake-deployment.js';
export * from './virtual-clock.js';
export * from './gateway/endless-answer.js';
export * from './gateway/object-api-server.js';
export * from './gateway/request-parser.js';
export * from './gateway/scripted-upstream.js';
export * from './gateway/upstream-answers.js';
