import * as fs from 'node:fs';
import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';

const read = (file: string): string =>
  fs.readFileSync(
    new URL(`../../../examples/${file}`, import.meta.url),
    'utf8',
  );

const readDocument = (name: string): configuration.Document =>
  configuration
    .parseDocument(read(`${name}.toml`), `${name}.toml`)
    .ifLeft(found => chai.expect(found).eql([]))
    .unsafeCoerce();

const readInstances = (
  name: string,
): readonly configuration.InstanceEntry[] => {
  const file = `${name}-instances.toml`;
  return configuration.parseInstances(read(file), file).unsafeCoerce();
};

/** Active versions and services, which instances must serve. */
const listNeeded = (document: configuration.Document): readonly string[] => [
  ...document.models.flatMap(model =>
    model.versions
      .filter(version => version.state === 'active')
      .map(version => `${model.name}@${version.name}`),
  ),
  ...document.services.map(service => service.name),
];

describe('examples', () => {
  // Each row: name, and required numbers of zones, engines and services.
  const deployments: readonly (readonly [string, number, number, number])[] = [
    ['rostering', 4, 8, 4],
    ['meetups', 3, 6, 3],
  ];
  for (const [name, zones, engines, services] of deployments) {
    it(`${name} has the required numbers of zones, workspaces and instances`, () => {
      const document = readDocument(name);
      const roles = readInstances(name).map(instance => instance.role);
      chai.expect(document.zones.length).equal(zones);
      chai.expect(document.workspaces.length).equal(10);
      chai
        .expect(roles.filter(role => role === 'engine').length)
        .equal(engines);
      chai
        .expect(roles.filter(role => role === 'service').length)
        .equal(services);
    });

    it(`${name} has instances in all zones that serve all it needs`, () => {
      const document = readDocument(name);
      const instances = readInstances(name);
      chai
        .expect(new Set(instances.map(instance => instance.zone)))
        .eql(new Set(document.zones.map(zone => zone.name)));
      chai
        .expect(new Set(instances.flatMap(instance => instance.serves)))
        .eql(new Set(listNeeded(document)));
    });
  }

  it('settings.toml lists the default limits', () => {
    const text = read('settings.toml');
    const settings = configuration
      .parseSettings(text, 'settings.toml')
      .unsafeCoerce();
    const withoutLimits = configuration
      .parseSettings(text.replace(/\[limits\][^[]*/, ''), 'settings.toml')
      .unsafeCoerce();
    chai.expect(settings).eql(withoutLimits);
  });

  it('parseInstances refuses two instances with the same id', () => {
    const text = read('meetups-instances.toml').replace('engine-2', 'engine-1');
    const found = configuration.parseInstances(text, 'list.toml').swap();
    chai
      .expect(found.orDefault([]).map(({code, key}) => [code, key]))
      .eql([['duplicate', 'instances.1.id']]);
  });
});
