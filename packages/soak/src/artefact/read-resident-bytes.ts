/** Reads how much memory a process holds. */
import * as fs from 'node:fs';

const BYTES_PER_KB = 1_024;

/** Resident memory in bytes; 0 once the process has ended. */
export const readResidentBytes = (pid: number | undefined): number => {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return kilobytes * BYTES_PER_KB;
  } catch {
    // It has ended.
    return 0;
  }
};
