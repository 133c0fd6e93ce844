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
  holds @10 :Int64;
}

struct ViewPull {
  kind @0 :Text;
  revision @1 :Int64;
}

struct ViewPage {
  kind @0 :Text;
  revision @1 :Int64;
  text @2 :Text;
  packed @3 :Data;
}

struct ModelPull {
  sender @0 :Text;
}

struct ModelPage {
  records @0 :Data;
  paces @1 :Data;
}

struct PlacementAsk {
  sender @0 :Text;
  request @1 :UInt64;
  service @2 :Text;
  route @3 :Text;
  target @4 :Float32;
  gap @5 :Float32;
  timeLeft @6 :Float32;
  stream @7 :Bool;
  copied @8 :Bool;
  again @9 :Bool;
  promptTokens @10 :UInt32;
  outputTokens @11 :UInt32;
  partIds @12 :List(UInt64);
  partTokens @13 :List(UInt32);
  tier @14 :UInt8;
  excluded @15 :List(Text);
  team @16 :Text;
  share @17 :Float32;
  waited @18 :Float32;
  caller @19 :UInt64;
  waits @20 :Bool;
  leaves @21 :Bool;
  teamPlace @22 :UInt8;
  version @23 :Text;
}

struct PlacementAnswer {
  sender @0 :Text;
  request @1 :UInt64;
  upstream @2 :Text;
  refusal @3 :Text;
  retryAfter @4 :Float32;
  cost @5 :Float32;
  first @6 :Float32;
  seconds @7 :Float32;
  wait @8 :Float32;
  harm @9 :Float32;
  reading @10 :UInt32;
  ahead @11 :UInt32;
  again @12 :UInt32;
  running @13 :UInt32;
  memory @14 :UInt64;
  fetchFrom @15 :Text;
  fetchTokens @16 :UInt32;
  fetchSeconds @17 :Float32;
  backup @18 :Text;
  usualPrompt @19 :Float32;
  longestPrompt @20 :Float32;
  returned @21 :Bool;
  standing @22 :Float32;
  final @23 :Bool;
}

struct WaitingNews {
  sender @0 :Text;
  service @1 :Text;
  tiers @2 :List(UInt8);
  counts @3 :List(UInt32);
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

struct WorkPull {
  sender @0 :Text;
  since @1 :Int64;
  now @2 :Float64;
}

struct TeamCount {
  window @0 :Int64;
  team @1 :Text;
  count @2 :UInt32;
}

struct ServiceDemand {
  service @0 :Text;
  running @1 :UInt32;
}

struct WorkPage {
  sender @0 :Text;
  age @1 :Float64;
  wall @2 :Float64;
  counts @3 :List(TeamCount);
  demand @4 :List(ServiceDemand);
}

struct SuspectState {
  identity @0 :Data;
  team @1 :Text;
  path @2 :Text;
  upstreams @3 :List(Text);
  ages @4 :List(Float32);
  held @5 :Bool;
}

struct BegunPart {
  identity @0 :Data;
  age @1 :Float32;
}

struct SuspectNews {
  sender @0 :Text;
  suspects @1 :List(SuspectState);
}

struct ClearedNews {
  sender @0 :Text;
  since @1 :List(Data);
  before @2 :List(Data);
  begun @3 :List(BegunPart);
}

struct LeavingNews {
  sender @0 :Text;
  upstreams @1 :List(Text);
  complete @2 :Bool;
}

struct LimitState {
  upstream @0 :Text;
  rate @1 :Float64;
  askedAge @2 :Float64;
  heardAge @3 :Float64;
}

struct LimitNews {
  sender @0 :Text;
  limits @1 :List(LimitState);
  complete @2 :Bool;
  onRejections @3 :Bool;
}

struct PermitAsk {
  sender @0 :Text;
  number @1 :UInt64;
  limit @2 :LimitState;
  tier @3 :UInt8;
  route @4 :Text;
  promptTokens @5 :UInt32;
}

struct PermitAnswer {
  number @0 :UInt64;
  granted @1 :Bool;
  againIn @2 :Float64;
  rank @3 :UInt8;
}

struct SlotAsk {
  sender @0 :Text;
  number @1 :UInt64;
  upstream @2 :Text;
  maxRejections @3 :Float64;
  tier @4 :UInt8;
  seconds @5 :Float64;
}

struct SlotAnswer {
  number @0 :UInt64;
  granted @1 :Bool;
}

struct HeldSlot {
  number @0 :UInt64;
  seconds @1 :Float64;
}

struct EndedSlot {
  number @0 :UInt64;
  how @1 :Text;
}

struct SlotReport {
  sender @0 :Text;
  sequence @1 :UInt64;
  upstream @2 :Text;
  held @3 :List(HeldSlot);
  ended @4 :List(EndedSlot);
}

struct SlotReportAck {
  sequence @0 :UInt64;
}

struct GroupEnd {
  service @0 :Text;
  label @1 :Text;
  upstream @2 :Text;
  whole @3 :UInt32;
}

struct IsolatedGroup {
  service @0 :Text;
  label @1 :Text;
  left @2 :Float64;
  pause @3 :Float64;
}

struct GroupNews {
  sender @0 :Text;
  ends @1 :List(GroupEnd);
  isolated @2 :List(IsolatedGroup);
}

struct PromiseState {
  caller @0 :UInt64;
  service @1 :Text;
  tier @2 :UInt8;
  dueIn @3 :Float32;
  first @4 :Bool;
  used @5 :Bool;
}

struct ReturnNews {
  sender @0 :Text;
  promises @1 :List(PromiseState);
}

struct RelayOpen {
  sender @0 :Text;
  address @1 :Text;
}

struct RelayAnswer {
  outcome @0 :Text;
}

struct StreamOrigin {
  request @0 :Text;
  service @1 :Text;
  version @2 :Text;
  seconds @3 :Float32;
}

struct OriginNews {
  origin @0 :StreamOrigin;
}

struct EndedNews {
  upstreams @0 :List(Text);
}

struct OriginAsk {
  sender @0 :Text;
  number @1 :UInt64;
  request @2 :Text;
}

struct OriginAnswer {
  sender @0 :Text;
  number @1 :UInt64;
  service @2 :Text;
  version @3 :Text;
}

struct Frame {
  union {
    ping @0 :Ping;
    pong @1 :Pong;
    viewpull @2 :ViewPull;
    viewpage @3 :ViewPage;
    rosterpull @4 :RosterPull;
    rosterpage @5 :RosterPage;
    modelpull @6 :ModelPull;
    modelpage @7 :ModelPage;
    placementask @8 :PlacementAsk;
    placementanswer @9 :PlacementAnswer;
    workpull @10 :WorkPull;
    workpage @11 :WorkPage;
    suspectnews @12 :SuspectNews;
    clearednews @13 :ClearedNews;
    leavingnews @14 :LeavingNews;
    groupnews @15 :GroupNews;
    limitnews @16 :LimitNews;
    permitask @17 :PermitAsk;
    permitanswer @18 :PermitAnswer;
    returnnews @19 :ReturnNews;
    waitingnews @20 :WaitingNews;
    relayopen @21 :RelayOpen;
    relayanswer @22 :RelayAnswer;
    originnews @23 :OriginNews;
    originask @24 :OriginAsk;
    originanswer @25 :OriginAnswer;
    slotask @26 :SlotAsk;
    slotanswer @27 :SlotAnswer;
    slotreport @28 :SlotReport;
    slotreportack @29 :SlotReportAck;
    endednews @30 :EndedNews;
  }
}
