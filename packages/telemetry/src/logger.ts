/** Creates structured loggers that write JSON lines to standard error. */
import * as winston from 'winston';

/** Least severe level that is logged. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Logger that adds the instance's id to each line. */
export type Logger = winston.Logger;

/** Creates the logger of one instance. */
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
