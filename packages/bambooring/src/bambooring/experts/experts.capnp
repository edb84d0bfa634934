@0x8d24f7b1e9a6c053;

struct Decide {
  group @0 :Text;
  switch @1 :UInt64;
  isCommit @2 :Bool;
  expertMap @3 :Data;
}

struct Decided {
  group @0 :Text;
  switch @1 :UInt64;
  isCommit @2 :Bool;
}

struct GroupMap {
  group @0 :Text;
  switch @1 :UInt64;
  expertMap @2 :Data;
}
