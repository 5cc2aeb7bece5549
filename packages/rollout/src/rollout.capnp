@0xd1f3a8b27c604e95;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("trefoilbend::rollout::wire");

struct Release {
  service @0 :Text;
  version @1 :Text;
  begunS @2 :Int64;  # Wall-clock time in seconds since 1970.
}

struct Brake {
  release @0 :Release;
  why @1 :Text;
}

struct Count {
  route @0 :Text;
  dataCentre @1 :Text;
  target @2 :Text;
  isNew @3 :Bool;
  calls @4 :UInt32;
  failed @5 :UInt32;
  slow @6 :UInt32;
  untimed @7 :UInt32;  # Calls whose time tells nothing of the version.
}

struct Evidence {
  release @0 :Release;
  counts @1 :List(Count);
}

interface Peer {
  # Takes a peer's brakes and its counts since its last report.
  report @0 (brakes :List(Brake), evidence :List(Evidence)) -> ();
}
