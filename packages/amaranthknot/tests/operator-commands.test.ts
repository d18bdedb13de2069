import * as fs from 'node:fs';
import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';
import * as membership from '@amaranthknot/membership';
import type * as command from '../src/command.js';
import * as operatorConnection from '../src/operator/operator-connection.js';
import * as fixture from './operator-fixture.js';

const S = '--settings s.toml';

const page = fs.readFileSync(
  new URL('../../../docs/CLI.md', import.meta.url),
  'utf8',
);

interface Json {
  readonly ok: boolean;
  readonly generation?: number;
  readonly digest?: string;
  readonly changes?: readonly {readonly key: string}[];
  readonly error?: {readonly code: string; readonly nearest?: string};
}

const runJson = async (
  environment: fixture.Environment,
  line: string,
): Promise<Json> =>
  JSON.parse((await environment.run(`${line} --json`)).out) as Json;

const createApplied = async (): Promise<fixture.Environment> => {
  const environment = fixture.createEnvironment();
  const applied = await environment.run(`apply meetups.toml ${S}`);
  chai.expect(applied.code).equal(0);
  return environment;
};

const replace = (
  environment: fixture.Environment,
  from: string,
  to: string,
): void => {
  const text = environment.files.get('meetups.toml')!;
  chai.expect(text).contain(from);
  environment.files.set('meetups.toml', text.replace(from, to));
};

describe('operator commands', () => {
  // Each row: name of the case, command line, exit code, pattern of the error.
  const refused: readonly (readonly [
    string,
    string,
    command.ExitCode,
    RegExp,
  ])[] = [
    ['a misspelt flag', `status ${S} --jsn`, 2, /--jsn; did you mean --json\?/],
    ['a short flag', `status ${S} -x`, 2, /unknown option -x/],
    ['a flag without a value', 'status --settings', 2, /needs a string/],
    [
      'a value that is not a number',
      `zone in x ${S} --wait-ms soon`,
      2,
      /--wait-ms needs a number/,
    ],
    ['a flag twice', `status ${S} ${S}`, 2, /only be set once/],
    ['missing settings', 'status', 2, /needs --settings/],
    ['a missing document', 'check', 2, /needs DOC/],
    ['an extra argument', 'check a b', 2, /takes no "b"/],
    ['a missing file', 'check nowhere.toml', 2, /nowhere\.toml: no such file/],
    ['a misspelt zone', `zone out akl-aa ${S}`, 2, /did you mean "akl-a"\?/],
    ['a misspelt action', `zone on akl-a ${S}`, 2, /no action "on"/],
    ['a misspelt rollout', `rollout pause guide ${S}`, 2, /guide-small/],
    ['a missing rollout name', `rollout pause ${S}`, 2, /needs MODEL/],
    [
      'a promotion to the same environment',
      `promote --from a --to a ${S}`,
      2,
      /two environments/,
    ],
    ['nothing to promote', `promote --from x --to y ${S}`, 1, /nothing is in/],
    [
      'an environment without an active configuration',
      `status ${S} --environment x`,
      1,
      /nothing is in/,
    ],
    [
      'a misspelt environment',
      `status ${S} --environment tral`,
      1,
      /"trial"\?/,
    ],
    [
      'a generation that is not the active one',
      `apply meetups.toml ${S} --generation 7`,
      1,
      /another publication came first/,
    ],
  ];
  for (const [title, line, code, words] of refused) {
    it(`refuses ${title}`, async () => {
      const environment = await createApplied();
      const run = await environment.run(line);
      chai.expect(run.err).match(words);
      chai.expect(run.code).equal(code);
      chai.expect(run.out).equal('');
    });
  }

  it('prints problems with file and line, and as JSON', async () => {
    const environment = fixture.createEnvironment();
    replace(environment, 'weight = 0.5', 'wieght = 0.5');
    const run = await environment.run('check meetups.toml');
    chai.expect(run.code).equal(1);
    chai.expect(run.err).match(/^meetups\.toml:\d+: .* did you mean "weight"/);
    const json = await runJson(environment, 'check meetups.toml');
    chai.expect(json.error?.code).equal('invalid_file');
  });

  it('shows a diff, and applies it', async () => {
    const environment = await createApplied();
    replace(environment, 'weight = 0.5', 'weight = 2');
    const run = await environment.run(`diff meetups.toml ${S}`);
    chai
      .expect(run.out)
      .equal(
        'trial, generation 1: 1 changes\n' +
          '~ workspaces.trust-office.weight 0.5 -> 2\n',
      );
    const json = await runJson(environment, `apply meetups.toml ${S}`);
    chai.expect(json.generation).equal(2);
    chai
      .expect(json.changes?.map(({key}) => key))
      .eql(['workspaces.trust-office.weight']);
  });

  for (const name of ['rostering', 'meetups']) {
    it(`promotes ${name} from trial to production unchanged`, async () => {
      const environment = fixture.createEnvironment();
      const tried = await runJson(environment, `apply ${name}.toml ${S}`);
      const promoted = await runJson(
        environment,
        `promote --from trial --to production ${S}`,
      );
      chai.expect(promoted.ok).equal(true);
      chai.expect(promoted.digest).equal(tried.digest);
    });
  }

  it('writes one section to take a zone out or in', async () => {
    const environment = await createApplied();
    const before = environment.store.count(membership.SECTION_KIND);
    const out = await runJson(environment, `zone out akl-b ${S}`);
    chai.expect(out.changes?.map(({key}) => key)).eql(['zones.akl-b.state']);
    // The section of the zone, and the manifest that names it.
    const after = environment.store.count(membership.SECTION_KIND);
    chai.expect(after - before).equal(2);
    const back = await runJson(environment, `zone in akl-b ${S}`);
    chai.expect(back.generation).equal(3);
  });

  it('refuses to take the last zone out', async () => {
    const environment = await createApplied();
    await environment.run(`zone out akl-a ${S}`);
    await environment.run(`zone out akl-b ${S}`);
    const run = await environment.run(`zone out akl-c ${S}`);
    chai.expect(run.code).equal(1);
    chai.expect(run.err).contain('[all_zones_out]');
  });

  it('pauses, resumes and withdraws a rollout', async () => {
    const environment = await createApplied();
    for (const action of ['resume', 'pause', 'resume', 'withdraw']) {
      const run = await environment.run(`rollout ${action} guide-small ${S}`);
      chai.expect(run.code).equal(0);
    }
    const shown = await environment.run(`rollout status ${S}`);
    chai.expect(shown.out).contain('2026-10 -> 2026-11, withdrawn');
    const resumed = await environment.run(`rollout resume guide-small ${S}`);
    chai.expect(resumed.code).equal(1);
    chai.expect(resumed.err).contain('[rollout_withdrawn]');
  });

  it('reports instances that lack a generation after the wait', async () => {
    const environment = await createApplied();
    environment.generations.set('entry-1', 2);
    const run = await environment.run(`zone out akl-a ${S} --wait`);
    chai.expect(run.code).equal(1);
    chai.expect(run.err).match(/not in force on 1 of 2[^]*entry-2 in ariana/);
    environment.generations.set('entry-1', 3).set('entry-2', 3);
    const back = await environment.run(`zone in akl-a ${S} --wait`);
    chai.expect(back.code).equal(0);
    chai.expect(back.out).contain('in force on all 2 instances');
  });

  it('prints progress on a terminal but not in a pipe', async () => {
    const environment = await createApplied();
    const line = `status ${S}`;
    chai.expect((await environment.run(line)).err).equal('');
    environment.isTerminal = true;
    chai.expect((await environment.run(line)).err).contain('asking 2');
  });

  it('lists the active generation, the zones and the entry instances', async () => {
    const environment = await createApplied();
    environment.generations.set('entry-1', 1);
    const shown = await environment.run(`status ${S}`);
    chai.expect(shown.out).contain('in force on 1 of 2 instances');
    chai.expect(shown.out).contain('akl-a in, akl-b in, akl-c in');
    const listed = await environment.run(`entry-instances ${S} --zone tunis`);
    chai.expect(listed.out).equal('entry-1 tunis 127.0.0.1:8081 live\n');
  });

  it('reports that the platform is unreachable', async () => {
    const environment = await createApplied();
    environment.isListDown = true;
    chai.expect((await environment.run(`status ${S}`)).code).equal(3);
    environment.store.fault = () => 'down';
    for (const line of ['zone out akl-a', 'apply meetups.toml', 'status']) {
      chai.expect((await environment.run(`${line} ${S}`)).code).equal(3);
    }
  });

  for (const name of [
    'apply',
    'check',
    'diff',
    'entry-instances',
    'promote',
    'rollout',
    'status',
    'zone',
  ]) {
    it(`${name} has help, and its options are documented`, async () => {
      const run = await fixture.createEnvironment().run(`${name} --help`);
      chai.expect(run.code).equal(0);
      chai.expect(run.out).contain(`$ amaranthknot ${name}`);
      chai.expect(run.out).match(/Example[^]*Exit codes/);
      chai.expect(page).match(new RegExp(`^## .*\`${name}`, 'm'));
      for (const option of run.out.match(/--[a-z-]+/g) ?? []) {
        chai.expect(page).contain(`\`${option}`);
      }
    });
  }
});

describe('operator commands with failures and races', () => {
  it('do not bring back a zone by an older document', async () => {
    // An operator takes a zone out. Another applies a document, written while
    // the zone was in, to change a weight. Guards against bringing the zone
    // back although nobody decided to.
    const environment = await createApplied();
    await environment.run(`zone out akl-b ${S}`);
    replace(environment, 'weight = 0.5', 'weight = 2');
    const run = await environment.run(`apply meetups.toml ${S}`);
    chai.expect(run.code).equal(1);
    chai.expect(run.err).contain('zones.akl-b.state "out" -> "in"');
    const confirmed = await environment.run(
      `apply meetups.toml ${S} --bring-back`,
    );
    chai.expect(confirmed.code).equal(0);
  });

  it('do not bring back a zone by promotion', async () => {
    // A zone of production is out; in trial all zones are in. Guards against a
    // promotion that brings the zone back unintentionally.
    const environment = await createApplied();
    const line = `promote --from trial --to production ${S}`;
    await environment.run(line);
    await environment.run(`zone out akl-b ${S} --environment production`);
    chai.expect((await environment.run(line)).code).equal(1);
    chai.expect((await environment.run(`${line} --bring-back`)).code).equal(0);
  });

  it('keep both of two concurrent changes', async () => {
    // Two operators each take a zone out at the same moment. Both read the same
    // generation; the later write must not undo the earlier one.
    const environment = await createApplied();
    const runs = await Promise.all(
      ['akl-a', 'akl-b'].map(name => environment.run(`zone out ${name} ${S}`)),
    );
    chai.expect(runs.map(run => run.code)).eql([0, 0]);
    const shown = await environment.run(`status ${S}`);
    chai.expect(shown.out).contain('akl-a out, akl-b out, akl-c in');
  });

  it('do not undo a change made between reading and publishing', async () => {
    // A command reads the document and edits it; meanwhile another operator
    // takes a zone out. Guards against publishing the edited document, in which
    // that zone is still in.
    const environment = await createApplied();
    let reads = 0;
    environment.beforeGet = async kind => {
      reads += kind === membership.HEAD_KIND ? 1 : 0;
      if (kind === membership.HEAD_KIND && reads === 2) {
        await environment.run(`zone out akl-a ${S}`);
      }
    };
    const run = await environment.run(`zone out akl-b ${S}`);
    chai.expect(run.code).equal(0);
    const shown = await environment.run(`status ${S}`);
    chai.expect(shown.out).contain('akl-a out, akl-b out, akl-c in');
  });

  it('publish every section of a document', async () => {
    // Guards against a document part, here [sessions], for which there is no
    // stored section: instances never get the maximum age of session tokens,
    // and each diff shows it as a pending change.
    const environment = fixture.createEnvironment();
    const applied = await runJson(environment, `apply rostering.toml ${S}`);
    const checked = await runJson(environment, 'check rostering.toml');
    chai.expect(applied.digest).equal(checked.digest);
    const run = await environment.run(`diff rostering.toml ${S}`);
    chai.expect(run.out).equal('trial, generation 1: 0 changes\n');
  });

  it('take a zone out although a stale read shows it as out', async () => {
    // The zone was out and is in again, but the next read of the head is stale
    // and shows it as out. Guards against answering "nothing to change", which
    // would leave the zone in.
    const environment = await createApplied();
    await environment.run(`zone out akl-b ${S}`);
    await environment.run(`zone in akl-b ${S}`);
    let isStale = true;
    environment.store.fault = (operation, kind) => {
      const isHead = operation === 'get' && kind === membership.HEAD_KIND;
      const fault = isHead && isStale ? 'stale' : 'none';
      isStale = isStale && !isHead;
      return fault;
    };
    const run = await environment.run(`zone out akl-b ${S}`);
    chai.expect(run.code).equal(0);
    const shown = await environment.run(`status ${S}`);
    chai.expect(shown.out).contain('akl-b out');
  });

  it('confirm a change whose answer was lost', async () => {
    // The update of the head takes effect and its answer is lost. The operator
    // must not be told that it failed, and it must not be applied twice.
    const environment = await createApplied();
    let isLost = true;
    environment.store.fault = operation => {
      const fault = operation === 'update' && isLost ? 'lost_after' : 'none';
      isLost = isLost && operation !== 'update';
      return fault;
    };
    const out = await runJson(environment, `zone out akl-b ${S}`);
    chai.expect(out.generation).equal(2);
  });
});

describe('connect', () => {
  const secret = 's'.repeat(32);
  const files: Readonly<Record<string, string>> = {
    'good.toml': `
[instance]
id = "entry-1"
zone = "z1"
region = "r1"
environment = "trial"
listen = "127.0.0.1:8081"
[platform]
object_api = "http://127.0.0.1:7000"
instance_list = "http://127.0.0.1:7000"
[keys]
operator_digest = "sha256:${'0'.repeat(64)}"
inner_key = {file = "inner.key"}
session_key = "${secret}"
`,
    'inner.key': secret,
  };
  const readFile = (path: string): string => {
    const text = files[path];
    if (text === undefined) {
      throw new Error('no such file');
    }
    return text;
  };

  it('reads the settings and the key file', () => {
    const opened = operatorConnection
      .connect('good.toml', readFile)
      .unsafeCoerce();
    chai.expect(opened.environment).equal('trial');
    opened.close();
  });

  it('names a missing file', () => {
    const withoutKey = (path: string): string =>
      path === 'inner.key' ? readFile('nowhere') : readFile(path);
    const failed = operatorConnection.connect('good.toml', withoutKey).swap();
    chai.expect(failed.unsafeCoerce()).eql({
      code: 'unreadable_file',
      lines: ['inner.key: no such file'],
    });
  });

  it('reports invalid settings', () => {
    const failed = operatorConnection
      .connect('bad.toml', () => '[instanc]\n')
      .swap()
      .unsafeCoerce();
    chai.expect(failed.code).equal('invalid_file');
    chai.expect(failed.lines.join('\n')).contain('did you mean "instance"');
  });
});

describe('findReactivations', () => {
  const parse = (state: string): configuration.Document =>
    configuration
      .parseDocument(
        `
[models.m]
cost_per_thousand_tokens = 1
default_version = "v1"
versions.v1 = {}
versions.v2 = {state = "${state}", successor = "v1"}
[workspaces.w]
keys = ["sha256:${'0'.repeat(64)}"]
[[rules]]
workspaces = ["*"]
allow = ["model:m"]
[zones.z]
`,
        'x.toml',
      )
      .unsafeCoerce();

  it('finds a withdrawn version that becomes active again', () => {
    const found = configuration.findReactivations(
      parse('withdrawn'),
      parse('active'),
    );
    chai
      .expect(found.map(configuration.formatChange))
      .eql(['~ models.m.versions.v2.state "withdrawn" -> "active"']);
  });

  it('finds nothing when a version is withdrawn', () => {
    const found = configuration.findReactivations(
      parse('active'),
      parse('withdrawn'),
    );
    chai.expect(found).eql([]);
  });
});
