/** The example texts give no warnings: operators start from them. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { reviewText } from '@cassiamast/config-text';
import { DeploymentName, readDeploymentText } from '../../src/deployment/files.js';

describe('the example texts', () => {
  for (const name of Object.values(DeploymentName)) {
    it(`give no warning: ${name}`, () => {
      assert.deepEqual(reviewText(readDeploymentText(name))._unsafeUnwrap().findings, []);
    });
  }
});
