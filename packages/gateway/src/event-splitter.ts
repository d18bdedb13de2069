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

/** Growth of the buffer of an incomplete event, so that it is copied seldom. */
const GROWTH_FACTOR = 2;

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

/** Bytes of a line end and a carriage return, whose line feed may follow. */
const MAX_PARTIAL_END_BYTES = 2;

/** Splits the bytes of one stream. */
export class EventSplitter {
  /** Begins with the incomplete event; may be longer. */
  private buffer: Buffer = Buffer.alloc(0);
  private pending = 0;

  /** Number of bytes of the event that is still incomplete. */
  get pendingBytes(): number {
    return this.pending;
  }

  /** Whether the incomplete event is longer than allowed. */
  get isOverlong(): boolean {
    return this.pending > MAX_EVENT_BYTES;
  }

  /**
   * Adds bytes; returns the events that they complete. The cost grows with the
   * bytes that are added, not with those that an incomplete event already has.
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    let searchFrom = Math.max(0, this.pending - MAX_PARTIAL_END_BYTES);
    const bytes = this.append(chunk);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEnd(bytes, searchFrom);
      if (end === -1) {
        break;
      }
      const event = bytes.subarray(start, end);
      events.push({id: readId(event), bytes: event});
      start = end;
      searchFrom = end;
    }
    if (events.length > 0) {
      this.buffer = bytes.subarray(start);
    }
    this.pending = bytes.length - start;
    return events;
  }

  /** The incomplete event and `chunk` behind it, in one piece. */
  private append(chunk: Buffer): Buffer {
    const {pending} = this;
    const length = pending + chunk.length;
    if (pending === 0) {
      this.buffer = chunk;
      return chunk;
    }
    if (length > this.buffer.length) {
      const larger = Buffer.allocUnsafeSlow(GROWTH_FACTOR * length);
      this.buffer.copy(larger, 0, 0, pending);
      this.buffer = larger;
    }
    chunk.copy(this.buffer, pending);
    return this.buffer.subarray(0, length);
  }
}
