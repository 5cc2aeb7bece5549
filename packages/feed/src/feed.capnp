@0xf2323c271ca391e4;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("trefoilbend::feed::wire");

struct Row {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  deleted @3 :Bool;
}

struct Table {
  number @0 :UInt8;
  version @1 :UInt64;
  whole @2 :Bool;  # Whether rows that are not listed do not exist.
  rows @3 :List(Row);
  era @4 :UInt64;  # Era of the store that the versions belong to.
}

struct News {
  tables @0 :List(Table);
  ageMs @1 :UInt32;  # Time since the store confirmed all tables.
  known @2 :Bool;  # Whether all tables are known at all.
  storeAnswers @3 :Bool;
  era @4 :UInt64;  # Era in which all tables are in force.
  earlier @5 :List(Table);  # Tables before the era that the caller lists, if wanted.
  earlierLeftMs @6 :UInt32;  # Time for which they may still hold what the store lacks.
}

interface Feed {
  # Returns what the caller lacks, as soon as there is anything, the store has
  # confirmed the tables anew or the caller's belief that it answers is wrong, or
  # after the wait.
  # A caller that lists no eras is of an earlier program, and compares versions.
  watch @0 (after :List(UInt64), waitMs :UInt32, storeAnswers :Bool, known :Bool, ageMs :UInt32,
      eras :List(UInt64), wantsEarlier :Bool) -> (news :News);
}
