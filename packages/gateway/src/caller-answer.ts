/** The answer to one caller. A partial answer never looks complete. */
import type * as http from 'node:http';
import * as protocol from '@amaranthknot/protocol';
import type * as rawHeaders from './raw-headers.js';
import * as refusals from './refusal.js';

const MS_PER_S = 1_000;

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: rawHeaders.RawHeaders;
}

/** Unread bytes of a stream above which its upstream is read no further. */
const MAX_UNREAD_BYTES = 65_536;

/** Writes the answer to one request. */
export class CallerAnswer {
  private begun = false;
  private finished = false;

  constructor(
    private readonly response: http.ServerResponse,
    /** Whether the connection is to be closed after this answer. */
    private readonly closesConnection: () => boolean,
    /** Called when the head is sent. */
    private readonly onBegin: () => void,
    /** Whether the answer goes to the instance that forwarded the request. */
    private readonly isForwarded = false,
    /** Time for which the caller may keep the connection idle, in ms. */
    private readonly idleTimeoutMs?: () => number | undefined,
  ) {}

  /** Whether the head has been sent. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** Whether nothing more can be sent: answered, broken off or disconnected. */
  get isOver(): boolean {
    const {destroyed, socket} = this.response;
    return this.finished || destroyed || socket?.readableEnded === true;
  }

  /** Sends a complete answer. */
  send(head: AnswerHead, body: Buffer): void {
    if (this.isOver) {
      return;
    }
    this.begin(head);
    this.finished = true;
    this.response.end(body);
  }

  /** Sends a refusal by the gateway. */
  refuse(refusal: refusals.Refusal): void {
    const {status, headers, body} = refusals.formatRefusal(refusal);
    const mark = this.isForwarded
      ? [protocol.FORWARD_HEADERS.refusal, refusal.reason]
      : [];
    this.send({status, headers: [...headers, ...mark]}, body);
  }

  /** Sends the head of a stream. */
  begin({status, headers}: AnswerHead): void {
    this.begun = true;
    this.onBegin();
    this.response.writeHead(status, [...headers, ...this.formatPersistence()]);
  }

  /**
   * Says whether and how long the connection is kept.
   *
   * Guards against a caller that uses the connection at the end of its idle time
   * and finds it closed: by default, `node:http` names the very time at which it
   * closes.
   */
  private formatPersistence(): readonly string[] {
    if (this.closesConnection()) {
      return ['Connection', 'close'];
    }
    const idleS = Math.floor((this.idleTimeoutMs?.() ?? 0) / MS_PER_S);
    return this.response.shouldKeepAlive && idleS > 0
      ? ['Keep-Alive', `timeout=${idleS}`]
      : [];
  }

  /** Sends bytes of a stream. */
  write(bytes: Buffer): void {
    if (!this.isOver) {
      this.response.write(bytes);
    }
  }

  /** Whether the caller reads a stream more slowly than it is written. */
  get isBehind(): boolean {
    return this.response.writableLength > MAX_UNREAD_BYTES;
  }

  /** Calls `resume` once the caller has read what was written. */
  onceRead(resume: () => void): void {
    this.response.once('drain', resume);
  }

  /** Ends a complete stream. */
  end(): void {
    if (!this.isOver) {
      this.finished = true;
      this.response.end();
    }
  }

  /**
   * Breaks the answer off: closes the connection without the end marker of the
   * stream, so that the caller does not take a partial answer for a complete
   * one. A caller that takes no chunks (HTTP/1.0) has no end marker, and sees a
   * reset.
   */
  breakOff(): void {
    this.finished = true;
    if (this.begun && !this.response.chunkedEncoding) {
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }
}
