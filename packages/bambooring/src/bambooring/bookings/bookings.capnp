@0x9b1c7de04f38a265;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Claim {
  account @0 :Text;
  service @1 :Text;
  key @2 :Text;
  digest @3 :Data;
  claim @4 :UInt64;
}

enum ClaimOutcome {
  granted @0;
  held @1;
  settled @2;
  mismatch @3;
  full @4;
  released @5;
}

struct ClaimAnswer {
  outcome @0 :ClaimOutcome;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  isBodyKept @4 :Bool;
}

struct Settle {
  account @0 :Text;
  service @1 :Text;
  key @2 :Text;
  claim @3 :UInt64;
  status @4 :UInt16;
  headers @5 :List(Header);
  body @6 :Data;
  isBodyKept @7 :Bool;
}

struct Release {
  account @0 :Text;
  service @1 :Text;
  key @2 :Text;
  claim @3 :UInt64;
}

struct Done {
  isDone @0 :Bool;
}

enum ClaimPhase {
  claimed @0;
  settled @1;
  released @2;
}

struct ClaimState {
  account @0 :Text;
  service @1 :Text;
  key @2 :Text;
  digest @3 :Data;
  claim @4 :UInt64;
  phase @5 :ClaimPhase;
  until @6 :Float64;
  status @7 :UInt16;
  headers @8 :List(Header);
  body @9 :Data;
  isBodyKept @10 :Bool;
}

struct Clock {
  now @0 :Float64;
}
