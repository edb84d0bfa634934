@0xe5b3189fd40c62a7;

enum OrderKind {
  prepare @0;
  arm @1;
  disarm @2;
  hold @3;
  release @4;
}

enum Outcome {
  done @0;
  refused @1;
  unknown @2;
}

struct RankExperts {
  experts @0 :List(UInt16);
}

struct SetMap {
  ranks @0 :List(RankExperts);
}

struct RankState {
  target @0 :Text;
  group @1 :Text;
  epoch @2 :UInt64;
  rank @3 :UInt32;
  size @4 :UInt32;
  isOpen @5 :Bool;
  step @6 :Int64;
  version @7 :UInt64;
  prepared @8 :UInt64;
  armed @9 :UInt64;
  held @10 :Int64;
  layoutVersion @11 :Int64;
  layout @12 :List(RankExperts);
  service @13 :Text;
  pace @14 :Float32 = 1;
}

struct RankOrder {
  order @0 :UInt64;
  kind @1 :OrderKind;
  epoch @2 :UInt64;
  version @3 :UInt64;
  step @4 :Int64;
  # Uncompressed maps, sent by earlier versions.
  oldSets @5 :List(SetMap);
  packedMap @6 :Data;
}

struct RankOrderDone {
  order @0 :UInt64;
  outcome @1 :Outcome;
  state @2 :RankState;
}

struct RelayOrder {
  address @0 :Text;
  rank @1 :UInt32;
  order @2 :RankOrder;
  group @3 :Text;
  target @4 :Text;
}

struct RelayedOrderDone {
  order @0 :UInt64;
  rank @1 :UInt32;
  outcome @2 :Outcome;
  group @3 :Text;
}

struct RankDemand {
  target @0 :Text;
  group @1 :Text;
  epoch @2 :UInt64;
  rank @3 :UInt32;
  sets @4 :UInt32;
  # Uncompressed counts, sent by earlier versions.
  oldCounts @5 :List(UInt32);
  # Compressed counts of four bytes each, sent by earlier versions.
  oldPacked @6 :Data;
  packed @7 :Data;
}

struct Attendance {
  isLeader @0 :Bool;
  controls @1 :List(Text);
}
