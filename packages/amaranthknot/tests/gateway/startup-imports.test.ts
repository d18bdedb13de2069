import * as path from 'node:path';
import * as url from 'node:url';
import * as chai from 'chai';
import * as esbuild from 'esbuild';

const ROOT = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../..',
);
const ENTRY = 'packages/amaranthknot/src/gateway-main.ts';

/** Packages that are loaded before an instance takes callers. */
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

describe('start of an instance', () => {
  it('loads nothing that callers do not need', async () => {
    // All instances lose their power and start again together. Callers repeat
    // once, at addresses that refuse them for as long as processes load their
    // program. With the framework of the other servers and the reader of
    // options in the way, an instance took callers 434 ms after its process
    // began on 0.675 of a core; without them, 156 ms.
    const loaded = await findLoadedAtStart();
    chai.expect(loaded).include('zod');
    chai.expect([...loaded]).not.include('@hapi/hapi');
    chai.expect([...loaded]).not.include('meow');
  });
});
