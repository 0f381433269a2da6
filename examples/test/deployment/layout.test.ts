/** The shipped deployments, laid out on one machine. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { TargetKind } from '@cassiamast/coordination';
import { DeploymentName, readDeploymentText } from '../../src/deployment/files.js';
import {
  layOutDeployment,
  PORTS_PER_DEPLOYMENT,
  ProcessKind,
} from '../../src/deployment/layout.js';

const BASE_PORT = 30_000;

describe('deployment layout', () => {
  for (const name of Object.values(DeploymentName)) {
    describe(name, () => {
      const layout = layOutDeployment(readDeploymentText(name), BASE_PORT);

      it('has the users’ sizes of today', () => {
        const count = (kind: TargetKind): number =>
          layout.targets.filter((target) => target.kind === kind).length;
        assert.equal(count(TargetKind.ModelEngine), 8);
        assert.equal(count(TargetKind.PlainService), 3);
        assert.equal(layout.callerUrls.length, 3);
        const sidecars = layout.processes.filter((one) => one.kind === ProcessKind.Sidecar);
        assert.equal(sidecars.length, 11);
      });

      it('gives every process its own ports within the block', () => {
        const ports = [...JSON.stringify(layout.processes).matchAll(/"port":(\d+)/g)].map(portOf);
        assert.equal(new Set(ports).size, ports.length);
        for (const port of ports) {
          assert.ok(port >= BASE_PORT && port < BASE_PORT + PORTS_PER_DEPLOYMENT);
        }
      });

      it('leaves no address of the users’ own network in the text', () => {
        assert.doesNotMatch(layout.text, /\b10\.\d/);
      });
    });
  }
});

function portOf(match: RegExpMatchArray): number {
  return Number(match[1]);
}
