@0x9e3b7ad04c15f862;

enum CauseKind {
  request @0;
  answeredPart @1;
  newPart @2;
}

struct Suspect {
  key @0 :UInt64;
  kind @1 :CauseKind;
}

struct Crash {
  id @0 :UInt64;
  ageMs @1 :UInt64;
  quarantineMs @2 :UInt64;
  suspects @3 :List(Suspect);
}

struct Acquittal {
  key @0 :UInt64;
  crashIds @1 :List(UInt64);
}

struct Trial {
  key @0 :UInt64;
  timeLeftMs @1 :UInt64;
}

struct CrashNews {
  crashes @0 :List(Crash);
  acquittals @1 :List(Acquittal);
  answeredKeys @2 :List(UInt64);
  trials @3 :List(Trial);
}
