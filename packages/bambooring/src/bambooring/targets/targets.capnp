@0xb82c5f1e90d7a643;

enum State {
  ready @0;
  draining @1;
  gone @2;
}

struct Target {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  state @5 :State;
  bornMs @6 :UInt64;
  sequence @7 :UInt64;
  group @8 :Text;
  groupEpoch @9 :UInt64;
  rank @10 :UInt32;
  isGroupOpen @11 :Bool = true;
  isVoid @12 :Bool;
  coldMs @13 :UInt32;
}

struct Announced {
  targets @0 :List(Target);
  refreshed @1 :List(Text);
  confirmation @2 :UInt64;
}

struct AnnouncedReply {
  confirmation @0 :UInt64;
}

struct Topology {
  entries @0 :List(Text);
  controls @1 :List(Text);
  entryDomains @2 :List(Text);
}

struct EntryStatus {
  isMain @0 :Bool;
  policyVersion @1 :UInt64;
}

struct GroupPaces {
  group @0 :Text;
  paces @1 :List(Float32);
}

struct TargetLoad {
  target @0 :Text;
  running @1 :UInt32;
  tokens @2 :UInt32;
}

struct ServiceLoad {
  service @0 :Text;
  waiting @1 :UInt32;
  gapMs @2 :UInt32;
  waitingByUrgency @3 :List(UInt32);
}

struct Suspicion {
  target @0 :Text;
  bornMs @1 :UInt64;
  failures @2 :UInt32;
  isRefusing @3 :Bool;
}

struct Load {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  targets @3 :List(TargetLoad);
  services @4 :List(ServiceLoad);
  suspicions @5 :List(Suspicion);
}
