/** How long missing entries may be kept after lost answers of the store. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type StoreContact,
  createStoreContact,
  latestGraceEndMs,
  recordCallAnswered,
  recordCallLost,
} from '../../../src/index.js';

const CONTACT_MS = 3000;
const ANSWERED_AT_MS = 1000;

describe('the contact with the store', () => {
  let contact: StoreContact;

  beforeEach(() => {
    contact = createStoreContact(0);
    recordCallAnswered(contact, ANSWERED_AT_MS);
  });

  it('does not limit the grace period if no answer was lost', () => {
    assert.equal(latestGraceEndMs(contact, CONTACT_MS), Infinity);
  });

  // A gateway that keeps a missing entry longer uses a target that left when it is in touch again.
  it('ends it before the gateway is in touch, if a connection was silent since the last answer', () => {
    recordCallLost(contact, ANSWERED_AT_MS + 600);
    assert.ok(latestGraceEndMs(contact, CONTACT_MS) < ANSWERED_AT_MS + CONTACT_MS);
  });

  // Without it, all targets whose entries expired in a long outage are removed when it ends.
  it('counts from the last lost call in a long outage', () => {
    recordCallLost(contact, ANSWERED_AT_MS + 600);
    recordCallLost(contact, 9000);
    recordCallLost(contact, 10_000);
    const endsAtMs = latestGraceEndMs(contact, CONTACT_MS);
    assert.ok(endsAtMs > 12_000 && endsAtMs < 13_000, String(endsAtMs));
  });

  it('forgets an interruption with the next answer', () => {
    recordCallLost(contact, ANSWERED_AT_MS + 600);
    recordCallAnswered(contact, 5000);
    assert.equal(latestGraceEndMs(contact, CONTACT_MS), Infinity);
  });

  it('does not count from an answer that arrived after the lost call began', () => {
    recordCallAnswered(contact, 5000);
    recordCallLost(contact, 4000);
    assert.ok(latestGraceEndMs(contact, CONTACT_MS) < 4000 + CONTACT_MS);
  });
});
