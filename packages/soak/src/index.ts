/**
 * Randomized soak test: gateway processes before fake upstreams and a fake
 * store, with injected faults, checked from outside.
 */
export * from './fault-plan.js';
export * from './invariants.js';
export * from './run-soak.js';
export * from './artefact/artefact-process.js';
export * from './artefact/deployed-artefact.js';
export * from './artefact/process-fields.js';
export * from './artefact/render-template.js';
export * from './check-process-ends.js';
export * from './process-life.js';
export * from './processes/answer-parser.js';
export * from './processes/check-requests.js';
export * from './processes/check-service.js';
export * from './processes/process-faults.js';
export * from './processes/request-record.js';
export * from './processes/run-processes.js';
