/**
 * Tracks since when this entry has been in contact with each member. The history decides whether
 * holders that have no record of a key prove that no earlier submission of that key ran.
 */
import {
  type ContactHistory,
  type Hash32,
  type Member,
  MemberKind,
  MemberState,
  provesAbsence,
} from '@cassiamast/coordination';

/** Members tracked, including dead ones. Exceeds the membership's own limit, so none is missing. */
const MAX_CONTACTS = 4_096;

/** Options of the contact history. */
export interface ContactsOptions {
  readonly nowMs: () => number;
  readonly hash32: Hash32;
  /** How long an earlier submission of a key stays relevant. */
  readonly horizonMs: () => number;
}

/** The contact history of one entry. */
export interface Contacts {
  readonly changed: (member: Member) => void;
  readonly provesAbsence: (keyText: string, absentAt: readonly string[]) => boolean;
}

/** Creates an empty contact history. */
export function createContacts(options: ContactsOptions): Contacts {
  const contacts = new Map<string, ContactHistory>();

  function isOutOfContact(member: Member): boolean {
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
        // A member that is back after a failure may have lost its records, so its contact time
        // starts again.
        seenSinceMs: known === undefined || isOutOfContact(member) ? nowMs : known.seenSinceMs,
        lastOutOfContactAtMs: isOutOfContact(member)
          ? nowMs
          : (known?.lastOutOfContactAtMs ?? null),
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
