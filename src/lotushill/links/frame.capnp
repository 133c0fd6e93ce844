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

struct Placed {
  request @0 :Text;
  upstream @1 :Text;
  reading @2 :UInt32;
  memory @3 :UInt32;
  gap @4 :Float64;
  seconds @5 :Float64;
  age @6 :Float64;
  partIds @7 :List(UInt64);
  partTokens @8 :List(UInt32);
  began @9 :Bool;
}

struct Load {
  sender @0 :Text;
  whole @1 :Bool;
  placed @2 :List(Placed);
  began @3 :List(Text);
  ended @4 :List(Text);
  relay @5 :Bool;
}

struct Ping {
  sender @0 :Text;
  sequence @1 :UInt64;
  target @2 :Text;
  members @3 :List(MemberState);
}

struct Pong {
  sender @0 :Text;
  sequence @1 :UInt64;
  target @2 :Text;
  members @3 :List(MemberState);
}

struct Frame {
  union {
    ping @0 :Ping;
    pong @1 :Pong;
    viewpull @2 :ViewPull;
    viewpage @3 :ViewPage;
    load @4 :Load;
  }
}
