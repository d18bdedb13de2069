import * as path from 'node:path';
import * as url from 'node:url';
import * as chai from 'chai';
import * as esbuild from 'esbuild';

const ROOT = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../..',
);
const ENTRY = 'packages/amaranthknot/src/gateway-main.ts';

/** Names of the packages that are loaded before an instance accepts callers. */
const findLoadedAtStart = async (): Promise<ReadonlySet<string>> => {
  const {metafile} = await esbuild.build({
    absWorkingDir: ROOT,
    entryPoints: [ENTRY],
    bundle: true,
    write: false,
    metafile: true,
    platform: 'node',
    format: 'cjs',
    logLevel: 'error',
    define: {'import.meta.url': 'undefined'},
  });
  const seen = new Set<string>([ENTRY]);
  for (const file of seen) {
    for (const {path: target, kind} of metafile.inputs[file]?.imports ?? []) {
      if (kind === 'import-statement' || kind === 'require-call') {
        seen.add(target);
      }
    }
  }
  const named = [...seen].flatMap(
    file => /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(file)?.[1] ?? [],
  );
  return new Set(named);
};

describe('imports of the gateway entry point', () => {
  it('include nothing that is not needed to serve callers', async () => {
    // After a power loss all instances start together, and callers retry only
    // once, at addresses that refuse them until the program is loaded. On 0.675
    // of a core an instance accepted callers 434 ms after its process started
    // with the framework of the auxiliary servers and the option parser loaded
    // first, and after 156 ms without them.
    const loaded = await findLoadedAtStart();
    chai.expect(loaded).include('zod');
    chai.expect([...loaded]).not.include('@hapi/hapi');
    chai.expect([...loaded]).not.include('meow');
  });
});
