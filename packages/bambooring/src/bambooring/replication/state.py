"""Implement one Raft replica without I/O.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote and
check-quorum (Ongaro's thesis, 2014, sections 9.6 and 6.2), single-server
membership changes (chapter 4) and leadership transfer (section 3.10).

The caller passes messages to :meth:`Replica.step` and the time to
:meth:`Replica.tick`, then takes a :class:`progress.Ready` from
:meth:`Replica.take_ready`. In this order, it saves what is to be saved,
reports that with :meth:`Replica.confirm_saved`, sends the messages and
applies the committed entries.
"""

import random
import typing

from bambooring.replication import const
from bambooring.replication import log as log_module
from bambooring.replication import messages
from bambooring.replication import progress as progress_module


class Replica:
    """Raft state of one replica: its role, term, vote, log and followers.

    With open membership, replicas of any name may become voters. While the
    group has more voters than it needs to bear ``tolerated_losses``, the
    leader removes those that leave or can't be reached.

    ``members`` maps the ids of the voters to their names, by the latest
    list in the log, committed or not. ``leader_id`` is 0 if unknown.

    :param voter_names: names of the replicas that may become voters if
        membership is not open
    :param tolerated_losses: how many voters may be lost at once
    """

    def __init__(
        self,
        *,
        id: int,
        name: str,
        voter_names: list[str],
        has_open_membership: bool = False,
        tolerated_losses: int = 1,
        hard_state: messages.HardState,
        snapshot: messages.SnapshotFile | None,
        entries: list[messages.Entry],
        rng: random.Random,
        now: float,
    ) -> None:
        self.id = id
        self.name = name
        self.voter_names = voter_names
        self._has_open_membership = has_open_membership
        # A majority is left when so many of these are lost.
        self._min_voters = 2 * tolerated_losses + 1
        self.role = progress_module.Role.FOLLOWER
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.leader_id = 0
        self.snapshot = snapshot
        self.log = log_module.Log(snapshot.head if snapshot else None, entries)
        self.commit_index = self.log.snapshot_head.index
        self.applied_index = self.log.snapshot_head.index
        self._persisted_index = self.log.last_index
        self._rng = rng
        self._now = now
        self._leader_heard_at = float('-inf')
        self._election_deadline = 0.0
        self._next_heartbeat_at = 0.0
        self._votes: set[int] = set()
        self._vote_request: messages.VoteRequest | None = None
        self._next_vote_request_at = 0.0
        self._progress: dict[int, progress_module.Progress] = {}
        self._learners: dict[int, str] = {}
        self._leaving_ids: set[int] = set()
        self._envelopes: list[progress_module.Envelope] = []
        self._truncate_from = 0
        self._next_batch_start = self.log.last_index + 1
        self._is_hard_state_dirty = False
        self._incoming_snapshot = bytearray()
        self._incoming_snapshot_index = 0
        self._installed_snapshot: messages.SnapshotFile | None = None
        self._term_start_index = 0
        # The follower that is to lead next, and how long nothing is appended
        # so that it gets the whole log.
        self._successor_id = 0
        self._transfer_until = float('-inf')
        self.members: dict[int, str] = {}
        self._members_index = 0
        self._load_members()
        self._reset_election_deadline()

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return self.role is progress_module.Role.LEADER

    @property
    def is_fresh(self) -> bool:
        """Return whether the log has never held an entry."""
        return self.log.last_index == 0

    @property
    def last_batched_index(self) -> int:
        """Return the last index that was handed out to be saved."""
        return self._next_batch_start - 1

    @property
    def leader_name(self) -> str:
        """Return the leader's name, empty if unknown."""
        return self.members.get(self.leader_id, '')

    def get_committed_members(self) -> dict[int, str]:
        """Return the voters of the last committed member list, by id."""
        if self.commit_index >= self._members_index:
            return dict(self.members)
        member_list = self._get_members_at(self.commit_index)
        return {member.id: member.name for member in member_list}

    def bootstrap(self, members: list[messages.Member]) -> None:
        """Start a new log whose first entry lists the voters.

        :param members: the first voters
        """
        assert self.is_fresh
        entry = messages.Entry(
            index=1,
            term=1,
            kind=messages.EntryKind.MEMBERS,
            data=log_module.encode_members(members),
        )
        self._set_term(max(self.term, 1), self.voted_for)
        self.log.append([entry])
        self._load_members()

    def add_learner(self, id: int, name: str) -> None:
        """Add a connected replica that may become a voter.

        It replaces a learner of the same name with another id.

        :param id: the replica's id
        :param name: the replica's name in the settings
        """
        self._leaving_ids.discard(id)
        for old_id, old_name in list(self._learners.items()):
            if old_name == name and old_id != id:
                del self._learners[old_id]
                if old_id not in self.members:
                    self._progress.pop(old_id, None)
        if self._has_open_membership or name in self.voter_names:
            self._learners[id] = name
            if self.is_leader:
                self._track_follower(id, name)

    def mark_leaving(self, id: int) -> None:
        """Record that a replica is about to end.

        It is a learner again once it is added anew.

        :param id: the replica's id
        """
        self._leaving_ids.add(id)
        self._learners.pop(id, None)

    @property
    def is_surplus_voter(self) -> bool:
        """Whether this is a voter that the group can do without."""
        members = self.get_committed_members()
        return (
            self._has_open_membership
            and self.id in members
            and len(members) > self._min_voters
        )

    def propose(self, data: bytes) -> tuple[int, int] | None:
        """Append a command to the log.

        :param data: the command
        :returns: the index and term of its entry, or None if this replica
            is not the leader or is about to hand over
        """
        if not self.is_leader or self._is_transferring:
            return None
        return self._append(messages.EntryKind.COMMAND, data)

    def _append(
        self, kind: messages.EntryKind, data: bytes
    ) -> tuple[int, int]:
        entry = messages.Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
        )
        self.log.append([entry])
        if kind is messages.EntryKind.MEMBERS:
            self._load_members()
        return entry.index, entry.term

    def _load_members(self) -> None:
        self._members_index, members = self.log.find_latest_members()
        self.members = {member.id: member.name for member in members}
        if self.is_leader:
            for id, name in self.members.items():
                self._track_follower(id, name)

    def _track_follower(self, id: int, name: str) -> None:
        if id == self.id or id in self._progress:
            return
        self._progress[id] = progress_module.Progress(
            name=name,
            next_index=self.log.last_index + 1,
            last_ack_at=self._now,
        )

    def _is_majority(self, ids: set[int]) -> bool:
        return len(ids & set(self.members)) * 2 > len(self.members)

    def _reset_election_deadline(self) -> None:
        timeout_s = const.ELECTION_TIMEOUT_S
        self._election_deadline = self._now + self._rng.uniform(
            timeout_s, 2 * timeout_s
        )

    def _set_term(self, term: int, voted_for: int) -> None:
        self.term = term
        self.voted_for = voted_for
        self._is_hard_state_dirty = True

    def _send(self, receiver_id: int, message: typing.Any) -> None:
        self._envelopes.append(
            progress_module.Envelope(receiver_id=receiver_id, message=message)
        )

    def tick(self, now: float) -> None:
        """Start elections, send heartbeats and change members when due.

        :param now: the current time in seconds
        """
        self._now = now
        if self.is_leader:
            self._tick_leader()
        elif now >= self._election_deadline:
            self._reset_election_deadline()
            if self.id in self.members:
                self._campaign(is_pre=True, is_forced=False)
        elif (
            self.role is progress_module.Role.CANDIDATE
            and now >= self._next_vote_request_at
        ):
            self._request_votes()

    def _tick_leader(self) -> None:
        """Step down if no majority replies (check-quorum), else lead on."""
        oldest_recent_ack = self._now - const.ELECTION_TIMEOUT_S
        recent_ids = {
            id
            for id, progress in self._progress.items()
            if progress.last_ack_at >= oldest_recent_ack
        }
        if not self._is_majority(recent_ids | {self.id}):
            self._become_follower(self.term, 0)
            return
        if self._now >= self._next_heartbeat_at:
            self._next_heartbeat_at = self._now + const.HEARTBEAT_INTERVAL_S
            for id in self._progress:
                self._replicate(id, is_heartbeat=True)
        self._change_members()

    def _campaign(self, *, is_pre: bool, is_forced: bool) -> None:
        self.leader_id = 0
        term = self.term + 1
        self.role = progress_module.Role.PRE_CANDIDATE
        if not is_pre:
            self.role = progress_module.Role.CANDIDATE
            self._set_term(term, self.id)
        self._votes = {self.id}
        if self._is_majority(self._votes):
            self._handle_vote_majority(is_pre, is_forced)
            return
        self._vote_request = messages.VoteRequest(
            term=term,
            candidate=self.id,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            is_pre=is_pre,
            is_forced=is_forced,
        )
        self._request_votes()

    def _request_votes(self) -> None:
        """Ask the members that have not granted their vote.

        A candidate asks them again and again, since a replica may come back
        or a message be lost meanwhile.
        """
        assert self._vote_request is not None
        self._next_vote_request_at = self._now + const.HEARTBEAT_INTERVAL_S
        for id in self.members:
            if id not in self._votes:
                self._send(id, self._vote_request)

    def _handle_vote_majority(self, is_pre: bool, is_forced: bool) -> None:
        """Start the election after a pre-vote, or become the leader."""
        if is_pre:
            self._campaign(is_pre=False, is_forced=is_forced)
            return
        self.role = progress_module.Role.LEADER
        self.leader_id = self.id
        self._progress = {}
        for id, name in (self._learners | self.members).items():
            self._track_follower(id, name)
        for id, progress in self._progress.items():
            if id not in self._votes:
                # It has one election timeout left to reply.
                progress.last_ack_at -= const.ELECTION_TIMEOUT_S
        self._transfer_until = float('-inf')
        self._term_start_index, _ = self._append(messages.EntryKind.NOOP, b'')
        self._next_heartbeat_at = 0.0

    def _become_follower(self, term: int, leader_id: int) -> None:
        if term > self.term:
            self._set_term(term, 0)
        if self.role is not progress_module.Role.FOLLOWER:
            self._reset_election_deadline()
        self.role = progress_module.Role.FOLLOWER
        self.leader_id = leader_id
        self._progress = {}

    def step(self, message: typing.Any, now: float) -> None:
        """Handle one message from another replica.

        :param message: the message
        :param now: the current time in seconds
        """
        self._now = now
        match message:
            case messages.VoteRequest():
                self._handle_vote_request(message)
            case messages.VoteReply():
                self._handle_vote_reply(message)
            case messages.AppendRequest():
                if self._accept_leader(message.term, message.leader):
                    self._handle_append_request(message)
                else:
                    self._refuse_append(message.leader, 0)
            case messages.AppendReply():
                self._handle_append_reply(message)
            case messages.SnapshotChunk():
                if self._accept_leader(message.term, message.leader):
                    self._handle_snapshot_chunk(message)
                else:
                    self._refuse_append(message.leader, 0)
            case messages.SnapshotReply():
                self._handle_snapshot_reply(message)
            case messages.TimeoutNow():
                if message.term == self.term and not self.is_leader:
                    self._campaign(is_pre=False, is_forced=True)

    def _handle_vote_request(self, request: messages.VoteRequest) -> None:
        has_leader = (
            self.is_leader
            or self._now < self._leader_heard_at + const.ELECTION_TIMEOUT_S
        )
        # While a leader is heard, only an election that it asked for gets
        # votes.
        if has_leader and not request.is_forced:
            self._reply_vote(request, self.term, is_granted=False)
            return
        if not request.is_pre and request.term > self.term:
            self._become_follower(request.term, 0)
        is_current = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.is_pre:
            is_granted = is_current and request.term > self.term
            term = request.term if is_granted else self.term
            self._reply_vote(request, term, is_granted=is_granted)
            return
        is_granted = (
            is_current
            and request.term == self.term
            and self.voted_for in (0, request.candidate)
        )
        if is_granted:
            self._set_term(self.term, request.candidate)
            self._reset_election_deadline()
        self._reply_vote(request, self.term, is_granted=is_granted)

    def _reply_vote(
        self, request: messages.VoteRequest, term: int, *, is_granted: bool
    ) -> None:
        reply = messages.VoteReply(
            term=term,
            voter=self.id,
            is_granted=is_granted,
            is_pre=request.is_pre,
        )
        self._send(request.candidate, reply)

    def _handle_vote_reply(self, reply: messages.VoteReply) -> None:
        if not reply.is_granted:
            if reply.term > self.term:
                self._become_follower(reply.term, 0)
            return
        if reply.is_pre:
            expected = (progress_module.Role.PRE_CANDIDATE, self.term + 1)
        else:
            expected = (progress_module.Role.CANDIDATE, self.term)
        if (self.role, reply.term) != expected:
            return
        self._votes.add(reply.voter)
        if self._is_majority(self._votes):
            self._handle_vote_majority(reply.is_pre, False)

    def _accept_leader(self, term: int, leader_id: int) -> bool:
        """Follow the leader that sent a message.

        :returns: False if its term has passed
        """
        if term < self.term:
            return False
        if term > self.term or self.role is not progress_module.Role.FOLLOWER:
            self._become_follower(term, leader_id)
        self.leader_id = leader_id
        self._leader_heard_at = self._now
        self._reset_election_deadline()
        return True

    def _refuse_append(self, leader_id: int, index: int) -> None:
        reply = messages.AppendReply(
            term=self.term, follower=self.id, is_success=False, index=index
        )
        self._send(leader_id, reply)

    def _handle_append_request(self, request: messages.AppendRequest) -> None:
        """Store the leader's entries, or refuse if the one before differs."""
        entries = request.entries
        previous_index = request.previous_index
        if previous_index < self.log.snapshot_head.index:
            # The snapshot covers the first entries; they need no check.
            covered_count = self.log.snapshot_head.index - previous_index
            entries = entries[covered_count:]
            previous_index += covered_count
            if len(request.entries) < covered_count:
                self._accept_append(request, self.log.snapshot_head.index)
                return
        elif self.log.get_term(previous_index) != request.previous_term:
            hint_index = min(previous_index - 1, self.log.last_index)
            if previous_index <= self.log.last_index:
                # The terms differ; only committed entries surely match.
                hint_index = self.commit_index
            self._refuse_append(request.leader, hint_index)
            return
        self._merge_entries(entries)
        self._accept_append(request, previous_index + len(entries))

    def _merge_entries(self, entries: list[messages.Entry]) -> None:
        """Append the entries that are missing, replacing conflicting ones."""
        for position, entry in enumerate(entries):
            term = self.log.get_term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                assert entry.index > self.commit_index, (
                    'committed entry would be overwritten'
                )
                self._truncate(entry.index)
            self.log.append(entries[position:])
            self._load_members()
            return

    def _truncate(self, index: int) -> None:
        self.log.truncate(index)
        if index < self._next_batch_start:
            self._truncate_from = index
            self._next_batch_start = index
        self._persisted_index = min(self._persisted_index, index - 1)
        self._load_members()

    def _accept_append(
        self, request: messages.AppendRequest, match_index: int
    ) -> None:
        self.commit_index = max(
            self.commit_index, min(request.commit, match_index)
        )
        reply = messages.AppendReply(
            term=self.term,
            follower=self.id,
            is_success=True,
            index=match_index,
        )
        self._send(request.leader, reply)

    def _handle_append_reply(self, reply: messages.AppendReply) -> None:
        progress = self._record_ack(reply.term, reply.follower)
        if progress is None:
            return
        if not reply.is_success:
            progress.next_index = min(
                progress.next_index, max(progress.match_index, reply.index) + 1
            )
            self._replicate(reply.follower)
            return
        if reply.index > progress.match_index:
            progress.match_index = reply.index
            self._advance_commit()
            if self._is_transferring and reply.follower == self._successor_id:
                self._request_takeover()
        progress.next_index = max(progress.next_index, reply.index + 1)
        if progress.next_index <= self.log.last_index:
            self._replicate(reply.follower)

    def _record_ack(
        self, term: int, follower_id: int
    ) -> progress_module.Progress | None:
        """Record the time of a follower's reply.

        :returns: the follower's progress, or None if the reply is of
            another term or the follower is not tracked
        """
        if term > self.term:
            self._become_follower(term, 0)
            return None
        if not self.is_leader or term < self.term:
            return None
        progress = self._progress.get(follower_id)
        if progress is not None:
            progress.last_ack_at = self._now
        return progress

    def _replicate(self, follower_id: int, is_heartbeat: bool = False) -> None:
        progress = self._progress[follower_id]
        previous_index = progress.next_index - 1
        previous_term = self.log.get_term(previous_index)
        if previous_term is None:
            self._send_snapshot(follower_id, progress, is_heartbeat)
            return
        entries = self.log.get_entries_from(
            progress.next_index, const.APPEND_LIMIT_BYTES
        )
        if not entries and not is_heartbeat:
            return
        progress.next_index += len(entries)
        request = messages.AppendRequest(
            term=self.term,
            leader=self.id,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=entries,
            commit=self.commit_index,
        )
        self._send(follower_id, request)

    def _send_snapshot(
        self,
        follower_id: int,
        progress: progress_module.Progress,
        is_heartbeat: bool,
    ) -> None:
        """Start to send a snapshot, or resend a chunk that was lost.

        The next chunk is sent when the follower asks for it.
        """
        snapshot = self.snapshot
        assert snapshot is not None
        is_new = progress.snapshot_index != snapshot.head.index
        if is_new or progress.snapshot_offset is None:
            progress.snapshot_index = snapshot.head.index
            progress.snapshot_offset = 0
            self._send_chunk(follower_id, progress, snapshot)
        elif is_heartbeat:
            waited_s = self._now - progress.snapshot_sent_at
            if waited_s < const.ELECTION_TIMEOUT_S:
                self._send_bare_heartbeat(follower_id)
            else:
                self._send_chunk(follower_id, progress, snapshot)

    def _send_bare_heartbeat(self, follower_id: int) -> None:
        """Send a heartbeat to a follower that is receiving a snapshot."""
        request = messages.AppendRequest(
            term=self.term,
            leader=self.id,
            previous_index=0,
            previous_term=0,
            entries=[],
            commit=0,
        )
        self._send(follower_id, request)

    def _send_chunk(
        self,
        follower_id: int,
        progress: progress_module.Progress,
        snapshot: messages.SnapshotFile,
    ) -> None:
        offset = progress.snapshot_offset or 0
        end = offset + const.SNAPSHOT_CHUNK_BYTES
        progress.snapshot_sent_at = self._now
        chunk = messages.SnapshotChunk(
            term=self.term,
            leader=self.id,
            head=snapshot.head,
            offset=offset,
            data=snapshot.data[offset:end],
            is_last=end >= len(snapshot.data),
        )
        self._send(follower_id, chunk)

    def _handle_snapshot_chunk(self, chunk: messages.SnapshotChunk) -> None:
        head = chunk.head
        if head.index <= self.commit_index:
            self._reply_snapshot(chunk, offset=0, is_done=True)
            return
        if chunk.offset == 0 or head.index != self._incoming_snapshot_index:
            self._incoming_snapshot = bytearray()
            self._incoming_snapshot_index = head.index
        if chunk.offset != len(self._incoming_snapshot):
            self._reply_snapshot(
                chunk, offset=len(self._incoming_snapshot), is_done=False
            )
            return
        self._incoming_snapshot += chunk.data
        if chunk.is_last:
            self._install_snapshot(head)
        self._reply_snapshot(
            chunk, offset=len(self._incoming_snapshot), is_done=chunk.is_last
        )

    def _install_snapshot(self, head: messages.SnapshotHead) -> None:
        snapshot = messages.SnapshotFile(
            head=head, data=bytes(self._incoming_snapshot)
        )
        self.snapshot = snapshot
        self._installed_snapshot = snapshot
        self.log.compact(head)
        self.commit_index = head.index
        self.applied_index = head.index
        self._persisted_index = self.log.last_index
        self._next_batch_start = self.log.last_index + 1
        self._truncate_from = 0
        self._load_members()

    def _reply_snapshot(
        self, chunk: messages.SnapshotChunk, *, offset: int, is_done: bool
    ) -> None:
        reply = messages.SnapshotReply(
            term=self.term,
            follower=self.id,
            index=chunk.head.index,
            offset=offset,
            is_done=is_done,
        )
        self._send(chunk.leader, reply)

    def _handle_snapshot_reply(self, reply: messages.SnapshotReply) -> None:
        progress = self._record_ack(reply.term, reply.follower)
        if progress is None or reply.index != progress.snapshot_index:
            return
        if reply.is_done:
            progress.snapshot_offset = None
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, reply.index + 1)
            self._advance_commit()
            self._replicate(reply.follower)
            return
        snapshot = self.snapshot
        if snapshot is None or snapshot.head.index != reply.index:
            self._replicate(reply.follower)
            return
        progress.snapshot_offset = reply.offset
        self._send_chunk(reply.follower, progress, snapshot)

    def _advance_commit(self) -> None:
        """Commit what a majority has saved if it is of the current term."""
        match_indices = sorted(
            self._persisted_index
            if id == self.id
            else self._get_match_index(id)
            for id in self.members
        )
        if not match_indices:
            return
        majority_index = match_indices[(len(match_indices) - 1) // 2]
        if (
            majority_index <= self.commit_index
            or self.log.get_term(majority_index) != self.term
        ):
            return
        self.commit_index = majority_index
        for id in self._progress:
            self._replicate(id, is_heartbeat=True)

    def _get_match_index(self, id: int) -> int:
        progress = self._progress.get(id)
        return progress.match_index if progress else 0

    def _change_members(self) -> None:
        """Propose the next membership change, if one is due.

        A voter that the group can do without and that leaves or can't be
        reached is removed first, since each one lost makes the majority of
        the rest harder to reach. A learner that has caught up becomes a
        voter. It replaces an unreachable voter of the same name, which is
        removed first. Nothing is proposed until the previous change and the
        first entry of this term are committed.
        """
        if self._is_transferring or self.commit_index < max(
            self._term_start_index, self._members_index
        ):
            return
        surplus_id = self._find_surplus_voter()
        if surplus_id is not None:
            self._remove_member(surplus_id)
            return
        for id, name in self._learners.items():
            if id in self.members or not self._is_caught_up(id):
                continue
            same_name_ids = [
                member_id
                for member_id, member_name in self.members.items()
                if member_name == name
            ]
            if not same_name_ids:
                self._propose_members(self.members | {id: name})
                return
            if self._is_unreachable(same_name_ids[0]):
                self._remove_member(same_name_ids[0])
                return

    def _remove_member(self, id: int) -> None:
        remaining = dict(self.members)
        del remaining[id]
        self._propose_members(remaining)

    def _find_surplus_voter(self) -> int | None:
        """Return a voter that can be spared and leaves or is unreachable.

        A voter that was only cut off becomes a learner when it is back, and
        then a voter again.

        :returns: the voter's id, or None if there is none
        """
        if not self._has_open_membership:
            return None
        if len(self.members) <= self._min_voters:
            return None
        for id in self.members:
            if id in self._leaving_ids and id != self.id:
                return id
        for id in self.members:
            if self._is_unreachable(id):
                return id
        return None

    def _is_caught_up(self, id: int) -> bool:
        if id == self.id:
            return True
        progress = self._progress.get(id)
        if progress is None or not progress.match_index:
            return False
        if progress.last_ack_at < self._now - const.ELECTION_TIMEOUT_S:
            return False
        return (
            progress.match_index + const.CATCH_UP_MAX_LAG_ENTRIES
            >= self.commit_index
        )

    def _is_unreachable(self, id: int) -> bool:
        progress = self._progress.get(id)
        if id == self.id or progress is None:
            return False
        return progress.last_ack_at < self._now - 2 * const.ELECTION_TIMEOUT_S

    def _propose_members(self, members: dict[int, str]) -> None:
        member_list = [
            messages.Member(id=id, name=name)
            for id, name in sorted(members.items())
        ]
        data = log_module.encode_members(member_list)
        self._append(messages.EntryKind.MEMBERS, data)

    def transfer_leadership(self, *, is_urgent: bool = False) -> bool:
        """Ask the most up-to-date follower to take over leadership.

        It is asked once it has the whole log, since it may need this
        replica's vote; meanwhile, for one election timeout at most, nothing
        is appended.

        :param is_urgent: whether to ask it at once, as this replica stops
        :returns: True if there is a voter to ask
        """
        candidates = [
            (progress.match_index, id)
            for id, progress in self._progress.items()
            if id in self.members
            and id not in self._leaving_ids
            and progress.last_ack_at > self._now - const.ELECTION_TIMEOUT_S
        ]
        if not self.is_leader or not candidates:
            return False
        _, self._successor_id = max(candidates)
        self._transfer_until = self._now + const.ELECTION_TIMEOUT_S
        self._request_takeover(is_urgent=is_urgent)
        return True

    @property
    def _is_transferring(self) -> bool:
        return self.is_leader and self._now < self._transfer_until

    def _request_takeover(self, *, is_urgent: bool = False) -> None:
        match_index = self._get_match_index(self._successor_id)
        if is_urgent or match_index == self.log.last_index:
            self._send(
                self._successor_id,
                messages.TimeoutNow(term=self.term, leader=self.id),
            )

    def take_ready(self) -> progress_module.Ready | None:
        """Hand out what is to be saved, sent and applied now.

        :returns: the output, or None if there is nothing to do
        """
        if self.is_leader:
            for id, progress in self._progress.items():
                if progress.next_index <= self.log.last_index:
                    self._replicate(id)
        ready = progress_module.Ready(
            hard_state=self._take_hard_state(),
            batch=self._take_batch(),
            snapshot=self._installed_snapshot,
            envelopes=self._envelopes,
            committed=self._take_committed(),
        )
        self._installed_snapshot = None
        self._envelopes = []
        parts = (
            ready.hard_state,
            ready.batch,
            ready.snapshot,
            ready.envelopes,
            ready.committed,
        )
        return ready if any(parts) else None

    def _take_hard_state(self) -> messages.HardState | None:
        if not self._is_hard_state_dirty:
            return None
        self._is_hard_state_dirty = False
        return messages.HardState(term=self.term, voted_for=self.voted_for)

    def _take_batch(self) -> messages.Batch | None:
        entries = self.log.get_entries_from(
            max(self._next_batch_start, self.log.first_index)
        )
        if not entries and not self._truncate_from:
            return None
        batch = messages.Batch(
            truncate_from=self._truncate_from, entries=list(entries)
        )
        self._truncate_from = 0
        self._next_batch_start = self.log.last_index + 1
        return batch

    def _take_committed(self) -> list[messages.Entry]:
        if self.applied_index >= self.commit_index:
            return []
        entries = self.log.get_entries_from(self.applied_index + 1)
        entries = entries[: self.commit_index - self.applied_index]
        self.applied_index = self.commit_index
        return list(entries)

    def confirm_saved(self) -> None:
        """Record that everything handed out so far is on disk."""
        self._persisted_index = self._next_batch_start - 1
        if self.is_leader:
            self._advance_commit()

    def create_snapshot(self, data: bytes) -> messages.SnapshotFile:
        """Create a snapshot and remove the entries that it covers.

        :param data: the state of the state machine at the applied index
        :returns: the snapshot, which the caller must save
        """
        index = self.applied_index
        term = self.log.get_term(index)
        assert term is not None
        head = messages.SnapshotHead(
            index=index, term=term, members=self._get_members_at(index)
        )
        self.snapshot = messages.SnapshotFile(head=head, data=data)
        self.log.compact(head)
        return self.snapshot

    def _get_members_at(self, index: int) -> list[messages.Member]:
        members = self.log.snapshot_head.members
        for entry in self.log.get_entries_from(self.log.first_index):
            if entry.index > index:
                break
            if entry.kind is messages.EntryKind.MEMBERS:
                members = log_module.decode_members(entry.data)
        return members
