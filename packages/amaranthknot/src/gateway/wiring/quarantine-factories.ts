/**
 * Factories of the components that find what makes upstreams end, and keep it
 * away from them.
 */
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '@amaranthknot/gateway';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as gatewayComponents from '../gateway-components.js';
import * as pushNews from '../push-news.js';

/** Tokens of the components that are created here. */
export type QuarantineComponent = 'partQuarantine' | 'upstreamEnds';

/** Maximum number of ids in one log line. */
const MAX_IDS = 20;

const EVENTS: Readonly<Record<decisions.PartBelief, telemetry.InstanceEvent>> =
  {
    suspected: 'prompt_part_suspected',
    held: 'prompt_part_held',
    clear: 'prompt_part_released',
  };

/**
 * Lines per second about parts that are only suspected: the loss of many
 * upstreams at once makes hundreds of parts suspect for a moment.
 */
const MAX_SUSPICIONS_PER_S = 20;

/** Creates the function that logs changes of belief. */
const createLogPartChange = (
  get: gatewayComponents.GatewayResolver,
): ((change: decisions.PartChange) => void) => {
  const lines = new decisions.SlidingCount(1_000);
  return ({part, workspace, before, after, upstreams}) => {
    const now = get('options').clock.now();
    const isSuspicion = before !== 'held' && after !== 'held';
    if (isSuspicion && lines.count(now) >= MAX_SUSPICIONS_PER_S) {
      return;
    }
    if (isSuspicion) {
      lines.add(now);
    }
    get('log').info(EVENTS[after], {
      part,
      workspace,
      before,
      upstreams: upstreams.slice(0, MAX_IDS),
    });
  };
};

const recordEnd = (
  get: gatewayComponents.GatewayResolver,
  {upstream, atMs, begun, unanswered, coincident}: gateway.UpstreamEnd,
): void => {
  const parts = unanswered.flatMap(attempt =>
    attempt.parts.map(part => ({
      part,
      workspace: attempt.workspace,
      sentAtMs: attempt.sentAtMs,
    })),
  );
  get('log').warn('upstream_ended', {
    upstream: upstream.id,
    zone: upstream.zone,
    version: upstream.version,
    begun,
    unanswered: unanswered.length,
    requests: unanswered.slice(0, MAX_IDS).map(({request}) => request),
    parts: [...new Set(parts.map(({part}) => part))].slice(0, MAX_IDS),
    coincident,
    agoMs: Math.round(get('options').clock.steadyNow() - atMs),
  });
  get('partQuarantine').recordEnd(
    gateway.nameStart(upstream),
    atMs,
    parts,
    coincident,
  );
};

/** Creates the factories by token. */
export const createQuarantineFactories = (
  options: gatewayComponents.GatewayOptions,
): gatewayComponents.ComponentFactories<QuarantineComponent> => ({
  partQuarantine: get =>
    new decisions.PartQuarantine({
      now: () => options.clock.steadyNow(),
      self: options.settings.current.instance.id,
      findInstances: () =>
        get('members')
          .serving(options.clock.now())
          .map(({id}) => id),
      onChange: createLogPartChange(get),
      onEvidence: pushNews.createPushNews(get, 'share_suspect_parts', () => ({
        parts: [...get('partQuarantine').report()],
      })),
    }),
  upstreamEnds: get =>
    new gateway.UpstreamEnds({
      now: () => options.clock.steadyNow(),
      sleep: ms => options.clock.sleep(ms),
      checkRefusal: gateway.createCheckRefusal(
        options.settings.current.sourceAddress,
      ),
      onEnd: end => {
        get('upstreamAbsences').recordOwn(end.upstream);
        recordEnd(get, end);
      },
      onAnswer: parts => {
        get('partQuarantine').recordAnswer(parts);
      },
    }),
});
