import { toBranded } from '@sardinegrade/common';
import { FleetProtocol } from '@sardinegrade/peer';

import { NewsKind } from '../enums.js';
import { MemberState } from './enums.js';

import type { Member, News } from '../types.js';
import type { Gossip } from './types.js';

const STATE_TO_WIRE: Readonly<Record<MemberState, FleetProtocol.MemberState>> = {
  [MemberState.Alive]: FleetProtocol.MemberState.MEMBER_STATE_ALIVE,
  [MemberState.Suspect]: FleetProtocol.MemberState.MEMBER_STATE_SUSPECT,
  [MemberState.Leaving]: FleetProtocol.MemberState.MEMBER_STATE_LEAVING,
  [MemberState.Dead]: FleetProtocol.MemberState.MEMBER_STATE_DEAD,
};

const NEWS_TO_WIRE: Readonly<Record<NewsKind, FleetProtocol.NewsKind>> = {
  [NewsKind.Suspect]: FleetProtocol.NewsKind.NEWS_KIND_SUSPECT,
  [NewsKind.Quarantined]: FleetProtocol.NewsKind.NEWS_KIND_QUARANTINED,
  [NewsKind.UpstreamLeaving]: FleetProtocol.NewsKind.NEWS_KIND_UPSTREAM_LEAVING,
  [NewsKind.UpstreamDead]: FleetProtocol.NewsKind.NEWS_KIND_UPSTREAM_DEAD,
};

const indexByValue = <Key extends string>(record: Readonly<Record<Key, number>>) =>
  new Map(Object.entries<number>(record).map(([key, value]) => [value, key as Key]));

const STATE_FROM_WIRE = indexByValue(STATE_TO_WIRE);
const NEWS_FROM_WIRE = indexByValue(NEWS_TO_WIRE);

/**
 * @param member - member to encode
 * @returns the protobuf message
 */
export const encodeMember = (member: Member): FleetProtocol.Member => ({
  vm: member.vm,
  dataCentre: member.dataCentre,
  address: member.address,
  incarnation: member.incarnation,
  state: STATE_TO_WIRE[member.state],
});

/**
 * @param messages - protobuf messages
 * @returns the members; messages with an unknown state, no VM or no address are skipped
 */
export const decodeMembers = (messages: readonly FleetProtocol.Member[]): readonly Member[] =>
  messages.flatMap((message) => {
    const state = STATE_FROM_WIRE.get(message.state);
    if (state === undefined || message.vm === '' || message.address === '') return [];
    const { address, incarnation } = message;
    const vm = toBranded<Member['vm']>(message.vm);
    const dataCentre = toBranded<Member['dataCentre']>(message.dataCentre);
    return [{ vm, dataCentre, address, incarnation, state }];
  });

/**
 * @param news - news item to encode
 * @returns the protobuf message
 */
export const encodeNews = (news: News): FleetProtocol.News => ({
  kind: NEWS_TO_WIRE[news.kind],
  subject: news.subject,
  expiresAtMs: Math.floor(news.expiresAtMs),
  count: news.count,
});

/**
 * @param messages - protobuf messages
 * @returns the news items; messages of an unknown kind are skipped
 */
export const decodeNews = (messages: readonly FleetProtocol.News[]): readonly News[] =>
  messages.flatMap(({ kind: wireKind, subject, expiresAtMs, count }) => {
    const kind = NEWS_FROM_WIRE.get(wireKind);
    return kind === undefined ? [] : [{ kind, subject, expiresAtMs, count }];
  });

/**
 * @param gossip - gossip to send with a ping or its reply
 * @returns the protobuf message
 */
export const encodeGossip = (gossip: Gossip): FleetProtocol.Gossip => ({
  members: gossip.members.map(encodeMember),
  news: gossip.news.map(encodeNews),
  generation: gossip.generation,
  contacts: gossip.contacts.map(({ dataCentre, ageMs }) => ({
    dataCentre,
    ageMs: Math.floor(ageMs),
  })),
});

/**
 * @param message - protobuf message of a ping or its reply; undefined if it carried no gossip
 * @returns the gossip, empty if there was none
 */
export const decodeGossip = (message: FleetProtocol.Gossip | undefined): Gossip => ({
  members: decodeMembers(message?.members ?? []),
  news: decodeNews(message?.news ?? []),
  generation: message?.generation ?? 0,
  contacts: (message?.contacts ?? []).map(({ dataCentre, ageMs }) => ({
    dataCentre: toBranded(dataCentre),
    ageMs,
  })),
});
