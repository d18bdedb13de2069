/** Tells the time line, metrics, cascades and roll-outs what runs do. */
import type * as upstreams from '@amaranthknot/upstreams';
import type * as chatRunner from './chat-runner.js';
import type * as entryParts from './entry-parts.js';

/** Observes chat runs. */
export class ChatObserver {
  constructor(private readonly parts: entryParts.EntryParts) {}

  /** Takes in what happens in a run. */
  notify(notice: chatRunner.ChatNotice): void {
    const {run} = notice;
    const {model, version} = run;
    const {requestId, workspace, request} = run.call;
    const subject = {
      request: requestId,
      workspace: workspace.name,
      model,
      version,
    };
    const {events, metrics, cascades} = this.parts;
    switch (notice.kind) {
      case 'stage_started':
        events.record('stage_started', subject);
        break;
      case 'stage_answered': {
        const name = notice.accepted ? 'stage_answered' : 'stage_escalated';
        const detail = `confidence ${notice.confidence}`;
        events.record(name, {...subject, detail});
        metrics.stages.inc({model, version, outcome: name});
        cascades.observeAnswer({
          workspace: workspace.name,
          task: request.task,
          model,
          escalated: notice.escalated,
          score: notice.confidence,
        });
        this.parts.countVersion(model, version, {requests: 1});
        break;
      }
      case 'stage_failed':
        events.record('stage_escalated', {
          ...subject,
          detail: notice.failure.code,
        });
        metrics.stages.inc({model, version, outcome: notice.failure.code});
        this.countFailure(notice);
        break;
    }
  }

  /**
   * Counts a failure against the version only where its engine took the
   * request: a full or lost upstream says nothing about a version.
   */
  private countFailure(
    notice: Extract<chatRunner.ChatNotice, {readonly kind: 'stage_failed'}>,
  ): void {
    const {run, failure} = notice;
    if (failure.code === 'aborted' || failure.ran === 'not_run') {
      return;
    }
    const sign = {requests: 1, errors: 1};
    this.parts.countVersion(run.model, run.version, sign);
  }

  /** Takes in what happens in one attempt of a stage. */
  notifyAttempt(
    run: chatRunner.StageRun,
    notice: upstreams.CompletionNotice,
  ): void {
    const {upstream} = notice;
    const subject = {request: run.call.requestId, upstream};
    switch (notice.kind) {
      case 'started':
        break;
      case 'discarded':
        this.parts.events.record('answer_discarded', {
          ...subject,
          detail: notice.reason,
        });
        break;
      case 'attempt_failed':
        this.parts.events.record('upstream_failed', {
          ...subject,
          detail: `${notice.failure.code} at ${notice.offset}`,
        });
        if (notice.failure.code === 'cold') {
          this.parts.noteCold(upstream);
        }
        break;
    }
  }
}
