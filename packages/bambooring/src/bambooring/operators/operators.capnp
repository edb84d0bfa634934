@0xd03b8f6a71c5e294;

struct StatusQuery {
  query @0 :UInt64;
}

struct TargetStatus {
  target @0 :Text;
  service @1 :Text;
  failureDomain @2 :Text;
  address @3 :Text;
  isLinked @4 :Bool;
  isReady @5 :Bool;
  isLeaving @6 :Bool;
  running @7 :UInt32;
  queued @8 :UInt32;
  slots @9 :UInt32;
}

struct StatusReply {
  query @0 :UInt64;
  targets @1 :List(TargetStatus);
}
