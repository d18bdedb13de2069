/**
 * Factories of the components that follow the cold starts of upstreams. What they
 * wait for must be over, so they use the clock that never runs ahead.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as gateway from '@amaranthknot/gateway';
import type * as gatewayComponents from '../gateway-components.js';
import * as pushNews from '../push-news.js';

/** Tokens of the components that are created here. */
export type ColdComponent = 'coldStarts' | 'absenceSigns' | 'upstreamAbsences';

const roundOptional = (ms: number | undefined): number | undefined =>
  ms === undefined ? undefined : Math.round(ms);

/** Records what the entries of upstreams say of their cold starts. */
export const recordEntries = (
  get: gatewayComponents.GatewayResolver,
  changes: readonly gateway.CatalogChange[],
): void => {
  const ageMs = get('state').upstreamsAgeMs();
  for (const {kind, known} of changes) {
    if (kind !== 'gone' && kind !== 'kept') {
      const {coldForMs} = known.upstream;
      const statement = {source: 'entry', coldForMs, ageMs} as const;
      get('coldStarts').record(known.upstream, statement);
    }
  }
};

const logBegin = (
  get: gatewayComponents.GatewayResolver,
  {upstream, source, coldForMs, ageMs, sentLastS}: decisions.ColdBegin,
): void => {
  const known = get('catalog').find(upstream)?.upstream;
  const {clock} = get('options');
  get('log').info('upstream_cold', {
    upstream,
    service: known?.service,
    zone: known?.zone,
    source,
    coldForMs: roundOptional(coldForMs),
    ageMs: roundOptional(ageMs),
    startedAgoMs: known && Math.round(clock.wallTime() - known.startedAtMs),
    sentLastS,
    instances: get('members').idsForShares(clock.now()).length,
    revision: get('views').upstreams.version,
  });
};

const logEnd = (
  get: gatewayComponents.GatewayResolver,
  {upstream, source, coldMs, sent}: decisions.ColdEnd,
): void => {
  get('log').info('upstream_warm', {
    upstream,
    source,
    coldMs: Math.round(coldMs),
    sent,
  });
};

const findColdStartMs = (
  get: gatewayComponents.GatewayResolver,
  id: string,
): number => {
  const service = get('catalog').find(id)?.upstream.service ?? '';
  const found = get('state').activeTable()?.table.services.get(service);
  return found && found.coldPerSecond > 0 ? found.coldStartMs : 0;
};

const findSiblings = (
  get: gatewayComponents.GatewayResolver,
  id: string,
): readonly string[] => {
  const known = get('catalog').all();
  const service = get('catalog').find(id)?.upstream.service;
  return known
    .filter(({upstream}) => upstream.service === service && upstream.id !== id)
    .map(({upstream}) => upstream.id);
};

/** Creates the factories by token. */
export const createColdFactories = (
  options: gatewayComponents.GatewayOptions,
): gatewayComponents.ComponentFactories<ColdComponent> => ({
  coldStarts: get =>
    new decisions.ColdStarts({
      now: () => options.clock.steadyNow(),
      findColdStartMs: id => findColdStartMs(get, id),
      findAbsence: start => get('upstreamAbsences').find(start),
      onAnswered: start => {
        get('upstreamAbsences').clear(start);
      },
      onReturn: id => {
        get('picker').readmit(id);
      },
      onBegin: begin => {
        logBegin(get, begin);
      },
      onEnd: end => {
        logEnd(get, end);
      },
    }),
  upstreamAbsences: get =>
    new decisions.UpstreamAbsences({
      now: () => options.clock.steadyNow(),
      findColdStartMs: id => findColdStartMs(get, id),
      findSiblings: id => findSiblings(get, id),
      findSignOfLife: (id, atMs) =>
        get('absenceSigns').findSignOfLife(id, atMs),
      onRefute: ({upstream, ageMs, by}) => {
        const age = Math.round(ageMs);
        get('log').info('absence_refuted', {upstream, ageMs: age, by});
      },
      onChange: start => {
        get('coldStarts').updateAbsence(start);
      },
      onReturn: id => {
        get('picker').readmit(id);
      },
      onNews: pushNews.createPushNews(get, 'share_absences', () => ({
        absences: [...get('upstreamAbsences').report()],
      })),
    }),
  absenceSigns: () =>
    new decisions.AbsenceSigns({now: () => options.clock.steadyNow()}),
});
