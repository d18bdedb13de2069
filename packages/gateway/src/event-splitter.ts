/**
 * Splits a stream of server-sent events into complete events, so that a stream
 * that breaks off within an event can resume at another upstream, and the
 * caller gets no incomplete event in between.
 */

/** One complete event. */
export interface StreamEvent {
  /** Its number; undefined if it has none. */
  readonly id: number | undefined;
  /** Its bytes, including the empty line at its end. */
  readonly bytes: Buffer;
}

/**
 * Longest event, in bytes. Events hold a few tokens; one that an upstream never
 * ends would fill the memory.
 */
const MAX_EVENT_BYTES = 1_048_576;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

const ID_LINE = /^id:[ ]?(\d+)\r?$/m;

const readId = (bytes: Buffer): number | undefined => {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
};

/** Index just past the first complete event after `from`; -1 if none. */
const findEnd = (bytes: Buffer, from: number): number => {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at !== -1) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
};

/** Splits the bytes of one stream. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Number of bytes of the event that is still incomplete. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Whether the incomplete event is longer than allowed. */
  get isOverlong(): boolean {
    return this.rest.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes; returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    this.rest =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEnd(this.rest, start);
      if (end === -1) {
        break;
      }
      const bytes = this.rest.subarray(start, end);
      events.push({id: readId(bytes), bytes});
      start = end;
    }
    this.rest = this.rest.subarray(start);
    return events;
  }
}
