# The messages between the system's own processes. Each struct mirrors the dataclass of the
# same name; fields are only ever added at the end, so that old and new processes can talk.
@0xb3f1c9a27d5e8c41;

struct MemberState {
  name @0 :Text;
  address @1 :Text;
  hall @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  phase @5 :Text;
  configuration @6 :Int64;
  upstreams @7 :Int64;
  settings @8 :Int64;
  contact @9 :Text;
}

struct ViewPull {
  kind @0 :Text;
  revision @1 :Int64;
}

struct ViewPage {
  kind @0 :Text;
  revision @1 :Int64;
  text @2 :Text;
}

struct LoadNews {
  records @0 :Data;
}

struct LoadBatch {
  records @0 :Data;
}

struct Ping {
  sender @0 :Text;
  sequence @1 :UInt64;
  target @2 :Text;
  members @3 :List(MemberState);
  digest @4 :UInt64;
  known @5 :UInt32;
}

struct Pong {
  sender @0 :Text;
  sequence @1 :UInt64;
  target @2 :Text;
  members @3 :List(MemberState);
  digest @4 :UInt64;
  known @5 :UInt32;
}

struct RosterPull {
  sender @0 :Text;
  digests @1 :List(UInt64);
}

struct RosterPage {
  sender @0 :Text;
  members @1 :List(MemberState);
}

struct Frame {
  union {
    ping @0 :Ping;
    pong @1 :Pong;
    viewpull @2 :ViewPull;
    viewpage @3 :ViewPage;
    loadnews @4 :LoadNews;
    loadbatch @5 :LoadBatch;
    rosterpull @6 :RosterPull;
    rosterpage @7 :RosterPage;
  }
}
