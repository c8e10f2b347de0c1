//! Heartbeats between agents: rounds, requests and replies.

use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use super::Action;
use super::Node;
use crate::member::MemberState;
use crate::messages::MemberNews;
use crate::messages::MemberReply;
use crate::messages::MemberRequest;
use crate::messages::Pull;
use crate::messages::Pulled;
use crate::shares::ShareOwner;

/// The time for which the rosters of peers must differ from the own one before a whole roster is
/// fetched.
const MISMATCH_TIMEOUT: Span = Span::from_secs(3);

/// The minimum time between two fetches of a whole roster.
const SYNC_INTERVAL: Span = Span::from_secs(10);

/// The maximum number of random draws for each heartbeat. A draw that selects a suspected peer is
/// usually repeated.
const DRAWS_PER_HEARTBEAT: usize = 8;

/// One in this many draws accepts any peer, including suspected ones.
const ANY_PEER_INTERVAL: u64 = 8;

impl Node {
    /// Sends a round of heartbeats and runs the periodic work on the store, the configuration and
    /// shares. `entropy` is a fresh random number.
    pub fn round(&mut self, now: Time, entropy: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for peer in self.choose_peers(now, entropy, self.options.fanout) {
            let request = MemberRequest::Pull(self.pull());
            actions.push(Action::Send { to: peer, request });
        }
        actions.extend(self.poll_store(now, entropy));
        actions.extend(self.poll_head(now));
        actions.extend(self.poll_shares(now));
        actions
    }

    /// Answers a request from a peer. `entropy` is a fresh random number.
    pub fn on_request(
        &mut self,
        now: Time,
        request: MemberRequest,
        entropy: u64,
    ) -> (MemberReply, Vec<Action>) {
        match request {
            MemberRequest::Pull(pull) => {
                let actions = self.learn_state(now, pull, entropy);
                (MemberReply::Pulled(self.pulled(now)), actions)
            }
            MemberRequest::Roster => (MemberReply::Roster(self.roster.copy()), Vec::new()),
            MemberRequest::Shares => (MemberReply::Shares(self.claims.map().clone()), Vec::new()),
            MemberRequest::Sections { held } => {
                (MemberReply::Sections(self.config.copy(&held)), Vec::new())
            }
            MemberRequest::AskShares { asker, count } => {
                (MemberReply::Granted(self.grant(now, asker, count)), Vec::new())
            }
        }
    }

    /// Handles the reply to a request that was sent at `asked`.
    pub fn on_reply(
        &mut self,
        now: Time,
        asked: Time,
        reply: MemberReply,
        entropy: u64,
    ) -> Vec<Action> {
        match reply {
            MemberReply::Pulled(pulled) => self.learn_pulled(now, asked, pulled, entropy),
            MemberReply::Roster(copy) => {
                self.roster.merge_copy(copy);
                self.roster_changed(now)
            }
            MemberReply::Shares(map) => {
                self.learn_shares(now, map);
                Vec::new()
            }
            MemberReply::Sections(copy) => self.learn_sections(copy),
            MemberReply::Granted(count) => {
                // The owner commits later; a heartbeat with the new version triggers the fetch.
                if count == 0 {
                    self.next_ask = now + self.options.settle;
                }
                Vec::new()
            }
        }
    }

    /// Sends an immediate heartbeat to `push_fanout` peers.
    pub fn push(&mut self, now: Time, entropy: u64) -> Vec<Action> {
        let peers = self.choose_peers(now, entropy, self.options.push_fanout);
        let send = |to| Action::Send { to, request: MemberRequest::Pull(self.pull()) };
        peers.into_iter().map(send).collect()
    }

    /// Updates the state that depends on the roster after any change of it, and checks whether
    /// this VM must rejoin or leave.
    pub(super) fn roster_changed(&mut self, now: Time) -> Vec<Action> {
        let gone: Vec<VmId> =
            self.liveness.known().filter(|vm| self.roster.member(*vm).is_none()).collect();
        self.departed.extend(gone.into_iter().map(|vm| (vm, now)));
        for vm in self.roster.ids() {
            self.liveness.add(vm, now);
            self.departed.remove(&vm);
        }
        self.liveness.retain(|vm| self.roster.member(vm).is_some());
        if self.leaving {
            // A leaving VM does not rejoin.
            return Vec::new();
        }
        let own = ShareOwner { vm: self.own.vm, incarnation: self.own.incarnation };
        if self.roster.is_removed(own) {
            return vec![Action::Rejoin];
        }
        let Some(known) = self.roster.member(own.vm) else { return Vec::new() };
        if own.incarnation < known.incarnation {
            // An earlier registration by this VM that had timed out took effect late, or another
            // process uses its name. Either way peers no longer accept this incarnation.
            return vec![Action::Rejoin];
        }
        if known.state == MemberState::Leaving {
            return vec![Action::Leave];
        }
        Vec::new()
    }

    /// Creates the message that states this VM's versions, and takes the roster changes to send
    /// with it.
    fn pull(&mut self) -> Pull {
        Pull {
            from: self.own.vm,
            incarnation: self.own.incarnation,
            revision: self.config.revision(),
            shares: self.claims.map().version,
            roster: self.roster.digest(),
            news: self.roster.take_news(),
        }
    }

    fn pulled(&mut self, now: Time) -> Pulled {
        self.liveness.record(self.own.vm, now);
        Pulled {
            reading: self.currency.reading(now),
            ages: self.liveness.pack(now, self.roster.ids()),
            acks: self.acks.pack(self.roster.ids()),
            state: self.pull(),
        }
    }

    fn learn_pulled(
        &mut self,
        now: Time,
        asked: Time,
        pulled: Pulled,
        entropy: u64,
    ) -> Vec<Action> {
        let Pulled { state, reading, ages, acks } = pulled;
        let held = self.held();
        if let Some(reading) = reading {
            self.currency.record(asked, reading, held);
        }
        // Hearing other VMs extends the use of this VM's state. A sign of life of a VM with newer
        // state, and the ages that it reports, therefore count only once this VM has caught up.
        let is_ahead = held.revision < state.revision || held.shares < state.shares;
        let is_same = state.roster == self.roster.digest();
        if !is_ahead {
            self.liveness.record(state.from, asked);
        }
        if !is_ahead && is_same {
            self.liveness.unpack(asked, &ages, self.roster.ids());
        }
        if is_same && self.acks.len() < self.roster.len() {
            self.acks.unpack(state.shares, &acks, self.roster.ids());
        }
        self.note_ack(now, state.from, state.shares);
        let from = state.from;
        let mut actions = self.learn_state(now, state, entropy);
        actions.extend(self.compare_rosters(now, from, is_same));
        actions
    }

    /// Merges the roster changes of a peer and requests what the peer has in a newer version.
    fn learn_state(&mut self, now: Time, state: Pull, entropy: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        let changes = state.news.into_iter().filter(|news| self.roster.merge(news.clone())).count();
        if 0 < changes {
            actions.extend(self.roster_changed(now));
        }
        if self.claims.map().version < state.shares {
            actions.push(Action::Send { to: state.from, request: MemberRequest::Shares });
        }
        actions.extend(self.request_sections(now, state.from, state.revision, entropy));
        actions
    }

    /// Requests a whole roster if the difference persists. Rosters differ briefly after each
    /// change, which needs no copy.
    fn compare_rosters(&mut self, now: Time, from: VmId, is_same: bool) -> Option<Action> {
        if is_same {
            self.mismatch_since = None;
            return None;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        if now < since + MISMATCH_TIMEOUT || now < self.next_sync {
            return None;
        }
        self.next_sync = now + SYNC_INTERVAL;
        Some(Action::Send { to: from, request: MemberRequest::Roster })
    }

    /// Draws up to `count` different peers at random, mostly ones that are not suspected.
    fn choose_peers(&self, now: Time, entropy: u64, count: usize) -> SmallVec<[VmId; 4]> {
        let others: Vec<VmId> = self.roster.ids().filter(|vm| *vm != self.own.vm).collect();
        let mut chosen = SmallVec::new();
        for turn in 0..(count * DRAWS_PER_HEARTBEAT) as u64 {
            let draw = hash::combine(entropy, turn);
            if others.is_empty() || chosen.len() == count {
                break;
            }
            let peer = others[(hash::mix(draw) % others.len() as u64) as usize];
            let is_accepted = draw.is_multiple_of(ANY_PEER_INTERVAL) || !self.is_suspect(now, peer);
            if is_accepted && !chosen.contains(&peer) {
                chosen.push(peer);
            }
        }
        chosen
    }

    /// Announces that this VM has left; its registration must have been deleted before.
    pub fn announce_removal(&mut self, now: Time, entropy: u64) -> Vec<Action> {
        let ShareOwner { vm, incarnation } = self.claims.own();
        self.roster.merge(MemberNews::Removed(ShareOwner { vm, incarnation }));
        self.push(now, entropy)
    }

    /// Announces that this VM is leaving and starts to hand over all its shares.
    pub fn leave(&mut self, now: Time, entropy: u64) -> Vec<Action> {
        self.leaving = true;
        self.own.state = MemberState::Leaving;
        self.roster.merge(MemberNews::Present(self.own.clone()));
        self.release_all(now);
        self.push(now, entropy)
    }
}
