/**
 * What this entry has seen of the members, for one question: do the holders that know nothing of a
 * key prove that no earlier submission of it ran?
 */
import {
  type ContactHistory,
  type Hash32,
  type Member,
  MemberKind,
  MemberState,
  provesAbsence,
} from '@cassiamast/coordination';

/** Members remembered, dead ones included; above the membership's own bound nobody is left out. */
const MAX_CONTACTS = 4_096;

/** What the contacts need. */
export interface ContactsOptions {
  readonly nowMs: () => number;
  readonly hash32: Hash32;
  /** How long an earlier submission of a key can still matter. */
  readonly horizonMs: () => number;
}

/** Contacts of one entry. */
export interface Contacts {
  readonly changed: (member: Member) => void;
  readonly provesAbsence: (keyText: string, absentAt: readonly string[]) => boolean;
}

/** Starts without contacts. */
export function createContacts(options: ContactsOptions): Contacts {
  const contacts = new Map<string, ContactHistory>();

  function isAway(member: Member): boolean {
    return member.state === MemberState.Suspect || member.state === MemberState.Dead;
  }

  return {
    changed: (member) => {
      const nowMs = options.nowMs();
      const known = contacts.get(member.id);
      contacts.delete(member.id);
      contacts.set(member.id, {
        id: member.id,
        failureDomain: member.failureDomain,
        isEntry: member.kind === MemberKind.Entry,
        // A member that was dead and is back may have lost its memory: its time begins anew.
        seenSinceMs: known === undefined || isAway(member) ? nowMs : known.seenSinceMs,
        lastAwayAtMs: isAway(member) ? nowMs : (known?.lastAwayAtMs ?? null),
      });
      const oldest = contacts.keys().next().value;
      if (contacts.size > MAX_CONTACTS && oldest !== undefined) contacts.delete(oldest);
    },
    provesAbsence: (keyText, absentAt) =>
      provesAbsence({
        keyText,
        absentAt,
        contacts: [...contacts.values()],
        horizonMs: options.horizonMs(),
        nowMs: options.nowMs(),
        hash32: options.hash32,
      }),
  };
}
