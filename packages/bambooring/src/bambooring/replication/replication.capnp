@0xe47a90b35c1d6f28;

enum EntryKind {
  noop @0;
  command @1;
  members @2;
}

struct Member {
  id @0 :UInt64;
  name @1 :Text;
}

struct Members {
  members @0 :List(Member);
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :EntryKind;
  data @3 :Data;
}

struct Greeting {
  id @0 :UInt64;
  name @1 :Text;
  isFresh @2 :Bool;
  yourId @3 :UInt64;
  memberNames @4 :List(Text);
  isLeaving @5 :Bool;
}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :UInt64;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  isPre @4 :Bool;
  isForced @5 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  voter @1 :UInt64;
  isGranted @2 :Bool;
  isPre @3 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :UInt64;
  previousIndex @2 :UInt64;
  previousTerm @3 :UInt64;
  entries @4 :List(Entry);
  commit @5 :UInt64;
}

struct AppendReply {
  term @0 :UInt64;
  follower @1 :UInt64;
  isSuccess @2 :Bool;
  index @3 :UInt64;
}

struct SnapshotHead {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(Member);
}

struct SnapshotChunk {
  term @0 :UInt64;
  leader @1 :UInt64;
  head @2 :SnapshotHead;
  offset @3 :UInt64;
  data @4 :Data;
  isLast @5 :Bool;
}

struct SnapshotReply {
  term @0 :UInt64;
  follower @1 :UInt64;
  index @2 :UInt64;
  offset @3 :UInt64;
  isDone @4 :Bool;
}

struct TimeoutNow {
  term @0 :UInt64;
  leader @1 :UInt64;
}

struct HardState {
  term @0 :UInt64;
  votedFor @1 :UInt64;
}

struct ReplicaIdentity {
  id @0 :UInt64;
}

struct Batch {
  truncateFrom @0 :UInt64;
  entries @1 :List(Entry);
}

struct SnapshotFile {
  head @0 :SnapshotHead;
  data @1 :Data;
}

struct Propose {
  proposal @0 :UInt64;
  command @1 :Data;
}

struct Proposed {
  proposal @0 :UInt64;
  isAccepted @1 :Bool;
  leader @2 :Text;
  reply @3 :Data;
}

struct Stamped {
  atS @0 :Float64;
  command @1 :Data;
}
