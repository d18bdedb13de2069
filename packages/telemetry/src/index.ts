/** Logs, metrics and the time line. */
export * from './decision-log.js';
export * from './draw-timeline.js';
export * from './event-ring.js';
export * from './explain-request.js';
export * from './gateway-metrics.js';
export * from './hybrid-clock.js';
export * from './logger.js';
export * from './metrics.js';
export * from './timeline.js';
