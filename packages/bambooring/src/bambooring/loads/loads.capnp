@0xd1a47cc2f0938be5;

struct ServiceTotal {
  service @0 :Text;
  waiting @1 :UInt32;
  gapMs @2 :UInt32;
  gapInstances @3 :UInt32;
  waitingByUrgency @4 :List(UInt32);
}

struct DomainLoad {
  failureDomain @0 :Text;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  isFull @4 :Bool;
  ageMs @5 :UInt32;
  targetKeys @6 :List(UInt32);
  running @7 :List(UInt32);
  tokens @8 :List(UInt32);
  services @9 :List(ServiceTotal);
  suspectKeys @10 :List(UInt32);
  suspectCounts @11 :List(UInt32);
  soundKeys @12 :List(UInt32);
}

struct RelayedLoads {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  domains @3 :List(DomainLoad);
}
