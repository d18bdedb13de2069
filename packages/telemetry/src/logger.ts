/** Structured logs: one JSON object a line, on standard error. */
import * as winston from 'winston';

/** How much is logged. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** A log that carries the instance's identity on each line. */
export type Logger = winston.Logger;

/** Creates the log of one instance. */
export const createLogger = (
  instance: string,
  level: LogLevel = 'info',
): Logger =>
  winston.createLogger({
    level,
    defaultMeta: {instance},
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [
      new winston.transports.Console({
        stderrLevels: ['error', 'warn', 'info', 'debug'],
      }),
    ],
  });
