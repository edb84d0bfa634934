@0xd5f1c0b7a86e2b01;

struct Identity {
  cluster @0 :Text;
  instance @1 :Text;
  role @2 :Text;
  failureDomain @3 :Text;
  address @4 :Text;
  incarnation @5 :UInt64;
}

struct Hello {
  protocol @0 :UInt32;
  identity @1 :Identity;
  nonce @2 :Data;
}

struct Welcome {
  protocol @0 :UInt32;
  identity @1 :Identity;
  nonce @2 :Data;
  proof @3 :Data;
}

struct Proof {
  proof @0 :Data;
}

struct Heartbeat {
  sequence @0 :UInt64;
}
