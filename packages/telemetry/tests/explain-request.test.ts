import * as chai from 'chai';
import * as telemetry from '@amaranthknot/telemetry';

const lineOf = (
  atMs: number,
  instance: string,
  message: string,
  fields: Readonly<Record<string, unknown>> = {},
): string =>
  JSON.stringify({
    timestamp: new Date(atMs).toISOString(),
    instance,
    message,
    level: 'info',
    ...fields,
  });

const explain = (
  lines: readonly string[],
  id: string,
): telemetry.RequestExplanation | undefined =>
  telemetry.explainRequest(
    lines.flatMap(line => telemetry.parseLogLine(line) ?? []),
    id,
  );

describe('explainRequest', () => {
  it('orders the lines of all instances by time and adds what these knew', () => {
    const explanation = explain(
      [
        lineOf(900, 'b', 'request_refused', {request: 'r', reason: 'stopping'}),
        lineOf(1_000, 'a', 'request_placed', {request: 'r', upstream: 'u'}),
        lineOf(400, 'a', 'upstream_rested', {upstream: 'u'}),
        lineOf(500, 'a', 'upstream_rested', {upstream: 'other'}),
        lineOf(600, 'a', 'upstreams_changed', {leaving: ['u', 'other']}),
        lineOf(700, 'a', 'upstreams_changed', {leaving: ['another']}),
        lineOf(300, 'a', 'zones_out', {zones: ['z']}),
        lineOf(200, 'a', 'zones_out', {zones: []}),
        lineOf(2_000, 'a', 'store_lost', {code: 'unavailable'}),
        lineOf(1_100, 'a', 'request_answered', {request: 'other'}),
        lineOf(1_200, 'a', 'request_answered', {request: 'r', upstream: 'u'}),
      ],
      'r',
    );
    chai
      .expect(explanation?.lines.map(({event}) => event))
      .eql(['request_refused', 'request_placed', 'request_answered']);
    const beliefs = explanation?.beliefs.map(({line, ageMs}) => [
      line.event,
      ageMs,
    ]);
    chai.expect(beliefs).eql([
      ['zones_out', 700],
      ['upstream_rested', 600],
      ['upstreams_changed', 400],
    ]);
    const text = explanation && telemetry.formatExplanation(explanation);
    chai.expect(text).contain('zones=["z"]').and.contain('leaving=["u"]');
  });

  it('adds what was believed last of the parts of its prompt', () => {
    const explanation = explain(
      [
        lineOf(100, 'a', 'prompt_part_suspected', {part: 'p', before: 'clear'}),
        lineOf(200, 'a', 'prompt_part_held', {part: 'p', upstreams: ['u/1']}),
        lineOf(300, 'a', 'prompt_part_held', {part: 'other'}),
        lineOf(400, 'b', 'prompt_part_released', {part: 'p'}),
        lineOf(500, 'a', 'upstream_ended', {upstream: 'u', parts: ['p']}),
        lineOf(600, 'a', 'request_placed', {request: 'r', upstream: 'u'}),
        lineOf(700, 'a', 'try_not_placed', {
          request: 'r',
          reason: 'quarantined',
          heldParts: ['p'],
        }),
      ],
      'r',
    );
    chai
      .expect(explanation?.beliefs.map(({line, ageMs}) => [line.event, ageMs]))
      .eql([
        ['prompt_part_held', 400],
        ['upstream_ended', 100],
      ]);
    const text = explanation && telemetry.formatExplanation(explanation);
    chai.expect(text).contain('upstreams=["u/1"]').and.contain('parts=["p"]');
  });

  it('returns undefined for a request that no line names', () => {
    chai.expect(explain([lineOf(0, 'a', 'zones_out')], 'r')).equal(undefined);
  });

  const unreadable: readonly string[] = [
    '',
    'no JSON',
    '{"torn":',
    '{"message":"without a time","instance":"a"}',
  ];

  unreadable.forEach(text => {
    it(`skips ${JSON.stringify(text)}`, () => {
      chai.expect(telemetry.parseLogLine(text)).equal(undefined);
    });
  });

  it('parses a line after a prefix that a collector added', () => {
    const text = `2026-01-01 front-1 ${lineOf(5, 'a', 'zones_out')}`;
    chai.expect(telemetry.parseLogLine(text)?.atMs).equal(5);
  });
});
