/** Policies that are compared, as overrides of an instance's components. */
import type * as amaranthknot from '@amaranthknot/amaranthknot';
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '@amaranthknot/gateway';

/**
 * A policy by name.
 *
 * - `full`: the gateway's own decisions.
 * - `random`: any upstream that may take a request.
 * - `least_requests`: the upstream with the fewest requests in flight from this
 *   instance.
 * - `cheap_only`, `capable_only`: the cascade never escalates, or always does.
 */
export type PolicyName =
  'full' | 'random' | 'least_requests' | 'cheap_only' | 'capable_only';

/** All policies; the first is the reference of comparisons. */
export const POLICY_NAMES: readonly PolicyName[] = [
  'full',
  'random',
  'least_requests',
  'cheap_only',
  'capable_only',
];

type Pick = decisions.UpstreamPicker['pick'];

const createPicker = (
  get: amaranthknot.GatewayResolver,
  createPick: (picker: decisions.UpstreamPicker) => Pick,
): decisions.UpstreamPicker => {
  const {clock, random, settings} = get('options');
  const picker = new decisions.UpstreamPicker({
    onEject: () => undefined,
    zone: settings.current.instance.zone,
    now: () => clock.now(),
    random,
  });
  picker.pick = createPick(picker);
  return picker;
};

const pickRandom =
  (random: () => number): Pick =>
  candidates =>
    candidates[Math.floor(random() * candidates.length)];

const pickLeastLoaded =
  (picker: decisions.UpstreamPicker): Pick =>
  candidates =>
    [...candidates].sort(
      (a, b) => picker.describe(a.id).inFlight - picker.describe(b.id).inFlight,
    )[0];

const createEscalationPolicy = (
  get: amaranthknot.GatewayResolver,
  runs: boolean,
): gateway.EscalationPolicy => {
  const {clock} = get('options');
  const policy = new gateway.EscalationPolicy({
    now: () => clock.now(),
    availability: get('availability'),
    picker: get('picker'),
    repeats: get('repeatBudget'),
  });
  policy.decide = (_request, _capable, confidence) => ({
    confidence,
    scarcity: 1,
    hasBudget: true,
    runs,
  });
  return policy;
};

/** Returns the components that a policy replaces in each instance. */
export const findOverrides = (
  policy: PolicyName,
): amaranthknot.ComponentOverrides => {
  switch (policy) {
    case 'full':
      return {};
    case 'random':
      return {
        picker: get =>
          createPicker(get, () => pickRandom(get('options').random)),
      };
    case 'least_requests':
      return {picker: get => createPicker(get, pickLeastLoaded)};
    case 'cheap_only':
      return {escalationPolicy: get => createEscalationPolicy(get, false)};
    case 'capable_only':
      return {escalationPolicy: get => createEscalationPolicy(get, true)};
  }
};
