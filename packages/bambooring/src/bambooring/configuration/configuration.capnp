@0xa8f3165d2b9e40c7;

struct Record {
  kind @0 :Text;
  name @1 :Text;
  number @2 :UInt64;
  revision @3 :UInt64;
  content @4 :Data;
  isDeleted @5 :Bool;
}

struct Edit {
  kind @0 :Text;
  name @1 :Text;
  expected @2 :UInt64;
  content @3 :Data;
  isDeleted @4 :Bool;
}

struct Change {
  change @0 :Text;
  edits @1 :List(Edit);
}

enum ChangeOutcome {
  accepted @0;
  conflict @1;
  mismatch @2;
}

struct Conflict {
  kind @0 :Text;
  name @1 :Text;
  expected @2 :UInt64;
  number @3 :UInt64;
  winner @4 :Text;
}

struct ChangeAnswer {
  change @0 :Text;
  digest @1 :Data;
  outcome @2 :ChangeOutcome;
  revision @3 :UInt64;
  conflicts @4 :List(Conflict);
}

struct Subscribe {
  revision @0 :UInt64;
}

struct Records {
  since @0 :UInt64;
  revision @1 :UInt64;
  records @2 :List(Record);
}

struct Report {
  instance @0 :Text;
  failureDomain @1 :Text;
  incarnation @2 :UInt64;
  held @3 :UInt64;
  inForce @4 :UInt64;
  running @5 :UInt32;
  isLeaving @6 :Bool;
  unknownSchemas @7 :UInt32;
}

struct StoreHead {
  revision @0 :UInt64;
}

struct Winner {
  kind @0 :Text;
  name @1 :Text;
  change @2 :Text;
}
