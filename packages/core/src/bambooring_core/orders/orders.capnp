@0xf2a1c8e65b7d3940;

struct Stage {
  group @0 :Text;
  switch @1 :UInt64;
  fence @2 :UInt64;
  expertMap @3 :Data;
}

struct Staged {
  group @0 :Text;
  rank @1 :UInt32;
  switch @2 :UInt64;
}

struct Arm {
  group @0 :Text;
  switch @1 :UInt64;
  fence @2 :UInt64;
  step @3 :UInt64;
}

struct Armed {
  group @0 :Text;
  rank @1 :UInt32;
  switch @2 :UInt64;
  isArmed @3 :Bool;
}

struct Decision {
  group @0 :Text;
  switch @1 :UInt64;
  isCommit @2 :Bool;
}

struct AskDecision {
  group @0 :Text;
  switch @1 :UInt64;
}

struct RankReport {
  group @0 :Text;
  rank @1 :UInt32;
  step @2 :UInt64;
  inForce @3 :UInt64;
  armed @4 :UInt64;
}

struct AskFloor {
  group @0 :Text;
  rank @1 :UInt32;
}

struct Floor {
  replica @0 :Text;
  fence @1 :UInt64;
}
