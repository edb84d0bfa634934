@0xd2b7e41f93c80a56;

struct PermitRequest {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  targetId @3 :Text;
  bornMs @4 :UInt64;
  limitPerS @5 :UInt32;
  wanted @6 :UInt16;
}

struct PermitGrant {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  targetId @3 :Text;
  count @4 :UInt16;
  waitMs @5 :UInt32;
}
