/** Measures for how long the queue of each priority has not been empty. */
import * as workspaceQueue from './workspace-queue.js';

type Priority = workspaceQueue.AdmissionPriority;

interface Level {
  /** Waiting requests of this priority and of more urgent ones. */
  count: number;
  /** When that count was last zero. */
  lastEmptyMs: number;
}

/** Distinguishes a standing queue from a burst, for each priority. */
export class StandingQueue {
  private readonly levels: Readonly<Record<Priority, Level>> = {
    door_check: {count: 0, lastEmptyMs: 0},
    interactive: {count: 0, lastEmptyMs: 0},
    batch: {count: 0, lastEmptyMs: 0},
  };

  /** Number of waiting requests of all priorities. */
  get count(): number {
    return this.levels.batch.count;
  }

  add(priority: Priority, nowMs: number): void {
    for (const level of this.levelsFrom(priority)) {
      level.lastEmptyMs = level.count === 0 ? nowMs : level.lastEmptyMs;
      level.count++;
    }
  }

  remove(priority: Priority): void {
    for (const level of this.levelsFrom(priority)) {
      level.count--;
    }
  }

  /**
   * Time for which requests of a priority or more urgent ones have been waiting
   * without a gap, in milliseconds.
   */
  standingMs(priority: Priority, nowMs: number): number {
    const {count, lastEmptyMs} = this.levels[priority];
    return count === 0 ? 0 : nowMs - lastEmptyMs;
  }

  private levelsFrom(priority: Priority): readonly Level[] {
    const first = workspaceQueue.ADMISSION_PRIORITIES.indexOf(priority);
    return workspaceQueue.ADMISSION_PRIORITIES.slice(first).map(
      name => this.levels[name],
    );
  }
}
