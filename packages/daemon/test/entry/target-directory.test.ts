/** Tests which targets accept new work for each combination of leaving signs. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type Configuration,
  type Member,
  MemberKind,
  MemberState,
  TargetKind,
} from '@cassiamast/coordination';
import { createTargetDirectory, type TargetDirectory } from '../../src/entry/target-directory.js';

const SERVICE = 'inspect-llm';

function configurationOf(names: readonly string[], withdrawn: string): Configuration {
  const targets = names.map((name, index) => ({
    name,
    failureDomain: 'eros-hall',
    sidecar: { host: name, port: 1 },
    backend: { host: name, port: 2 + index },
    checksFencing: true,
    withdrawn: name === withdrawn,
  }));
  const service = {
    name: SERVICE,
    kind: TargetKind.ModelEngine,
    dependsOn: [],
    models: [],
    calls: [],
    targets,
    goals: { firstTokenMs: 360, interTokenMs: 80 },
    floorTargets: 1,
    rolesMayChange: false,
    priority: 1,
    deadlineMs: 1_000,
    retryBudgetRatio: 0.1,
  };
  const limits = {
    answerRetentionMs: 1,
    maxPromptTokens: 1,
    maxOutputTokens: 1,
    maxBodyBytes: 1,
    drainMs: 1,
  };
  return { services: [service], workspaces: [], limits };
}

function directoryOf(
  states: Readonly<Record<string, MemberState>>,
  withdrawn = '',
): TargetDirectory {
  const findMember = (memberId: string): Member | undefined => {
    const name = memberId.split(':')[0] ?? '';
    const state = states[name];
    if (state === undefined) return undefined;
    return {
      id: memberId,
      kind: MemberKind.Sidecar,
      address: { host: name, port: 1 },
      failureDomain: 'eros-hall',
      target: name,
      incarnation: 1,
      state,
    };
  };
  const configuration = configurationOf(Object.keys(states), withdrawn);
  return createTargetDirectory({
    configuration: () => configuration,
    findMember,
    listedLeaving: () => null,
  });
}

function openNames(directory: TargetDirectory): readonly string[] {
  return directory.open(SERVICE).map((target) => target.name);
}

describe('target directory', () => {
  describe('with some targets alive', () => {
    it('excludes suspect, leaving and dead targets', () => {
      const directory = directoryOf({
        a: MemberState.Alive,
        b: MemberState.Suspect,
        c: MemberState.Leaving,
        d: MemberState.Dead,
      });
      assert.deepEqual(openNames(directory), ['a']);
    });
  });

  describe('with no target alive', () => {
    // After an event loop stall of two seconds, an entry suspects every target although all of them
    // work. Excluding suspects would reject every request.
    it('falls back to suspect targets', () => {
      const directory = directoryOf({ a: MemberState.Suspect, b: MemberState.Dead });
      assert.deepEqual(openNames(directory), ['a']);
      const accepting = directory.infos(SERVICE).map((info) => info.accepting);
      assert.deepEqual(accepting, [true, false]);
    });

    it('excludes suspect targets that the operators have withdrawn', () => {
      const directory = directoryOf({ a: MemberState.Suspect, b: MemberState.Suspect }, 'a');
      assert.deepEqual(openNames(directory), ['b']);
    });
  });
});
