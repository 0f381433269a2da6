/** The demo's edits give texts that compile to what was meant. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compileText } from '@cassiamast/config-text';
import { withDrain, withWithdrawn } from '../../src/demo/edits.js';
import { DeploymentName, readDeploymentText } from '../../src/deployment/files.js';

describe('demo edits', () => {
  for (const name of Object.values(DeploymentName)) {
    const text = readDeploymentText(name);

    it(`withdraw one target of ${name} and no other`, () => {
      const compiled = compileText(text)._unsafeUnwrap();
      for (const service of compiled.services) {
        const target = service.targets[1]?.name ?? '';
        const edited = compileText(withWithdrawn(text, target))._unsafeUnwrap();
        const withdrawn = edited.services.flatMap((one) =>
          one.targets.filter((candidate) => candidate.withdrawn).map((candidate) => candidate.name),
        );
        assert.deepEqual(withdrawn, [target]);
      }
    });

    it(`change the drain time of ${name}`, () => {
      assert.equal(compileText(withDrain(text, '90 s'))._unsafeUnwrap().limits.drainMs, 90_000);
    });
  }
});
