import {
  sortByRendezvous,
  type ChatId,
  type Hash,
  type Member,
  type ServiceId,
} from '@vanillarelay/core';
import type { FleetView } from '@vanillarelay/link';

interface ChatOrderOptions {
  service: ServiceId;
  hash: Hash;
  readView: () => FleetView;
}

/** Creates the chat order: it lists the service's ready endpoints in a chat's rendezvous order. */
export function createChatOrder({ service, hash, readView }: ChatOrderOptions) {
  let view: FleetView | undefined;
  let ready = new Map<string, Member>();
  let signature = '';
  let generation = 0;

  const readReady = (): Map<string, Member> => {
    const current = readView();
    if (current === view) return ready;
    view = current;
    ready = new Map();
    current.members.forEach((member) => {
      if (isReady(member, current)) ready.set(member.id, member);
    });
    const next = [...ready.values()].map(({ id, incarnation }) => `${id}@${incarnation}`).join();
    if (next !== signature) generation += 1;
    signature = next;
    return ready;
  };

  const isReady = (member: Member, { state }: FleetView): boolean =>
    member.service === service &&
    member.status !== 'leaving' &&
    !member.damped &&
    !state?.dataCentresOut.includes(member.dataCentre) &&
    !state?.draining.includes(member.id);

  const list = (chatKey: ChatId): Member[] => {
    const members = readReady();
    return sortByRendezvous(hash, chatKey, [...members.keys()]).map((id) => members.get(id)!);
  };

  return {
    list,
    findReady: (id: string): Member | undefined => readReady().get(id),
    /** Returns a number that is incremented when the set of ready endpoints changes. */
    readGeneration: (): number => {
      readReady();
      return generation;
    },
  };
}
