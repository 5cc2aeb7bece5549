@0xc945fca6d861d427;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("trefoilbend::relay::wire");

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  homeEntry @0 :Text;
  homeIncarnation @1 :UInt64;
  issuedMilliseconds @2 :Int64;
  key @3 :Text;
  service @4 :Text;
  route @5 :Text;
  method @6 :Text;
  path @7 :Text;
  fields @8 :List(Field);
  body @9 :Data;
  urgent @10 :Bool;
  timeoutMicroseconds @11 :Int64;
}

struct Answer {
  status @0 :UInt16;
  fields @1 :List(Field);
  body @2 :Data;
}

struct Refusal {
  notRun @0 :Bool;
  reason @1 :UInt8;
  retryAfterMilliseconds @2 :Int64;
}

struct Result {
  union {
    refusal @0 :Refusal;
    answer @1 :Answer;
  }
}

interface Relay {
  run @0 (call :Call) -> (result :Result);
}
