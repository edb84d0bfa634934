@0xc91d5e3f7ab04826;

struct Announcement {
  target @0 :Text;
  service @1 :Text;
  failureDomain @2 :Text;
  address @3 :Text;
  incarnation @4 :UInt64;
  sequence @5 :UInt64;
  slots @6 :UInt32;
  isLeaving @7 :Bool;
  isReady @8 :Bool;
  ageS @9 :Float64;
}

struct Presence {
  instance @0 :Text;
  failureDomain @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  held @5 :UInt64;
  inForce @6 :UInt64;
  isLeaving @7 :Bool;
  ageS @8 :Float64;
}

struct Suspicion {
  digest @0 :Data;
  targets @1 :List(Text);
  ageS @2 :Float64;
}

struct Gossip {
  announcements @0 :List(Announcement);
  presences @1 :List(Presence);
  suspicions @2 :List(Suspicion);
}
