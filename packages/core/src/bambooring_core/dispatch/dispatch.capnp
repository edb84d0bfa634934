@0xb2e94f6a0c5d7312;

enum Kind {
  idempotent @0;
  booking @1;
}

enum Lane {
  short @0;
  long @1;
  suspect @2;
}

enum Outcome {
  complete @0;
  failed @1;
  unknown @2;
  notRun @3;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Start {
  attempt @0 :UInt64;
  incarnation @1 :UInt64;
  requestId @2 :Text;
  service @3 :Text;
  account @4 :Text;
  weight @5 :Float64;
  priority @6 :UInt8;
  kind @7 :Kind;
  lane @8 :Lane;
  cost @9 :Float64;
  method @10 :Text;
  path @11 :Text;
  headers @12 :List(Header);
  body @13 :Data;
  startWithinS @14 :Float64;
  endWithinS @15 :Float64;
  isChat @16 :Bool;
  prefix @17 :UInt64;
}

struct Cancel {
  attempt @0 :UInt64;
}

struct Resume {
  attempt @0 :UInt64;
  incarnation @1 :UInt64;
  offset @2 :UInt64;
}

struct Acknowledge {
  attempt @0 :UInt64;
  offset @1 :UInt64;
  isFinal @2 :Bool;
}

struct Refused {
  attempt @0 :UInt64;
  reason @1 :Text;
  retryAfterS @2 :Float64;
}

struct Opened {
  attempt @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Header);
}

struct Ended {
  attempt @0 :UInt64;
  size @1 :UInt64;
  outcome @2 :Outcome;
  reason @3 :Text;
}

# The chunks are stored in columns: index i of attempts, offsets and sizes
# describes chunk i; data holds the concatenated bytes of all chunks.
struct Output {
  opened @0 :List(Opened);
  ended @1 :List(Ended);
  attempts @2 :List(UInt64);
  offsets @3 :List(UInt64);
  sizes @4 :List(UInt32);
  data @5 :Data;
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  slots @2 :UInt32;
  waitS @3 :Float64;
  isLeaving @4 :Bool;
  isReady @5 :Bool;
  cached @6 :List(UInt64);
}

struct Leave {
  target @0 :Text;
}
