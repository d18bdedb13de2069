/** Clients of model engines and plain services. */
export * from './answer-assembler.js';
export * from './engine-client.js';
export * from './run-completion.js';
export {
  createServiceClient,
  type CheckService,
  type ServiceAnswer,
  type ServiceCall,
  type ServiceClient,
  type ServiceFailure,
} from './service-client.js';
