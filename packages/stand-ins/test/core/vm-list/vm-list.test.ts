/** Tests that the list of VMs shows changes only after its lag. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { VmListClient, VmListing } from '@cassiamast/ports';
import { createVmListClient, VM_LIST_UNAVAILABLE, VmState } from '@cassiamast/ports';
import type { VmListStandIn } from '../../../src/core/vm-list/vm-list.js';
import { startVmList } from '../../../src/core/vm-list/vm-list.js';

const LIVE: VmListing = { host: '10.0.0.1', port: 80, failureDomain: 'eros', state: VmState.Live };
const LEAVING: VmListing = { ...LIVE, state: VmState.Leaving };

describe('list of VMs', () => {
  let list: VmListStandIn;
  let client: VmListClient;
  let nowMs = 0;
  beforeEach(async () => {
    nowMs = 0;
    list = await startVmList({ vms: [LIVE], lagMs: 2_000, nowMs: () => nowMs });
    client = createVmListClient({ address: list.address });
  });
  afterEach(async () => {
    await client.close();
    await list.stop();
  });

  it('shows a change after the lag', async () => {
    list.setVms([LEAVING]);
    nowMs = 1_999;
    assert.deepEqual((await client.list())._unsafeUnwrap(), [LIVE]);
    nowMs = 2_000;
    assert.deepEqual((await client.list())._unsafeUnwrap(), [LEAVING]);
  });

  it('that is unreachable is a named failure', async () => {
    await list.stop();
    const failed = await client.list();
    assert.ok(failed.isErr() && VM_LIST_UNAVAILABLE.is(failed.error));
  });
});
