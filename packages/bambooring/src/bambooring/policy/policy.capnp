@0xd3a07e5cb1f24896;

struct Publish {
  version @0 :UInt64;
  digest @1 :Data;
  document @2 :Data;
}

enum PublishOutcome {
  accepted @0;
  repeated @1;
  superseded @2;
  conflict @3;
}

struct Published {
  outcome @0 :PublishOutcome;
  version @1 :UInt64;
}

struct Consult {
  isWhole @0 :Bool;
}

struct Document {
  version @0 :UInt64;
  digest @1 :Data;
  document @2 :Data;
  evacuationRevision @3 :UInt64;
}

struct LeaseRequest {
  lease @0 :UInt64;
  version @1 :UInt64;
}

struct LeaseGrant {
  lease @0 :UInt64;
  version @1 :UInt64;
  evacuationRevision @2 :UInt64;
}
