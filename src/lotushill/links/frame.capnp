# The messages between the system's own processes. Each struct mirrors the dataclass of the
# same name; fields are only ever added at the end, so that old and new processes can talk.
@0xb3f1c9a27d5e8c41;

struct Ask {
  request @0 :Text;
  attempt @1 :UInt32;
  entry @2 :Text;
  cell @3 :Text;
  team @4 :Text;
  service @5 :Text;
  klass @6 :Text;
  tier @7 :UInt8;
  teamWeight @8 :Float32;
  classWeight @9 :Float32;
  promptTokens @10 :UInt32;
  outputLimit @11 :UInt32;
  resumedTokens @12 :UInt32;
  timeLeft @13 :Float64;
  target @14 :Float32;
  refuseEarly @15 :Bool;
  resumable @16 :Bool;
  rate @17 :Float64;
  concurrency @18 :UInt32;
  tokens @19 :Float64;
  queued @20 :UInt32;
  prefix @21 :List(UInt64);
  excluded @22 :List(Text);
}

struct Grant {
  request @0 :Text;
  attempt @1 :UInt32;
  upstream @2 :Text;
  address @3 :Text;
  tier @4 :UInt8;
  waited @5 :Float64;
  why @6 :Text;
  cell @7 :Text;
}

struct Refusal {
  request @0 :Text;
  attempt @1 :UInt32;
  reason @2 :Text;
  retryAfter @3 :Float64;
}

struct Preemption {
  request @0 :Text;
  attempt @1 :UInt32;
  upstream @2 :Text;
}

struct End {
  request @0 :Text;
  attempt @1 :UInt32;
  cell @2 :Text;
  upstream @3 :Text;
  kind @4 :Text;
  outputTokens @5 :UInt32;
  firstToken @6 :Float64;
  betweenTokens @7 :Float64;
}

struct Cancel {
  request @0 :Text;
  cell @1 :Text;
}

struct Held {
  # One attempt that an entry is running, told to a new dispatcher.
  ask @0 :Ask;
  upstream @1 :Text;
}

struct Pull {
  # Asks a peer for the accepted objects that differ from those already held.
  generation @0 :UInt64;
  known @1 :List(Text);
}

struct AcceptedObject {
  name @0 :Text;
  digest @1 :Text;
  text @2 :Text;
}

struct Pulled {
  generation @0 :UInt64;
  head @1 :Text;
  objects @2 :List(AcceptedObject);
  hosts @3 :Text;
}

struct MemberState {
  name @0 :Text;
  address @1 :Text;
  hall @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  phase @5 :Text;
  generation @6 :Int64;
  backends @7 :Int64;
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
  backend @1 :Text;
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
    ask @0 :Ask;
    grant @1 :Grant;
    refusal @2 :Refusal;
    preemption @3 :Preemption;
    end @4 :End;
    cancel @5 :Cancel;
    held @6 :Held;
    pull @7 :Pull;
    pulled @8 :Pulled;
    ping @9 :Ping;
    pong @10 :Pong;
    viewpull @11 :ViewPull;
    viewpage @12 :ViewPage;
    load @13 :Load;
  }
}
