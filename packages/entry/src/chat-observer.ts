/**
 * Records the progress of chat runs in events, metrics, cascades, rollouts.
 */
import type * as upstreams from '@amaranthknot/upstreams';
import type * as chatRunner from './chat-runner.js';
import type * as entryDependencies from './entry-dependencies.js';

/** Receives the events of all chat runs of this instance. */
export class ChatObserver {
  constructor(
    private readonly dependencies: entryDependencies.EntryDependencies,
  ) {}

  /** Records an event of a run. */
  notify(event: chatRunner.StageEvent): void {
    const {run} = event;
    const {model, version} = run;
    const {requestId, workspace, request} = run.call;
    const subject = {
      request: requestId,
      workspace: workspace.name,
      model,
      version,
    };
    const {events, metrics, cascades} = this.dependencies;
    switch (event.kind) {
      case 'stage_started':
        events.record('stage_started', subject);
        break;
      case 'stage_answered': {
        const name = event.accepted ? 'stage_answered' : 'stage_escalated';
        const detail = `confidence ${event.confidence}`;
        events.record(name, {...subject, detail});
        metrics.stages.inc({model, version, outcome: name});
        cascades.observeAnswer({
          workspace: workspace.name,
          task: request.task,
          model,
          escalated: event.escalated,
          score: event.confidence,
        });
        this.dependencies.recordObservation(model, version, {requests: 1});
        break;
      }
      case 'stage_failed':
        events.record('stage_escalated', {
          ...subject,
          detail: event.failure.code,
        });
        metrics.stages.inc({model, version, outcome: event.failure.code});
        this.countFailure(event);
        break;
    }
  }

  /**
   * Counts a failure as evidence against the version only if its engine may
   * have run the request: a full or lost upstream says nothing about a version.
   */
  private countFailure(
    event: Extract<chatRunner.StageEvent, {readonly kind: 'stage_failed'}>,
  ): void {
    const {run, failure} = event;
    if (failure.code === 'aborted' || failure.ran === 'not_run') {
      return;
    }
    const observation = {requests: 1, errors: 1};
    this.dependencies.recordObservation(run.model, run.version, observation);
  }

  /** Records an event of one attempt of a stage. */
  notifyAttempt(
    run: chatRunner.StageRun,
    event: upstreams.CompletionNotice,
  ): void {
    const {upstream} = event;
    const subject = {request: run.call.requestId, upstream};
    switch (event.kind) {
      case 'started':
        break;
      case 'discarded':
        this.dependencies.events.record('answer_discarded', {
          ...subject,
          detail: event.reason,
        });
        break;
      case 'attempt_failed':
        this.dependencies.events.record('upstream_failed', {
          ...subject,
          detail: `${event.failure.code} at ${event.offset}`,
        });
        if (event.failure.code === 'cold') {
          this.dependencies.recordColdRefusal(upstream);
        }
        break;
    }
  }
}
