@0xd1b7c2f0a94e6835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("trefoilbend::membership::wire");

struct Member {
  id @0 :UInt32;
  heartbeat @1 :UInt32;
  incarnation @2 :UInt64;
  revision @3 :UInt32;
  leaving @4 :Bool;
  age @5 :UInt16;
}

struct Revisions {
  union {
    rows @0 :List(Text);
    snapshot @1 :Text;
  }
}

interface Gossip {
  exchange @0 (members :List(Member)) -> (members :List(Member));
  revisions @1 (after :UInt64) -> (revisions :Revisions);
}
