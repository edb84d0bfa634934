@0xf959cd65e6d509b3;

struct Order {
  failureDomain @0 :Text;
  isEvacuated @1 :Bool;
  revision @2 :UInt64;
}

enum Outcome {
  changed @0;
  repeated @1;
  refused @2;
  superseded @3;
}

struct Ordered {
  outcome @0 :Outcome;
  revision @1 :UInt64;
}

struct Evacuations {
  revision @0 :UInt64;
  failureDomains @1 :List(Text);
}

struct EvacuationsRequest {
  revision @0 :UInt64;
}
